"""``azurevane zone in``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ZoneIn(base.OperatorsCommand):
    """Bring an availability zone back in."""

    name = "zone in"
    description = "Bring an availability zone back in."
    arguments = [helpers.argument("zone", "Its name in the manifest.")]

    def execute_command(self) -> status.ExitCode:
        """Make the change."""
        return self.make_change("zone-in", {"zone": self.argument("zone")})
