"""Random identifiers that can't be guessed."""

import secrets


def new_token() -> str:
    """Return a new random identifier of 22 URL-safe characters."""
    return secrets.token_urlsafe(16)
