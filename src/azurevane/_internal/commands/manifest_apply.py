"""``azurevane manifest apply``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import files
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ManifestApply(base.OperatorsCommand):
    """Make a manifest the state that the fleet follows."""

    name = "manifest apply"
    description = "Make a manifest the state that the fleet follows."
    help = (
        "The base version is the one that the manifest was made from"
        " (azurevane manifest show). If the fleet has moved on since, the"
        " manifest isn't applied and the command exits with 4."
    )
    arguments = [helpers.argument("file", "Manifest file (JSON).")]
    options = [
        helpers.option(
            "base-version",
            None,
            "Version that the manifest was made from; 0 for the first.",
            flag=False,
        )
    ]

    def execute_command(self) -> status.ExitCode:
        """Apply the manifest and print the version that it became."""
        content = files.load_json(self.argument("file"))
        base_version = self.option("base-version")
        if base_version is None or not base_version.isdecimal():
            self.line_error(
                "Error: --base-version must be the version that the manifest"
                " was made from, such as 12; see azurevane manifest show"
            )
            return status.ExitCode.USAGE
        return self.make_change("manifest", content, int(base_version))
