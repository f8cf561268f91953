"""``azurevane manifest show``."""

import json

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ManifestShow(base.OperatorsCommand):
    """Print the manifest in force as JSON, its version on stderr."""

    name = "manifest show"
    description = "Print the manifest in force; its version goes to stderr."

    def execute_command(self) -> status.ExitCode:
        """Print the manifest in force."""
        state = self.fetch_state()
        self.line_error(f"version {state['version']}")
        self.line(json.dumps(state["manifest"], indent=2))
        return status.ExitCode.OK
