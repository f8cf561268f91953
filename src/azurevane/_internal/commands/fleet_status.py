"""``azurevane status``."""

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class FleetStatus(base.OperatorsCommand):
    """Show what an entry host knows: version, freshness, peers, store."""

    name = "status"
    description = "Show version, freshness, peers and store of an entry host."
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print the status of the entry host that answers."""
        code, body = self.operators.call("GET", "/v1/status")
        if code != 200:
            self.report_problems(body)
            return base.exit_code(code)
        return self.show(body, ("what", "value"), sorted(body.items()))
