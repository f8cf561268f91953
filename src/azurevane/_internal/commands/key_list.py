"""``azurevane key list``."""

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class KeyList(base.OperatorsCommand):
    """List the digests of the API keys in force."""

    name = "key list"
    description = "List the digests of the API keys in force, by team."
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print team and digest of each key."""
        keys = self.fetch_state()["api_keys"]
        rows = sorted((key["team"], key["digest"]) for key in keys)
        return self.print_data(keys, ("team", "SHA-256 of the key"), rows)
