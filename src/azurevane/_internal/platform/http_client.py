"""HTTP client for the platform's services, the runners and other hosts."""

import dataclasses
from typing import Any, TypeVar

import msgspec
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import verdict

# A host that is down doesn't respond to a connection attempt at all. Round
# trips within a region take less than 10 ms.
CONNECT_TIMEOUT_S = 1.0
# Longer than the longest pause between two calls to a busy runner, so that
# its connection is reused.
IDLE_CONNECTION_TIMEOUT_S = 20.0
MAX_IDLE_CONNECTIONS_PER_PEER = 4

# Failures before the request was sent.
_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.DNSLookupError,
    error.ConnectBindError,
    error.ConnectingCancelledError,
)
_TIMEOUT_ERRORS = (defer.TimeoutError, defer.CancelledError)
# Failures after which the request may have been processed.
_MAYBE_SENT_ERRORS = (
    error.ConnectionClosed,
    *_TIMEOUT_ERRORS,
    client.ResponseFailed,
    client.PartialDownloadError,
    client.RequestTransmissionFailed,
    client.RequestGenerationFailed,
    client.ResponseNeverReceived,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response; ``body`` holds the bytes as received."""

    status: int
    body: bytes


@interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Writes a short body in one step.

    Twisted's own producer needs several reactor iterations for it.
    """

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> "defer.Deferred[None]":
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body was written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body was written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body was written at once."""


_T = TypeVar("_T")


def decode_response(response: Response, body_type: type[_T], what: str) -> _T:
    """Return the decoded body of a response with status 200.

    Args:
        what: description of the call for the error message.

    Raises:
        CallFailed: the status isn't 200, so that the request wasn't run,
            or the body can't be decoded.
    """
    if response.status != http.OK:
        raise exceptions.CallFailed(
            f"{what}: HTTP {response.status}", verdict.Verdict.NOT_RUN
        )
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except msgspec.MsgspecError as error:
        raise exceptions.CallFailed(
            f"{what}: {error}", verdict.Verdict.RAN
        ) from error


class HttpClient:
    """Sends requests with JSON bodies, each with its own timeout."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        *,
        agent: iweb.IAgent | None = None,
    ) -> None:
        self._reactor = reactor
        pool = client.HTTPConnectionPool(reactor)
        # A retried request may run twice; only the caller knows whether
        # that is safe.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_PEER
        pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        self._pool = pool
        self._agent = agent or client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool
        )

    async def call(
        self,
        address: host_settings.Address,
        method: bytes,
        path: str,
        body: Any = None,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request and return the complete response of any status.

        Args:
            body: value to send as JSON, or None for no body.
            timeout_s: time from the call to the end of the response.

        Raises:
            CallFailed: no complete response arrived; the verdict says
                whether the request may have run.
        """
        call = defer.ensureDeferred(
            self._send_request(address, method, path, body, headers or {})
        )
        call.addTimeout(timeout_s, self._reactor)
        try:
            return await call
        except _NOT_SENT_ERRORS as failure:
            raise exceptions.CallFailed(
                f"{method.decode()} {path} at {address}: {failure!r}",
                verdict.Verdict.NOT_RUN,
                refused=isinstance(failure, error.ConnectionRefusedError),
            ) from failure
        except _MAYBE_SENT_ERRORS as failure:
            raise exceptions.CallFailed(
                f"{method.decode()} {path} at {address}: {failure!r}",
                verdict.Verdict.MAY_HAVE_RUN,
                timed_out=isinstance(failure, _TIMEOUT_ERRORS),
            ) from failure

    async def _send_request(
        self,
        address: host_settings.Address,
        method: bytes,
        path: str,
        body: Any,
        headers: dict[str, str],
    ) -> Response:
        fields = http_headers.Headers(
            {name: [value] for name, value in headers.items()}
        )
        producer = None
        if body is not None:
            fields.addRawHeader("Content-Type", "application/json")
            producer = _BytesProducer(msgspec.json.encode(body))
        response = await self._agent.request(
            method, f"http://{address}{path}".encode(), fields, producer
        )
        return Response(response.code, await client.readBody(response))

    def close(self) -> "defer.Deferred[None]":
        """Close the pooled idle connections."""
        return self._pool.closeCachedConnections()
