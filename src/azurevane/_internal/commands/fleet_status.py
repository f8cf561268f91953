"""``azurevane status``."""

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class FleetStatus(base.OperatorsCommand):
    """Show version, freshness, peers and store of an entry host."""

    name = "status"
    description = "Show version, freshness, peers and store of an entry host."
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print the status of the entry host that answers."""
        http_status, body = self.api_client.call("GET", "/v1/status")
        if http_status != 200:
            self.print_problems(body)
            return base.exit_code_for_status(http_status)
        return self.print_data(body, ("what", "value"), sorted(body.items()))
