"""``azurevane zone in``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ZoneIn(base.OperatorsCommand):
    """Return an availability zone to service."""

    name = "zone in"
    description = "Return an availability zone to service."
    arguments = [helpers.argument("zone", "Name in the manifest.")]

    def execute_command(self) -> status.ExitCode:
        """Submit the change."""
        return self.make_change("zone-in", {"zone": self.argument("zone")})
