"""``azurevane change show``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ChangeShow(base.OperatorsCommand):
    """Look up what became of a change whose answer was lost."""

    name = "change show"
    description = "Look up what became of a change whose answer was lost."
    arguments = [helpers.argument("id", "Id of the change.")]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print the change, if it was accepted."""
        change_id = self.argument("id")
        code, body = self.operators.call("GET", f"/v1/changes/{change_id}")
        if code != 200:
            self.report_problems(body)
            return base.exit_code(code)
        return self.show(
            body,
            ("version", "kind", "id"),
            [(body["version"], body["kind"], body["change_id"])],
        )
