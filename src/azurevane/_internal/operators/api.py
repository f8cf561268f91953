"""HTTP API for operators."""

import hashlib
import hmac
import logging
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

logger = logging.getLogger(__name__)


class FleetOperations(Protocol):
    """Operations behind the HTTP API; implemented by the daemon."""

    @property
    def state(self) -> fleet.FleetState:
        """The fleet state in force."""

    async def make_change(
        self, kind: str, base_version: int | None, content: Any, change_id: str
    ) -> tuple[int, dict[str, Any]]:
        """Make a change and return an HTTP status and a body.

        Args:
            change_id: identifier chosen by the client for a later look-up, or
                empty.
        """

    async def find_change(self, change_id: str) -> tuple[int, dict[str, Any]]:
        """Return the outcome of a change as HTTP status and body."""

    def status(self) -> dict[str, Any]:
        """Return the host's view of the fleet."""


class OperatorsResource(resource.Resource):
    """Answers ``/v1`` requests that carry the operators' credential."""

    isLeaf = True

    def __init__(self, token_digest: str, operations: FleetOperations) -> None:
        super().__init__()
        self._token_digest = token_digest
        self._operations = operations
        self._recent_events = recent.RecentEvents()
        catalogue.listeners.append(self._recent_events.record)

    def render(self, request: server.Request) -> Any:
        """Answer one request."""
        if not self._authorized(request):
            return _render_json(request, 401, {"error": "credential required"})
        route = (request.method, request.path)
        if route == (b"GET", b"/v1/state"):
            return _render_json(
                request, 200, msgspec.to_builtins(self._operations.state)
            )
        if route == (b"GET", b"/v1/status"):
            return _render_json(request, 200, self._operations.status())
        if route == (b"POST", b"/v1/changes"):
            return _answer_async(request, self._make_change(request))
        prefix = b"/v1/changes/"
        if request.method == b"GET" and request.path.startswith(prefix):
            change_id = request.path.removeprefix(prefix).decode(
                "ascii", "replace"
            )
            return _answer_async(
                request, self._operations.find_change(change_id)
            )
        prefix = b"/v1/explain/"
        if request.method == b"GET" and request.path.startswith(prefix):
            name = request.path.removeprefix(prefix).decode("ascii", "replace")
            matching_events = self._recent_events.find_by_value(
                urllib.parse.unquote(name)
            )
            return _render_json(request, 200, matching_events)
        return _render_json(request, 404, {"error": "no such call"})

    def _authorized(self, request: server.Request) -> bool:
        header = request.getHeader("Authorization") or ""
        token = header.removeprefix("Bearer ").strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        return hmac.compare_digest(digest, self._token_digest)

    async def _make_change(
        self, request: server.Request
    ) -> tuple[int, dict[str, Any]]:
        body = msgspec.json.decode(request.content.read())
        return await self._operations.make_change(
            body["kind"],
            body.get("base_version"),
            body["content"],
            str(body.get("change_id", "")),
        )


def _answer_async(request: server.Request, operation: Any) -> Any:
    running = defer.ensureDeferred(_answer(request, operation))
    running.addErrback(
        lambda reason: logger.error(
            "Request to the operators' API failed: %s", reason.getTraceback()
        )
    )
    return server.NOT_DONE_YET


async def _answer(request: server.Request, operation: Any) -> None:
    try:
        status, answer = await operation
    except exceptions.ManifestError as error:
        status, answer = 422, {"problems": list(error.problems)}
    except exceptions.StoreUnavailable as error:
        status, answer = 503, {"result": "refused", "error": str(error)}
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        status, answer = 400, {"error": f"Malformed change: {error!r}"}
    except Exception as error:
        # The change may have been started, so its outcome is unknown. The
        # operator is told that, instead of running into a timeout.
        status, answer = 500, {"result": "unknown", "error": repr(error)}
        logger.exception("Change failed")
    if request.channel is None:
        return
    request.write(_render_json(request, status, answer))
    request.finish()


def _render_json(request: server.Request, status: int, body: Any) -> bytes:
    request.setResponseCode(status, http.RESPONSES.get(status, b""))
    request.setHeader(b"Content-Type", b"application/json")
    return msgspec.json.encode(body)
