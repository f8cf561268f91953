"""``azurevane manifest apply``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import files
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ManifestApply(base.OperatorsCommand):
    """Apply a manifest to the fleet."""

    name = "manifest apply"
    description = "Apply a manifest to the fleet."
    help = (
        "The base version is the version on which the manifest is based"
        " (azurevane manifest show). If another change was made since, the"
        " manifest isn't applied and the command exits with 4."
    )
    arguments = [helpers.argument("file", "Manifest file (JSON).")]
    options = [
        helpers.option(
            "base-version",
            None,
            "Version on which the manifest is based; 0 for the first.",
            flag=False,
        )
    ]

    def execute_command(self) -> status.ExitCode:
        """Apply the manifest and print the new version."""
        content = files.load_json(self.argument("file"))
        base_version = self.option("base-version")
        if base_version is None or not base_version.isdecimal():
            self.line_error(
                "Error: --base-version must be the version on which the"
                " manifest is based, such as 12; see azurevane manifest show"
            )
            return status.ExitCode.USAGE
        return self.make_change("manifest", content, int(base_version))
