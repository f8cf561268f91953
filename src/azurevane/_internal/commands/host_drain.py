"""``azurevane host drain``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class HostDrain(base.OperatorsCommand):
    """Drain a host or runner; it gets no new work after 3 s."""

    name = "host drain"
    description = "Drain a host or runner; it gets no new work after 3 s."
    arguments = [helpers.argument("name", "Name in the manifest.")]

    def execute_command(self) -> status.ExitCode:
        """Submit the drain as a change."""
        return self.make_change("drain", {"name": self.argument("name")})
