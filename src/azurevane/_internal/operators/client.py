"""Client of the operators' HTTP interface, for the command line.

Uses the standard library's HTTP client, so that a command starts without
loading the daemons' stack.
"""

import json
import os
from typing import Any
import urllib.error
import urllib.request

from azurevane import exceptions


class OperatorsClient:
    """Calls one entry host's operators' port."""

    def __init__(self, base_url: str, token: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._token = token

    @classmethod
    def from_environment(cls) -> "OperatorsClient":
        """Use ``AZUREVANE_URL`` and ``AZUREVANE_TOKEN``.

        Raises:
            SettingsError: one of them isn't set.
        """
        missing = [
            name
            for name in ("AZUREVANE_URL", "AZUREVANE_TOKEN")
            if not os.environ.get(name)
        ]
        if missing:
            raise exceptions.SettingsError(
                f"Set {' and '.join(missing)} in the environment"
            )
        return cls(os.environ["AZUREVANE_URL"], os.environ["AZUREVANE_TOKEN"])

    def call(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Return status and decoded body of one call.

        Raises:
            StoreUnavailable: the entry host gave no whole answer; a
                change may have been made.
        """
        request = urllib.request.Request(
            self._base_url + path,
            data=None if body is None else json.dumps(body).encode(),
            method=method,
            headers={"Authorization": f"Bearer {self._token}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=15) as answer:
                return answer.status, json.load(answer)
        except urllib.error.HTTPError as error:
            return error.code, json.load(error)
        except (OSError, ValueError) as error:
            raise exceptions.StoreUnavailable(
                f"{method} {path} at {self._base_url}: {error}"
            ) from error
