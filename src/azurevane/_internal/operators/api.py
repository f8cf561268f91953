"""HTTP interface for operators."""

import hashlib
import hmac
from typing import Any, Protocol
import urllib.parse

import msgspec
from twisted.internet import defer
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import recent
from azurevane._internal.models import fleet


class ChangeMaker(Protocol):
    """Makes changes to the fleet state; implemented by the daemon."""

    @property
    def state(self) -> fleet.FleetState:
        """The fleet state in force."""

    def status(self) -> dict[str, Any]:
        """What this entry host knows of itself, for people."""

    async def make_change(
        self, kind: str, base_version: int | None, content: Any, token: str
    ) -> tuple[int, dict[str, Any]]:
        """Make a change and return an HTTP status and a body.

        Args:
            token: chosen by the client for a later look-up, or empty.
        """


class OperatorsResource(resource.Resource):
    """Answers ``/v1`` calls that carry the operators' credential."""

    isLeaf = True

    def __init__(self, token_digest: str, maker: ChangeMaker) -> None:
        super().__init__()
        self._token_digest = token_digest
        self._maker = maker
        self._recent = recent.RecentEvents()
        catalogue.listeners.append(self._recent.record)

    def render(self, request: server.Request) -> Any:
        """Answer one call."""
        if not self._authorized(request):
            return _write(request, 401, {"error": "credential required"})
        route = (request.method, request.path)
        if route == (b"GET", b"/v1/state"):
            return _write(request, 200, msgspec.to_builtins(self._maker.state))
        if route == (b"GET", b"/v1/status"):
            return _write(request, 200, self._maker.status())
        path = request.path.decode("ascii", "replace")
        if request.method == b"GET" and path.startswith("/v1/changes/"):
            return self._look_up(request, path.removeprefix("/v1/changes/"))
        if request.method == b"GET" and path.startswith("/v1/explain/"):
            name = urllib.parse.unquote(path.removeprefix("/v1/explain/"))
            return _write(request, 200, self._recent.about(name))
        if route == (b"POST", b"/v1/changes"):
            defer.ensureDeferred(self._change(request))
            return server.NOT_DONE_YET
        return _write(request, 404, {"error": "no such call"})

    def _authorized(self, request: server.Request) -> bool:
        header = request.getHeader("Authorization") or ""
        token = header.removeprefix("Bearer ").strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        return hmac.compare_digest(digest, self._token_digest)

    def _look_up(self, request: server.Request, token: str) -> bytes:
        for record in self._maker.state.history:
            if record.token == token:
                return _write(request, 200, msgspec.to_builtins(record))
        return _write(
            request,
            404,
            {"problems": [f"No accepted change has the token {token!r}"]},
        )

    async def _change(self, request: server.Request) -> None:
        try:
            body = msgspec.json.decode(request.content.read())
            status, answer = await self._maker.make_change(
                body["kind"],
                body.get("base_version"),
                body["content"],
                str(body.get("token", "")),
            )
        except exceptions.ManifestError as error:
            status, answer = 422, {"problems": list(error.problems)}
        except exceptions.StoreUnavailable as error:
            status, answer = 503, {"error": str(error)}
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            status, answer = 400, {"error": f"Malformed change: {error}"}
        if request.channel is None:
            return
        request.write(_write(request, status, answer))
        request.finish()


def _write(request: server.Request, status: int, body: Any) -> bytes:
    request.setResponseCode(status, http.RESPONSES.get(status, b""))
    request.setHeader(b"Content-Type", b"application/json")
    return msgspec.json.encode(body)
