"""``azurevane explain``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class Explain(base.OperatorsCommand):
    """Show why a request, task or host was decided on as it was."""

    name = "explain"
    description = "Show the latest decisions about a request, task or host."
    arguments = [
        helpers.argument("name", "Submission id, task id, runner or host.")
    ]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print the decisions that the entry host remembers."""
        name = self.argument("name")
        code, body = self.operators.call("GET", f"/v1/explain/{name}")
        if code != 200:
            self.report_problems(body)
            return base.exit_code(code)
        rows = [
            (item["event"], item["summary"], item["fields"]) for item in body
        ]
        return self.show(body, ("event", "what", "fields"), rows)
