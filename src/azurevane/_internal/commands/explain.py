"""``azurevane explain``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class Explain(base.OperatorsCommand):
    """Show the latest decisions about a request, task or host."""

    name = "explain"
    description = "Show the latest decisions about a request, task or host."
    arguments = [
        helpers.argument("name", "Submission ID, task ID, runner or host.")
    ]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print the recent events of the entry host that concern the name."""
        name = self.argument("name")
        http_status, body = self.api_client.call("GET", f"/v1/explain/{name}")
        if http_status != 200:
            self.print_problems(body)
            return base.exit_code_for_status(http_status)
        rows = [
            (item["event"], item["summary"], item["fields"]) for item in body
        ]
        return self.print_data(body, ("event", "what", "fields"), rows)
