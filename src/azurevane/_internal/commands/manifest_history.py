"""``azurevane manifest history``."""

import datetime

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class ManifestHistory(base.OperatorsCommand):
    """List the latest accepted changes, newest first."""

    name = "manifest history"
    description = "List the latest accepted changes, newest first."
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print the changes that are recorded in the fleet state."""
        history = list(reversed(self.fetch_state()["history"]))
        rows = [
            (
                item["version"],
                item["kind"],
                datetime.datetime.fromtimestamp(
                    item["made_at"], datetime.UTC
                ).isoformat(timespec="seconds"),
                item["change_id"],
            )
            for item in history
        ]
        return self.print_data(
            history, ("version", "kind", "made at", "id"), rows
        )
