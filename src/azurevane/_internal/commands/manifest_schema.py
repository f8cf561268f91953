"""``azurevane manifest schema``."""

import json

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ManifestSchema(base.OperatorsCommand):
    """Print the JSON Schema of a manifest."""

    name = "manifest schema"
    description = "Print the JSON Schema of a manifest."

    def execute_command(self) -> status.ExitCode:
        """Print the schema."""
        from azurevane._internal.operators import manifest_check

        self.line(json.dumps(manifest_check.manifest_schema(), indent=2))
        return status.ExitCode.OK
