"""Sends requests to runners and passes their answers on."""

import dataclasses
from typing import Any

from returns import result
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb

from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.upstreams import verdicts

# Headers that belong to one connection (RFC 9110, section 7.6.1), or that
# carry the caller's key, which upstreams must not see.
_DROPPED_REQUEST_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"authorization",
        b"expect",
        b"host",
    )
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"upgrade")
)


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerAnswer:
    """A whole answer that was passed on to the caller."""

    status: int


class _AnswerRelay(protocol.Protocol):
    """Writes an answer's body to the caller with back-pressure."""

    def __init__(self, exchange: exchange_module.CallerRequest) -> None:
        self.done: defer.Deferred[None] = defer.Deferred()
        self._exchange = exchange

    def connectionMade(self) -> None:  # noqa: N802
        if not self._exchange.answered:
            self._exchange.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._exchange.answered:
            self._exchange.write(data)

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        if not self._exchange.answered:
            self._exchange.unregisterProducer()
        if reason.check(client.ResponseDone):
            self.done.callback(None)
        else:
            self.done.errback(reason)


class RunnerClient:
    """Sends one request at a time on each connection to a runner."""

    def __init__(self, reactor: Any) -> None:
        self._reactor: interfaces.IReactorTime = reactor
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = 10
        self._agent = client.Agent(
            reactor, connectTimeout=2.0, pool=self._pool
        )

    async def run(
        self,
        exchange: exchange_module.CallerRequest,
        path: str,
        runner: manifest_models.Runner,
        team: str,
        not_after: float,
    ) -> result.Result[RunnerAnswer, verdict_models.Failure]:
        """Send a request to a runner and stream the answer back.

        Args:
            not_after: monotonic seconds at which the run is given up.

        Returns:
            The status of a whole answer, or why there is none. If part
            of the answer was already passed on, the caller's connection
            has been broken.
        """
        head = exchange.head
        url = f"http://{runner.address}:{runner.port}{path}"
        call = self._agent.request(
            head.method.encode(),
            url.encode(),
            _request_headers(head.headers, team),
            None if head.length == 0 else exchange.body,
        )
        call.addTimeout(not_after - self._reactor.seconds(), self._reactor)
        try:
            response = await call
        except (
            error.ConnectError,
            defer.TimeoutError,
            defer.CancelledError,
            client.RequestNotSent,
            client.ResponseFailed,
            client.RequestTransmissionFailed,
            client.RequestGenerationFailed,
        ) as reason:
            return result.Failure(verdicts.classify_error(reason))
        return await self._relay(exchange, response, not_after)

    async def _relay(
        self,
        exchange: exchange_module.CallerRequest,
        response: iweb.IResponse,
        not_after: float,
    ) -> result.Result[RunnerAnswer, verdict_models.Failure]:
        refused = verdicts.classify_status(response.code, response.headers)
        if refused is not None:
            await client.readBody(response)
            return result.Failure(refused)
        if not exchange.answered:
            _copy_head(response, exchange)
        relay = _AnswerRelay(exchange)
        response.deliverBody(relay)
        relay.done.addTimeout(
            not_after - self._reactor.seconds(), self._reactor
        )
        try:
            await relay.done
        except (
            client.ResponseFailed,
            http.PotentialDataLoss,
            defer.TimeoutError,
            error.ConnectionClosed,
        ) as reason:
            exchange.abort()
            return result.Failure(verdicts.classify_error(reason))
        if not exchange.answered:
            exchange.answered = True
            exchange.finish()
        return result.Success(RunnerAnswer(response.code))


def _request_headers(
    headers: http_headers.Headers, team: str
) -> http_headers.Headers:
    passed = http_headers.Headers()
    for name, values in headers.getAllRawHeaders():
        if name.lower() not in _DROPPED_REQUEST_HEADERS:
            passed.setRawHeaders(name, values)
    passed.setRawHeaders("X-Azurevane-Team", [team])
    return passed


def _copy_head(
    response: iweb.IResponse, exchange: exchange_module.CallerRequest
) -> None:
    exchange.setResponseCode(response.code, response.phrase)
    for name, values in response.headers.getAllRawHeaders():
        if name.lower() not in _DROPPED_RESPONSE_HEADERS:
            exchange.responseHeaders.setRawHeaders(name, values)
    if response.length is not iweb.UNKNOWN_LENGTH:
        exchange.setHeader(b"Content-Length", str(response.length).encode())
