"""``azurevane change show``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ChangeShow(base.OperatorsCommand):
    """Show whether a change whose response was lost was accepted."""

    name = "change show"
    description = "Show whether a change whose response was lost was accepted."
    arguments = [helpers.argument("id", "ID of the change.")]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print the change, if it was accepted."""
        change_id = self.argument("id")
        http_status, body = self.api_client.call(
            "GET", f"/v1/changes/{change_id}"
        )
        if http_status != 200:
            self.print_problems(body)
            return base.exit_code_for_status(http_status)
        return self.print_data(
            body,
            ("version", "kind", "id"),
            [(body["version"], body["kind"], body["change_id"])],
        )
