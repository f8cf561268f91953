"""``azurevane manifest check``."""

from cleo import helpers

from azurevane import exceptions
from azurevane._internal.commands import base
from azurevane._internal.commands import files
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ManifestCheck(base.OperatorsCommand):
    """Check a manifest file without applying it."""

    name = "manifest check"
    description = "Check a manifest file and list every problem in it."
    arguments = [helpers.argument("file", "Manifest file (JSON).")]

    def execute_command(self) -> status.ExitCode:
        """Print every problem, or that the manifest is valid."""
        from azurevane._internal.operators import manifest_check

        path = self.argument("file")
        try:
            manifest_check.parse_manifest(files.load_json(path))
        except exceptions.ManifestError as error:
            for problem in error.problems:
                self.line_error(f"{path}: {problem}")
            return status.ExitCode.INVALID
        self.line(f"{path} is a valid manifest")
        return status.ExitCode.OK
