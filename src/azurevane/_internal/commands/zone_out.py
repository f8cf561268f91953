"""``azurevane zone out``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ZoneOut(base.OperatorsCommand):
    """Take a zone out of service; no task starts there after 3 s."""

    name = "zone out"
    description = (
        "Take an availability zone out of service; no task starts there"
        " after 3 s."
    )
    arguments = [helpers.argument("zone", "Name in the manifest.")]

    def execute_command(self) -> status.ExitCode:
        """Submit the change."""
        return self.make_change("zone-out", {"zone": self.argument("zone")})
