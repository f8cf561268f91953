"""One connection to a runner."""

import socket
from typing import Any, Protocol

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import _newclient
from twisted.web import iweb

# HTTP/1.1 doesn't say which request an answer belongs to, so unasked bytes
# that are on their way when a connection is used again would be taken for
# the answer. A connection is used again only for a runner that repeats this
# header of the request in its answers.
TAG_HEADER = "Azurevane-Request"


class ConnectionOwner(Protocol):
    """Keeps the connections of one runner."""

    def connection_idle(self, connection: "RunnerConnection") -> None:
        """Take back a connection whose answer was read whole."""

    def connection_lost(self, connection: "RunnerConnection") -> None:
        """Forget a connection."""


class RunnerConnection(protocol.Protocol):
    """Carries one request at a time to a runner.

    ``twisted.web.client`` ignores bytes after an answer and holds back an
    answer that comes before the request body was sent, so its connection
    class can't tell crossed or early answers. This one joins the same
    parser and request writer and closes after any of these.

    Attributes:
        requests_sent: number of requests that were begun here.
        request_sent: whether the current request was written whole.
        request_cut: whether its body stopped before its end.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._parser: Any = None
        self._proxy: Any = None
        self._closing = False
        self.requests_sent = 0
        self.request_sent = False
        self.request_cut = False
        self._answer_parser: Any = None
        self._tag = ""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def unused(self) -> bool:
        """Whether it is open, with nothing received that is unread."""
        if self._closing or self._parser is not None:
            return False
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Bytes before a request are no answer to it; no bytes: closed.
        return False

    def send(self, request: iweb.IClientRequest, tag: str) -> Any:
        """Write a request; return a Deferred with the answer's head.

        Args:
            tag: value of ``TAG_HEADER``, unique to this request.
        """
        assert self._parser is None, "one request at a time"
        assert not self._closing, "connection was given up"
        self.requests_sent += 1
        self.request_sent = False
        self._tag = tag
        self._proxy = _newclient.TransportProxyProducer(self.transport)
        self._parser = _newclient.HTTPClientParser(request, self._end_answer)
        self._parser.makeConnection(self._proxy)
        self._answer_parser = self._parser
        head = self._parser._responseDeferred
        written: defer.Deferred[None] = request.writeTo(self.transport)
        written.addCallbacks(self._note_written, lambda _: self.cut_request())
        return head

    def _note_written(self, _: None) -> None:
        self.request_sent = True

    @property
    def echoed_tag(self) -> bool | None:
        """Whether the answer names its request; None if it names none."""
        values = self._answer_parser.headers.getRawHeaders(TAG_HEADER)
        return None if values is None else values == [self._tag]

    @property
    def delimited_answer(self) -> bool:
        """Whether the answer states where it ends."""
        return any(
            self._answer_parser.connHeaders.hasHeader(name)
            for name in ("Transfer-Encoding", "Content-Length")
        )

    def cut_request(self) -> None:
        """Send no more of a request whose body won't arrive.

        The runner sees the end of the stream inside the body. It is done
        only when it closes or answers, so reading goes on.
        """
        if self._closing or self.request_sent:
            return
        self._closing = True
        self.request_cut = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def abort(self) -> None:
        """Close at once."""
        self._closing = True
        self.transport.abortConnection()

    def _end_answer(self, rest: bytes) -> None:
        parser, self._parser = self._parser, None
        if parser is None:
            # The end of the connection ended the answer; it has no length.
            return
        tokens = b",".join(
            parser.connHeaders.getRawHeaders(b"Connection", [])
        ).lower()
        reusable = (
            self.request_sent
            and self.echoed_tag is True
            and not rest
            and b"close" not in tokens
            and parser.response.version == (b"HTTP", 1, 1)
        )
        self._proxy.stopProxying()
        if self._closing:
            self.transport.abortConnection()
        elif not reusable:
            # Also an answer that came before the whole request was sent:
            # nobody needs the rest of the body.
            self.abort()
        else:
            self.transport.resumeProducing()
            self._owner.connection_idle(self)
        parser.connectionLost(twisted_failure.Failure(error.ConnectionDone()))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._parser is None:
            # Unasked bytes: they must not become the answer to the next
            # request.
            self.abort()
            self._owner.connection_lost(self)
            return
        try:
            self._parser.dataReceived(data)
        except Exception:  # The parser raises what its decoders raise.
            self._give_up(twisted_failure.Failure())

    def _give_up(self, reason: twisted_failure.Failure) -> None:
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
        self._owner.connection_lost(self)
        self._disconnect_parser(reason)
