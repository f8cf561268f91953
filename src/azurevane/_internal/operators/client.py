"""Client of the operators' HTTP API, for the command line.

Uses the HTTP client of the standard library, so that a command starts
without importing the daemons' dependencies.
"""

from collections.abc import Sequence
import dataclasses
import json
import os
import secrets
import time
from typing import Any
import urllib.error
import urllib.request

from azurevane import exceptions

# Waits before each look-up of a change. An entry host decides a change within
# the timeouts of its prepare and its write, so the last look-up is final.
_LOOKUP_DELAYS_S = (0.5, 1.5, 3.0)


@dataclasses.dataclass(frozen=True)
class ChangeResponse:
    """Answer to a change.

    Attributes:
        status: HTTP status; 0 if the outcome is unknown.
        body: decoded body; empty if the outcome is unknown.
        change_id: identifier of the change for a later look-up.
    """

    status: int
    body: Any
    change_id: str


class OperatorsClient:
    """Sends requests to the operators' port of an entry host."""

    def __init__(self, base_urls: Sequence[str], token: str) -> None:
        self._base_urls = tuple(url.strip().rstrip("/") for url in base_urls)
        self._token = token

    @classmethod
    def from_environment(cls) -> "OperatorsClient":
        """Create a client from ``AZUREVANE_URL`` and ``AZUREVANE_TOKEN``.

        ``AZUREVANE_URL`` may hold several URLs, separated by commas.

        Raises:
            SettingsError: one of the variables isn't set.
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
        return cls(
            os.environ["AZUREVANE_URL"].split(","),
            os.environ["AZUREVANE_TOKEN"],
        )

    def submit_change(
        self, kind: str, content: Any, base_version: int | None
    ) -> ChangeResponse:
        """Make a change at the first entry host.

        If the answer is lost, the outcome is looked up.
        """
        change_id = secrets.token_urlsafe(16)
        body = {
            "kind": kind,
            "change_id": change_id,
            "base_version": base_version,
            "content": content,
        }
        try:
            status, answer = self._call_host(
                self._base_urls[0], "POST", "/v1/changes", body
            )
        except exceptions.StoreUnavailable:
            return self._look_up_outcome(change_id)
        if status >= 500 and answer.get("result") == "unknown":
            return self._look_up_outcome(change_id)
        return ChangeResponse(status, answer, change_id)

    def _look_up_outcome(self, change_id: str) -> ChangeResponse:
        for wait_s in _LOOKUP_DELAYS_S:
            time.sleep(wait_s)
            try:
                status, body = self.call("GET", f"/v1/changes/{change_id}")
            except exceptions.StoreUnavailable:
                continue
            if status == 200:
                return ChangeResponse(status, body, change_id)
        return ChangeResponse(0, {}, change_id)

    def call(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Return status and decoded body of a read-only request.

        The entry hosts are tried in order until one answers.

        Raises:
            StoreUnavailable: no entry host gave a complete answer.
        """
        failures = []
        for base_url in self._base_urls:
            try:
                status, answer = self._call_host(base_url, method, path, body)
            except exceptions.StoreUnavailable as error:
                failures.append(str(error))
                continue
            if status < 500:
                return status, answer
            failures.append(f"{base_url}: HTTP {status}: {answer}")
        raise exceptions.StoreUnavailable("\n".join(failures))

    def _call_host(
        self, base_url: str, method: str, path: str, body: Any
    ) -> tuple[int, Any]:
        request = urllib.request.Request(
            base_url + path,
            data=None if body is None else json.dumps(body).encode(),
            method=method,
            headers={"Authorization": f"Bearer {self._token}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=15) as answer:
                return answer.status, json.load(answer)
        except urllib.error.HTTPError as error:
            return error.code, _decode_error_body(error)
        except (OSError, ValueError) as error:
            raise exceptions.StoreUnavailable(
                f"{method} {path} at {base_url}: {error}"
            ) from error


def _decode_error_body(error: urllib.error.HTTPError) -> Any:
    try:
        return json.load(error)
    except ValueError:
        return {"error": f"HTTP {error.code}"}
