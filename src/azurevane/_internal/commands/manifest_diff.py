"""``azurevane manifest diff``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import files
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ManifestDiff(base.OperatorsCommand):
    """Compare a manifest file with the manifest in force."""

    name = "manifest diff"
    description = "Compare a manifest file with the manifest in force."
    arguments = [helpers.argument("file", "Manifest file (JSON).")]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print each value that differs."""
        import msgspec

        from azurevane._internal.models import fleet
        from azurevane._internal.operators import manifest_check
        from azurevane._internal.operators import manifest_diff

        after = manifest_check.parse_manifest(
            files.load_json(self.argument("file"))
        )
        state = msgspec.convert(self.fetch_state(), type=fleet.FleetState)
        differences = manifest_diff.diff_manifests(state.manifest, after)
        return self.print_data(
            msgspec.to_builtins(differences),
            ("place", "in force", "in the file"),
            [(item.place, item.before, item.after) for item in differences],
        )
