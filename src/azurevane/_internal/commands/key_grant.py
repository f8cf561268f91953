"""``azurevane key grant``."""

import hashlib
import secrets
import sys

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class KeyGrant(base.OperatorsCommand):
    """Grant a team an API key."""

    name = "key grant"
    description = "Grant a team an API key; a new key is printed once."
    help = (
        "Only the SHA-256 digest of the key is sent. With --stdin an existing"
        " key is read from standard input, because arguments are visible in"
        " process lists."
    )
    arguments = [helpers.argument("team", "Name of the team.")]
    options = [
        helpers.option("stdin", None, "Read the key from standard input.")
    ]

    def execute_command(self) -> status.ExitCode:
        """Grant the key and print it if it is new."""
        from_stdin = self.option("stdin")
        api_key = (
            sys.stdin.readline().strip()
            if from_stdin
            else secrets.token_urlsafe(32)
        )
        if len(api_key) < 16:
            self.line_error("Error: a key must have at least 16 characters")
            return status.ExitCode.USAGE
        digest = hashlib.sha256(api_key.encode()).hexdigest()
        code = self.make_change(
            "key-grant", {"team": self.argument("team"), "digest": digest}
        )
        if code is status.ExitCode.OK and not from_stdin:
            self.line(api_key)
        return code
