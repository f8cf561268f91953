"""One request of a caller and its answer, streamed both ways."""

import dataclasses
from typing import Any, Protocol

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from azurevane._internal.callers import problems
from azurevane._internal.models import request as request_models

# After an early answer, this much of the rest of a body is read and
# dropped before the connection is closed.
DISCARD_LIMIT_BYTES = 256 * 1024
DISCARD_LIMIT_S = 2.0


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """What is known of a request before its body is read.

    Attributes:
        length: bytes of the body; None if it is chunked.
    """

    method: str
    path: str
    headers: http_headers.Headers
    length: int | None


class ExchangeHandler(Protocol):
    """Decides about each request; implemented by the entry daemon."""

    def begin(self, exchange: "CallerRequest") -> None:
        """Take over a request whose head has arrived."""

    def caller_left(self, exchange: "CallerRequest") -> None:
        """Note that the caller closed the connection."""


@implementer(iweb.IBodyProducer)
class StreamedBody:
    """Passes a caller's body on, holding at most one read of it."""

    def __init__(
        self, length: int | None, transport: interfaces.ITCPTransport
    ) -> None:
        self.length = iweb.UNKNOWN_LENGTH if length is None else length
        self._transport = transport
        self._chunks: list[bytes] = []
        self.complete = False
        self._stopped = False
        self._consumer: interfaces.IConsumer | None = None
        self._done: defer.Deferred[None] = defer.Deferred()

    def startProducing(  # noqa: N802 (name of the interface)
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        """Write the body to a consumer until it is complete."""
        self._consumer = consumer
        for chunk in self._chunks:
            consumer.write(chunk)
        self._chunks.clear()
        if self.complete:
            self._done.callback(None)
        else:
            self._transport.resumeProducing()
        return self._done

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the caller."""
        self._transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read from the caller again."""
        self._transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop what still arrives."""
        self._stopped = True
        self._chunks.clear()
        self._transport.resumeProducing()

    def received(self, data: bytes) -> None:
        """Take a chunk from the caller."""
        if self._stopped:
            return
        if self._consumer is None:
            self._chunks.append(data)
            return
        self._consumer.write(data)

    def completed(self) -> None:
        """Note that the caller has sent the whole body."""
        self.complete = True
        if self._consumer is not None and not self._stopped:
            self._done.callback(None)


class CallerRequest(http.Request):
    """A request that is decided on before its body is read.

    ``twisted.web`` would spool a larger body into a temporary file; the
    hosts have no disks, so the body is passed on as it arrives.
    """

    handler: ExchangeHandler
    submission_id: str | None = None
    _discarded_bytes = 0
    _close_call: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Begin the exchange; the head is complete here."""
        self.answered = False
        self.head = RequestHead(
            method=self.channel._command.decode("ascii", "replace"),
            path=self.channel._path.decode("ascii", "replace"),
            headers=self.requestHeaders,
            length=length,
        )
        self.method = self.channel._command
        self.uri = self.channel._path
        self.clientproto = self.channel._version
        self.body = StreamedBody(length, self.channel.transport)
        self.notifyFinish().addErrback(lambda _: self._left())
        if length != 0:
            self.channel.transport.pauseProducing()
            self.handler.begin(self)

    def _left(self) -> None:
        if not self.answered:
            self.answered = True
            self.handler.caller_left(self)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Pass a chunk of the body on, or drop it after an early answer."""
        if not self.answered:
            self.body.received(data)
            return
        self._discarded_bytes += len(data)
        if self._discarded_bytes > DISCARD_LIMIT_BYTES:
            self.channel.loseConnection()

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Note that the whole request has arrived."""
        self.body.completed()
        if self.head.length == 0:
            # Begun only now: twisted.web can't finish a request before
            # it has noted that its (empty) body has arrived.
            self.handler.begin(self)
        elif self.answered and not self.finished:
            self._close_call.cancel()
            self.finish()

    def refuse(self, refusal: request_models.Refusal) -> None:
        """Answer with a problem document and end the exchange."""
        if self.answered:
            return
        body = problems.encode_problem(refusal)
        self.setResponseCode(refusal.status)
        self.setHeader(b"Content-Type", b"application/problem+json")
        retry_after = problems.retry_after_header(refusal)
        if retry_after is not None:
            self.setHeader(b"Retry-After", retry_after)
        if refusal.status == http.UNAUTHORIZED:
            self.setHeader(b"WWW-Authenticate", b"Bearer")
        self.answer_bytes(body)

    def answer_bytes(self, body: bytes) -> None:
        """Write a whole body and end the exchange."""
        self.answered = True
        self.setHeader(b"Content-Length", str(len(body)).encode())
        if self.body.complete or self.head.length == 0:
            self.write(body)
            self.finish()
            return
        # The answer goes out whole at once. The rest of the body is read
        # and dropped for a moment, since closing with unread data would
        # reset the connection and could lose the answer.
        self.channel.persistent = False
        self.setHeader(b"Connection", b"close")
        self.write(body)
        self.channel.transport.resumeProducing()
        self._close_call = self.channel.callLater(
            DISCARD_LIMIT_S, self.channel.loseConnection
        )

    def abort(self) -> None:
        """Break the connection, so that no part is taken for whole."""
        self.answered = True
        if self.channel is not None:
            self.channel.forceAbortClient()


class CallersFactory(http.HTTPFactory):
    """Accepts callers' connections."""

    def __init__(
        self, reactor: interfaces.IReactorTime, handler: ExchangeHandler
    ) -> None:
        super().__init__(timeout=60, reactor=reactor)
        self._request_class = type(
            "CallerRequest", (CallerRequest,), {"handler": handler}
        )

    def buildProtocol(self, addr: object) -> object:  # noqa: N802
        """Return the protocol of a new connection."""
        protocol = super().buildProtocol(addr)
        protocol.requestFactory = self._request_class
        return protocol

    def log(self, request: http.Request) -> None:
        """Write no access log; each request is a numbered event."""
