"""HTTP/1.1 connection to a runner."""

import socket
from typing import Any, Protocol

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import _newclient
from twisted.web import iweb

# HTTP/1.1 doesn't say which request an answer belongs to, so unsolicited bytes
# that are in transit when a connection is reused would be taken for the
# answer. A connection is reused only for a runner that echoes this request
# header in its answers.
TAG_HEADER = "Azurevane-Request"


class ConnectionOwner(Protocol):
    """Owner of the connections to one runner."""

    def handle_connection_idle(self, connection: "RunnerConnection") -> None:
        """Take back a connection whose answer was read to its end."""

    def handle_connection_lost(self, connection: "RunnerConnection") -> None:
        """Remove a closed connection."""


class RunnerConnection(protocol.Protocol):
    """Carries one request at a time to a runner.

    ``twisted.web.client`` ignores bytes after an answer and delays an
    answer that arrives before the request body was sent, so its connection
    class can't detect crossed or early answers. This class uses the same
    parser and request writer, and closes the connection in these cases.

    Attributes:
        requests_sent: number of requests started on this connection.
        request_sent: whether the current request was written completely.
        request_truncated: whether its body ended prematurely.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._parser: Any = None
        self._proxy: Any = None
        self._closing = False
        self.requests_sent = 0
        self.request_sent = False
        self.request_truncated = False
        self._answer_parser: Any = None
        self._tag = ""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def is_ready(self) -> bool:
        """Return whether it is open, without a request or unread bytes."""
        if self._closing or self._parser is not None:
            return False
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Unsolicited bytes can't be an answer; an empty read means that the
        # runner has closed the connection.
        return False

    def send_request(self, request: iweb.IClientRequest, tag: str) -> Any:
        """Write a request; return a Deferred of the answer's head.

        Args:
            tag: value of ``TAG_HEADER``, unique to this request.
        """
        assert self._parser is None, "one request at a time"
        assert not self._closing, "connection is closing"
        self.requests_sent += 1
        self.request_sent = False
        self._tag = tag
        self._proxy = _newclient.TransportProxyProducer(self.transport)
        self._parser = _newclient.HTTPClientParser(
            request, self._finish_answer
        )
        self._parser.makeConnection(self._proxy)
        self._answer_parser = self._parser
        head = self._parser._responseDeferred
        written: defer.Deferred[None] = request.writeTo(self.transport)
        written.addCallbacks(
            self._mark_request_sent, lambda _: self.truncate_request()
        )
        return head

    def _mark_request_sent(self, _: None) -> None:
        self.request_sent = True

    @property
    def echoed_tag(self) -> bool | None:
        """Whether the answer echoes the request's tag; None without a tag."""
        values = self._answer_parser.headers.getRawHeaders(TAG_HEADER)
        return None if values is None else values == [self._tag]

    @property
    def answer_is_delimited(self) -> bool:
        """Whether the answer's headers tell where its body ends."""
        return any(
            self._answer_parser.connHeaders.hasHeader(name)
            for name in ("Transfer-Encoding", "Content-Length")
        )

    def truncate_request(self) -> None:
        """Half-close the connection after the body failed to arrive.

        The runner sees the end of the stream inside the body. Its work ends
        only when it closes or answers, so the connection is read further.
        """
        if self._closing or self.request_sent:
            return
        self._closing = True
        self.request_truncated = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._closing = True
        self.transport.abortConnection()

    def _finish_answer(self, rest: bytes) -> None:
        parser, self._parser = self._parser, None
        if parser is None:
            # The answer has no length; the end of the connection ended it.
            return
        connection_options = b",".join(
            parser.connHeaders.getRawHeaders(b"Connection", [])
        ).lower()
        reusable = (
            self.request_sent
            and self.echoed_tag is True
            and not rest
            and b"close" not in connection_options
            and parser.response.version == (b"HTTP", 1, 1)
        )
        self._proxy.stopProxying()
        if self._closing:
            self.transport.abortConnection()
        elif not reusable:
            # This includes an answer that arrived before the whole request
            # was sent: the rest of the request body isn't needed.
            self.abort()
        else:
            self.transport.resumeProducing()
            self._owner.handle_connection_idle(self)
        parser.connectionLost(twisted_failure.Failure(error.ConnectionDone()))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._parser is None:
            # Unsolicited bytes must not be taken for the answer to the next
            # request.
            self.abort()
            self._owner.handle_connection_lost(self)
            return
        try:
            self._parser.dataReceived(data)
        except Exception:  # The parser raises any error of its decoders.
            self._abort_with_reason(twisted_failure.Failure())

    def _abort_with_reason(self, reason: twisted_failure.Failure) -> None:
        self.abort()
        self._disconnect_parser(reason)

    def _disconnect_parser(self, reason: twisted_failure.Failure) -> None:
        parser, self._parser = self._parser, None
        if parser is not None:
            self._proxy.stopProxying()
            parser.connectionLost(reason)

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        self._closing = True
        self._owner.handle_connection_lost(self)
        self._disconnect_parser(reason)
