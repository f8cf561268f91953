"""``azurevane key withdraw``."""

from cleo import helpers

from azurevane import exceptions
from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class KeyWithdraw(base.OperatorsCommand):
    """Withdraw an API key; every entry host refuses it within 3 s."""

    name = "key withdraw"
    description = (
        "Withdraw an API key; every entry host refuses it within 3 s."
    )
    arguments = [
        helpers.argument(
            "digest", "SHA-256 of the key, or its first digits (key list)."
        )
    ]

    def execute_command(self) -> status.ExitCode:
        """Withdraw the only key whose digest begins with the digits."""
        prefix = self.argument("digest").lower()
        digests = [
            key["digest"]
            for key in self.fetch_state()["api_keys"]
            if key["digest"].startswith(prefix)
        ]
        if len(digests) != 1:
            raise exceptions.NotFound(
                f"{len(digests)} key digests begin with {prefix!r};"
                " exactly one must match"
            )
        return self.make_change("key-withdraw", {"digest": digests[0]})
