"""Callers' connections: limits on heads, timeouts, malformed input."""

from typing import Any

from twisted.internet import interfaces
from twisted.web import http

from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.callers import problems
from azurevane._internal.models import request as request_models

# A head must be complete this long after its first byte, even while more
# bytes of it keep arriving.
HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60
# After an early answer, input is dropped for this long before the
# connection is closed: closing with unread input would reset it, and the
# answer could be lost.
LINGER_S = 2.0
# RFC 6585; twisted.web has no name for it.
_HEADERS_TOO_LARGE = 431


class CallersChannel(http.HTTPChannel):
    """One connection of a caller; its requests are served in order."""

    _head_timeout_call: Any = None
    _lingering_close_call: Any = None
    _input_refused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with the factory."""
        super().connectionMade()
        self.factory.channels.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse input, unless earlier input was refused."""
        if self._input_refused:
            return
        if self.line_mode and self._head_timeout_call is None:
            self._head_timeout_call = self.callLater(
                HEAD_TIMEOUT_S, self._handle_head_timeout
            )
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line of a head, unless earlier input was refused.

        ``twisted.web`` continues to parse after it has answered 400, so
        that a refused request would still run.
        """
        if not self._input_refused:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a head with too long a line."""
        self.refuse_input(_HEADERS_TOO_LARGE, "headers-too-large")

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Begin a request whose head is complete."""
        self._cancel_head_timeout()
        if self._input_refused:
            return
        request = self.requests[-1]
        self.persistent = self.checkPersistence(request, self._version)
        # Until the request has ended, its own deadline applies.
        self.setTimeout(None)
        request.gotLength(self.length)

    def allContentReceived(self) -> None:  # noqa: N802
        """End the input of a request."""
        if not self._input_refused:
            super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Continue with the next request, or close the connection."""
        if self.factory.closing:
            self.persistent = False
        self.setTimeout(self.timeOut)
        super().requestDone(request)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing; resume reading unless the body is paused."""
        super().resumeProducing()
        if self.requests and self.requests[0].body_paused:
            self.transport.pauseProducing()

    @property
    def idle(self) -> bool:
        """Whether no request is being received or served."""
        return not self.requests

    def _handle_head_timeout(self) -> None:
        self._head_timeout_call = None
        self.refuse_input(http.REQUEST_TIMEOUT, "head-too-slow")

    def _cancel_head_timeout(self) -> None:
        if self._head_timeout_call is not None:
            self._head_timeout_call.cancel()
            self._head_timeout_call = None

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # Overrides a private method: it is where twisted.web answers
        # every kind of malformed input with a bare 400.
        too_large = (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        )
        if too_large:
            self.refuse_input(_HEADERS_TOO_LARGE, "headers-too-large")
        else:
            self.refuse_input(http.BAD_REQUEST, "malformed")

    def refuse_input(self, status: int, problem: str) -> None:
        """Refuse input that isn't a valid request, and ignore the rest."""
        if self._input_refused:
            return
        self._input_refused = True
        self._cancel_head_timeout()
        self.persistent = False
        refusal = request_models.Refusal(
            "", status, problem, "The input is not a valid HTTP/1.1 request"
        )
        if self.requests and self.requests[0].head_accepted:
            self.requests[0].abort_input(refusal)
        else:
            self.transport.write(_encode_refusal(refusal))
        self.begin_lingering_close()

    def begin_lingering_close(self) -> None:
        """Drop input for ``LINGER_S``, then close the connection."""
        if self._lingering_close_call is None:
            self.transport.resumeProducing()
            self._lingering_close_call = self.callLater(
                LINGER_S, self.loseConnection
            )

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Unregister the connection and cancel its timers."""
        self._cancel_head_timeout()
        if (
            self._lingering_close_call is not None
            and self._lingering_close_call.active()
        ):
            self._lingering_close_call.cancel()
        self.factory.channels.discard(self)
        super().connectionLost(reason)


def _encode_refusal(refusal: request_models.Refusal) -> bytes:
    body = problems.encode_problem(refusal)
    phrase = http.RESPONSES.get(
        refusal.status, b"Request Header Fields Too Large"
    )
    return b"".join(
        (
            b"HTTP/1.1 %d %s\r\n" % (refusal.status, phrase),
            b"Content-Type: application/problem+json\r\n",
            b"Content-Length: %d\r\n" % len(body),
            b"Connection: close\r\n\r\n",
            body,
        )
    )


class CallersFactory(http.HTTPFactory):
    """Accepts callers' connections.

    Attributes:
        channels: the open connections.
        closing: whether connections are closed after their answer.
    """

    protocol = CallersChannel

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        handler: exchange_module.ExchangeHandler,
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_S, reactor=reactor)
        self.channels: set[CallersChannel] = set()
        self.closing = False
        self._request_class = type(
            "CallerRequest",
            (exchange_module.CallerRequest,),
            {"handler": handler},
        )

    def buildProtocol(self, addr: object) -> object:  # noqa: N802
        """Return the protocol of a new connection."""
        protocol = super().buildProtocol(addr)
        protocol.requestFactory = self._request_class
        return protocol

    def begin_closing(self) -> None:
        """Announce on each further answer that its connection closes."""
        self.closing = True

    @property
    def busy(self) -> bool:
        """Whether any connection carries a request."""
        return any(not channel.idle for channel in self.channels)

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for channel in list(self.channels):
            if channel.idle:
                channel.loseConnection()

    def log(self, request: http.Request) -> None:
        """Write no access log; numbered events record each request."""
