"""HTTP calls to the platform and the runners."""

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

# A host that is gone doesn't answer a connection attempt at all; the round
# trip inside a region is below 10 ms.
CONNECT_TIMEOUT_S = 1.0
# Above the longest pause between two calls to a runner with work.
IDLE_CONNECTION_S = 20.0
IDLE_CONNECTIONS_PER_PEER = 4

_NOT_SENT = (
    error.ConnectError,
    error.DNSLookupError,
    error.ConnectBindError,
    error.ConnectingCancelledError,
)
_TIMED_OUT = (defer.TimeoutError, defer.CancelledError)
_UNKNOWN = (
    error.ConnectionClosed,
    *_TIMED_OUT,
    client.ResponseFailed,
    client.PartialDownloadError,
    client.RequestTransmissionFailed,
    client.RequestGenerationFailed,
    client.ResponseNeverReceived,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer; ``body`` is empty or undecoded."""

    status: int
    body: bytes


@interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Writes a short body at once; twisted's own takes reactor turns."""

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
    """Return the decoded body of an answer with status 200.

    Args:
        what: the call, for the text of the error.

    Raises:
        CallFailed: it has another status, with which nothing ran, or a
            body that can't be read.
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
    """Sends calls with JSON bodies, each within a time of its own."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        *,
        agent: iweb.IAgent | None = None,
    ) -> None:
        self._reactor = reactor
        pool = client.HTTPConnectionPool(reactor)
        # A repeated call may run twice; only the caller knows if it may.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_PEER
        pool.cachedConnectionTimeout = IDLE_CONNECTION_S
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
        """Send one call and return its whole answer, whatever its status.

        Args:
            body: value that is sent as JSON, or None.
            timeout_s: time from here to the end of the answer.

        Raises:
            CallFailed: no whole answer came; its verdict says whether the
                call may have run.
        """
        call = defer.ensureDeferred(
            self._call(address, method, path, body, headers or {})
        )
        call.addTimeout(timeout_s, self._reactor)
        try:
            return await call
        except _NOT_SENT as failure:
            raise exceptions.CallFailed(
                f"{method.decode()} {path} at {address}: {failure!r}",
                verdict.Verdict.NOT_RUN,
                refused=isinstance(failure, error.ConnectionRefusedError),
            ) from failure
        except _UNKNOWN as failure:
            raise exceptions.CallFailed(
                f"{method.decode()} {path} at {address}: {failure!r}",
                verdict.Verdict.MAY_HAVE_RUN,
                timed_out=isinstance(failure, _TIMED_OUT),
            ) from failure

    async def _call(
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
        """Close idle connections."""
        return self._pool.closeCachedConnections()
