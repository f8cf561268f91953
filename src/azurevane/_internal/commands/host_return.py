"""``azurevane host return``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class HostReturn(base.OperatorsCommand):
    """Return a drained host or runner to service."""

    name = "host return"
    description = "Return a drained host or runner to service."
    arguments = [helpers.argument("name", "Name in the manifest.")]

    def execute_command(self) -> status.ExitCode:
        """Submit the return as a change."""
        return self.make_change("return", {"name": self.argument("name")})
