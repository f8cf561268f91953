"""HTTP/1.1 connections that are kept open and reused for further calls."""

import collections
from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure as twisted_failure

from azurevane._internal.models import host_settings

# A host that is down doesn't respond to a connection attempt at all. Round
# trips within a region take less than 10 ms.
CONNECT_TIMEOUT_S = 1.0
# Longer than the longest pause between two calls to a busy runner, so that
# its connection is reused.
IDLE_CONNECTION_TIMEOUT_S = 20.0
CLOSE_IDLE_INTERVAL_S = 5.0
MAX_IDLE_CONNECTIONS_PER_PEER = 4
# Above a page of the store, the largest response, which takes 1 MB. A peer
# that sends more must not take this host's memory.
MAX_RESPONSE_BYTES = 4 << 20


class ResponseTooLarge(Exception):
    """Reason of an exchange whose response is larger than any should be."""


class SentTooLate(Exception):
    """Reason of an exchange that couldn't be sent before its deadline."""


class Exchange:
    """A request, and what becomes of it; ends exactly once.

    Args:
        request: the complete request as sent.
        max_parallel: largest number of such exchanges with the peer at a
            time, beyond which this one waits; 0 for no limit.
        on_response: called with status and body of a complete response.
        on_failure: called with an exception if there is none.
        send_before: monotonic time from which the request isn't sent any
            more; None for no deadline.
        new_connection: whether a new connection must be opened for it.

    Attributes:
        sent: whether the request was passed to a connection.
        ended: whether the response or the failure was passed on.
    """

    __slots__ = (
        "_on_failure",
        "_on_response",
        "connection",
        "ended",
        "max_parallel",
        "new_connection",
        "request",
        "send_before",
        "sent",
    )

    def __init__(
        self,
        request: bytes,
        max_parallel: int,
        on_response: Callable[[int, bytes], None],
        on_failure: Callable[[BaseException], None],
        send_before: float | None = None,
        new_connection: bool = False,
    ) -> None:
        self.request = request
        self.send_before = send_before
        self.new_connection = new_connection
        self.max_parallel = max_parallel
        self._on_response = on_response
        self._on_failure = on_failure
        self.connection: _Connection | None = None
        self.sent = False
        self.ended = False

    def succeed(self, status: int, body: bytes) -> None:
        """Pass the response on."""
        if not self.ended:
            self.ended = True
            self._on_response(status, body)

    def fail(self, reason: BaseException) -> None:
        """Pass a failure on."""
        if not self.ended:
            self.ended = True
            self._on_failure(reason)


class _Connection(protocol.Protocol):
    """One connection to a peer; carries one exchange at a time.

    Attributes:
        idle_since: when the last exchange ended.
        closed: whether the connection was lost or is being aborted.
    """

    def __init__(self, peer: "Peer", exchange: Exchange) -> None:
        self._peer = peer
        self._exchange: Exchange | None = exchange
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._framed = False
        self._headers_complete = False
        self._message_complete = False
        self._keep_alive = False
        self.idle_since = 0.0
        self.closed = False

    def send(self, exchange: Exchange) -> None:
        """Send a request on an open connection without an exchange."""
        self._exchange = exchange
        exchange.connection = self
        # Opening the connection may have taken longer than the connect
        # timeout, as timers don't run while the process is frozen.
        if not self._peer.may_send(exchange):
            self._fail(SentTooLate())
            return
        exchange.sent = True
        self.transport.write(exchange.request)

    def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        if self.transport is not None:
            self.transport.abortConnection()

    # Called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request for which the connection was opened."""
        exchange = self._exchange
        if self.closed or exchange is None or exchange.ended:
            self.close()
            return
        self.send(exchange)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of the response."""
        if self._exchange is None or self.closed:
            # There is no request that this could answer.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as reason:
            self.close()
            self._fail(reason)
            return
        if self._message_complete:
            if not self._keep_alive:
                self.close()
            self._complete()

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """End the exchange in progress."""
        self.closed = True
        self._peer.forget(self)
        closed_by_peer = reason.check(error.ConnectionDone) is not None
        if closed_by_peer and self._headers_complete and not self._framed:
            # The end of the connection is the end of such a response.
            self._complete()
            return
        self._fail(reason.value or error.ConnectionLost())

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._body = []
        self._body_bytes = 0
        self._framed = False
        self._headers_complete = False
        self._message_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the response says where its body ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        """Note that the status is known."""
        self._headers_complete = True

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            raise ResponseTooLarge
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Note that the response is complete."""
        self._message_complete = True
        self._keep_alive = self._parser.should_keep_alive()

    def _complete(self) -> None:
        """Pass the response on, and make the connection available."""
        exchange, self._exchange = self._exchange, None
        self._headers_complete = self._message_complete = False
        if exchange is None:
            return
        status, body = self._parser.get_status_code(), b"".join(self._body)
        self._peer.end_exchange(exchange, self)
        exchange.succeed(status, body)

    def _fail(self, reason: BaseException) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._peer.end_exchange(exchange, self)
            exchange.fail(reason)


class _ConnectionFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, peer: "Peer", exchange: Exchange) -> None:
        self._peer = peer
        self._exchange = exchange

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        connection = _Connection(self._peer, self._exchange)
        self._exchange.connection = connection
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: twisted_failure.Failure
    ) -> None:
        self._peer.end_exchange(self._exchange, None)
        self._exchange.fail(reason.value or error.ConnectError())


class Peer:
    """Connections to one address, and exchanges that wait for one."""

    def __init__(self, reactor: Any, address: host_settings.Address) -> None:
        self._reactor = reactor
        self._address = address
        self._idle: list[_Connection] = []
        self._in_progress: set[Exchange] = set()
        self._limited_count = 0
        self._waiting: collections.deque[Exchange] = collections.deque()

    @property
    def unused(self) -> bool:
        """Whether nothing is open, in progress or waiting."""
        return not (self._idle or self._in_progress or self._waiting)

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""
        return float(self._reactor.seconds())

    def may_send(self, exchange: Exchange) -> bool:
        """Whether the deadline for sending a request hasn't passed."""
        deadline = exchange.send_before
        return deadline is None or self._reactor.seconds() < deadline

    def begin(self, exchange: Exchange) -> None:
        """Send a request as soon as its limit allows."""
        if exchange.max_parallel:
            if self._limited_count >= exchange.max_parallel:
                self._waiting.append(exchange)
                return
            self._limited_count += 1
        self._in_progress.add(exchange)
        while self._idle and not exchange.new_connection:
            connection = self._idle.pop()
            if not connection.closed:
                connection.send(exchange)
                return
        self._reactor.connectTCP(
            self._address.ip,
            self._address.port,
            _ConnectionFactory(self, exchange),
            timeout=CONNECT_TIMEOUT_S,
        )

    def give_up(self, exchange: Exchange, reason: BaseException) -> None:
        """End an exchange without a response and close its connection."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)
        connection = exchange.connection
        if connection is not None:
            # Its response may still arrive and must not be taken for that
            # of a later request.
            connection.close()
            self._close_all_idle()
        self.end_exchange(exchange, connection)
        exchange.fail(reason)

    def _close_all_idle(self) -> None:
        """Close the idle connections, which may be silent like a given one.

        Open connections may go silent for good while new ones work, and each
        call that uses one of them would wait for its whole timeout.
        """
        while self._idle:
            self._idle.pop().close()

    def end_exchange(
        self, exchange: Exchange, connection: _Connection | None
    ) -> None:
        """Reuse an exchange's connection and begin those that wait."""
        if exchange not in self._in_progress:
            return
        self._in_progress.remove(exchange)
        if connection is not None and not connection.closed:
            connection.idle_since = self._reactor.seconds()
            if len(self._idle) < MAX_IDLE_CONNECTIONS_PER_PEER:
                self._idle.append(connection)
            else:
                connection.close()
        if exchange.max_parallel:
            self._limited_count -= 1
        while (
            self._waiting
            and self._limited_count < self._waiting[0].max_parallel
        ):
            self.begin(self._waiting.popleft())

    def forget(self, connection: _Connection) -> None:
        """Remove a connection that was lost."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self, unused_since: float) -> None:
        """Close the connections that have been idle since a time."""
        for connection in list(self._idle):
            if connection.idle_since <= unused_since:
                self._idle.remove(connection)
                connection.close()
