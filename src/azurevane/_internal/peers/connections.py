"""TCP connections between entry hosts.

Each host sends messages on connections that it opens and receives them on
connections that its peers open, so one direction can fail without the
other. A message is a Cap'n Proto envelope with a length prefix of 4 bytes.
The first message on each connection is a Hello.
"""

import collections
from collections.abc import Callable
import dataclasses
import logging
import random
import socket
from typing import Any

from twisted.application import internet
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import basic
from zope.interface import implementer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import state_events
from azurevane._internal.models import messages
from azurevane._internal.peers import codec

logger = logging.getLogger(__name__)

Handler = Callable[[messages.Hello, Any], None]

PROTOCOL_VERSION = 1
# The connection to a peer that doesn't read is closed when more than this is
# queued for it, beyond the 64 KiB that the transport buffers before it asks
# the producer to pause.
MAX_QUEUED_BYTES = 4 * codec.MAX_MESSAGE_BYTES
MAX_CONNECTIONS = 64
MAX_PEERS = 64
HELLO_TIMEOUT_S = 5.0
# TCP_USER_TIMEOUT: the kernel closes a connection whose data stays
# unacknowledged for this long. A host that lost power sends no FIN, and
# writes alone don't detect it.
TCP_USER_TIMEOUT_MS = 5000

_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 2.0
_MAX_SUPERSEDED_INCARNATIONS = 256


@dataclasses.dataclass(slots=True)
class Traffic:
    """Counters of the traffic on peer connections, with length prefixes."""

    bytes_sent: int = 0
    messages_sent: int = 0
    messages_dropped: int = 0
    bytes_received: int = 0
    messages_received: int = 0


def parse_members(text: str) -> dict[str, tuple[str, int]]:
    """Return address and port by peer name.

    Args:
        text: ``name=address:port`` items, separated by commas.

    Raises:
        SettingsError: an item has another form.
    """
    address_by_peer: dict[str, tuple[str, int]] = {}
    for item in filter(None, map(str.strip, text.split(","))):
        name, _, endpoint = item.partition("=")
        address, _, port = endpoint.rpartition(":")
        if not name or not address or not port.isdecimal():
            raise exceptions.SettingsError(
                f"[peers] members: {item!r} isn't name=address:port"
            )
        address_by_peer[name] = address, int(port)
    return address_by_peer


def _emit_refused(peer: str, detail: str) -> None:
    catalogue.emit(logger, state_events.PeerRefused(peer, detail))


@implementer(interfaces.IPushProducer)
class OutgoingConnection(basic.Int32StringReceiver):
    """Sends messages to one peer; receives none."""

    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, network: "PeerNetwork", peer: str) -> None:
        self._network = network
        self._peer = peer
        self._paused = False
        self._queued_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802 (name of the interface)
        """Set the socket options and send the Hello."""
        handle = self.transport.getHandle()
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.send_encoded(codec.encode_message(self._network.hello))
        self._network.add_connection(self._peer, self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Remove the connection, so that messages are dropped for now."""
        self._network.remove_connection(self._peer, self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Close the connection; peers send on connections that they open."""
        _emit_refused(self._peer, "data on a connection that only sends")
        self.transport.abortConnection()

    def send_encoded(self, data: bytes) -> None:
        """Send one encoded message.

        If the peer doesn't read and too much is queued, the connection
        is closed.
        """
        if self._paused:
            self._queued_bytes += len(data) + 4
            if self._queued_bytes > MAX_QUEUED_BYTES:
                _emit_refused(self._peer, "doesn't read what is sent to it")
                self.transport.abortConnection()
                return
        self.sendString(data)

    def pauseProducing(self) -> None:  # noqa: N802
        """Start to count queued bytes; called at each further write."""
        if not self._paused:
            self._paused = True
            self._queued_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Stop counting queued bytes."""
        self._paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection is being closed."""


class IncomingConnection(basic.Int32StringReceiver):
    """Receives the messages of one peer."""

    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, network: "PeerNetwork") -> None:
        self._network = network
        self._hello_timeout: Any = None
        self.hello: messages.Hello | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the timeout of the Hello; close if over the limit."""
        self._hello_timeout = self._network.reactor.callLater(
            HELLO_TIMEOUT_S, self.refuse, "sent no Hello in time"
        )
        self._network.incoming.add(self)
        if len(self._network.incoming) > MAX_CONNECTIONS:
            self.refuse("too many connections")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Remove the connection and cancel its timeout."""
        self._network.incoming.discard(self)
        if self._hello_timeout.active():
            self._hello_timeout.cancel()

    def refuse(self, detail: str) -> None:
        """Close the connection and log why."""
        name = self.hello.host if self.hello else ""
        _emit_refused(name or str(self.transport.getPeer()), detail)
        self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the connection; the announced message is too long."""
        self.refuse(f"announced a message of {length} bytes")

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle one encoded message; the first must be a Hello."""
        if self.transport.disconnecting:
            return
        self._network.traffic.bytes_received += len(string) + 4
        self._network.traffic.messages_received += 1
        try:
            message = codec.decode_message(string)
            if self.hello is not None:
                if message is not None:
                    self._network.dispatch(self.hello, message)
                return
            if not isinstance(message, messages.Hello):
                raise exceptions.MessageError("First message isn't a Hello")
            self._network.accept_hello(self, message)
            self._hello_timeout.cancel()
            self.hello = message
        except exceptions.MessageError as error:
            self.refuse(str(error))


class PeerNetwork:
    """Owns the connections to and from all peers.

    Args:
        hello: identity of this host, and the address on which it listens.
        address_by_peer: address and port of each peer in the settings.
            Peers that connect without being listed there are added.
        rng: source of the jitter between connection attempts.
    """

    def __init__(
        self,
        reactor: Any,
        hello: messages.Hello,
        address_by_peer: dict[str, tuple[str, int]],
        rng: random.Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.hello = hello
        self.traffic = Traffic()
        self.incoming: set[IncomingConnection] = set()
        self._rng = rng or random.Random()
        self._handler_by_type: dict[type, Handler] = {}
        self._configured_peers = frozenset(address_by_peer)
        self._address_by_peer = dict(address_by_peer)
        self._service_by_peer: dict[str, internet.ClientService] = {}
        self._outgoing_by_peer: dict[str, OutgoingConnection] = {}
        self._incarnation_by_peer: dict[str, str] = {}
        self._superseded: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._port: Any = None

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type.

        The handler raises ``MessageError`` for a malformed message. The
        connection is then closed.
        """
        if message_type in self._handler_by_type:
            raise ValueError(
                f"A handler for {message_type.__name__} is already registered"
            )
        self._handler_by_type[message_type] = handler

    @property
    def connected_peers(self) -> tuple[str, ...]:
        """Names of the peers to which messages can be sent now."""
        return tuple(self._outgoing_by_peer)

    def start(self) -> None:
        """Listen, and connect to the peers in the settings."""
        factory = protocol.Factory.forProtocol(
            lambda: IncomingConnection(self)
        )
        factory.noisy = False
        self._port = self.reactor.listenTCP(
            self.hello.port, factory, interface=self.hello.address
        )
        for name in self._address_by_peer:
            self._connect(name)

    def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._port is not None:
            self._port.stopListening()
        for service in self._service_by_peer.values():
            service.stopService()
        for connection in list(self.incoming):
            connection.transport.abortConnection()

    def _connect(self, name: str) -> None:
        address, port = self._address_by_peer[name]
        factory = protocol.Factory.forProtocol(
            lambda: OutgoingConnection(self, name)
        )
        factory.noisy = False
        service = internet.ClientService(
            endpoints.TCP4ClientEndpoint(
                self.reactor, address, port, timeout=2
            ),
            factory,
            retryPolicy=internet.backoffPolicy(
                _FIRST_RETRY_S,
                _MAX_RETRY_S,
                jitter=lambda: self._rng.uniform(0.0, 0.3),
            ),
            clock=self.reactor,
        )
        self._service_by_peer[name] = service
        service.startService()

    def add_connection(
        self, peer: str, connection: OutgoingConnection
    ) -> None:
        """Use an established connection for messages to a peer."""
        self._outgoing_by_peer[peer] = connection

    def remove_connection(
        self, peer: str, connection: OutgoingConnection
    ) -> None:
        """Stop using a lost connection for messages to a peer."""
        if self._outgoing_by_peer.get(peer) is connection:
            del self._outgoing_by_peer[peer]

    def accept_hello(
        self, connection: IncomingConnection, hello: messages.Hello
    ) -> None:
        """Accept the Hello of a peer and close its earlier connections.

        Raises:
            MessageError: the name or protocol isn't valid, or a newer
                incarnation of the peer has connected.
        """
        name = hello.host
        if not name or name == self.hello.host or hello.protocol < 1:
            raise exceptions.MessageError(f"Hello of {name!r} can't be used")
        if (name, hello.incarnation) in self._superseded:
            raise exceptions.MessageError(
                f"A newer incarnation of {name} has connected"
            )
        known_incarnation = self._incarnation_by_peer.get(name)
        if known_incarnation not in (None, hello.incarnation):
            self._supersede(name, str(known_incarnation))
        for other in list(self.incoming):
            if other.hello is not None and other.hello.host == name:
                other.transport.abortConnection()
        self._incarnation_by_peer[name] = hello.incarnation
        catalogue.emit(
            logger, state_events.PeerConnected(name, hello.incarnation)
        )
        self._learn_address(hello)

    def _supersede(self, name: str, incarnation: str) -> None:
        # A process of the previous incarnation may have been paused and may
        # resume; its messages must not be accepted under this name.
        self._superseded[name, incarnation] = None
        while len(self._superseded) > _MAX_SUPERSEDED_INCARNATIONS:
            self._superseded.popitem(last=False)

    def _learn_address(self, hello: messages.Hello) -> None:
        address = hello.address, hello.port
        known_address = self._address_by_peer.get(hello.host)
        if not hello.address or not hello.port:
            return
        if known_address == address and hello.host in self._outgoing_by_peer:
            return
        if known_address is None and len(self._address_by_peer) >= MAX_PEERS:
            self._forget_unreachable()
            if len(self._address_by_peer) >= MAX_PEERS:
                return
        self._address_by_peer[hello.host] = address
        # Reconnects also where the address is unchanged: a host that has
        # just started must not wait for the end of a backoff until it can
        # borrow permits.
        if hello.host in self._service_by_peer:
            self._service_by_peer[hello.host].stopService()
        self._connect(hello.host)

    def _forget_unreachable(self) -> None:
        """Remove peers that aren't in the settings and aren't connected."""
        for name in [*self._address_by_peer]:
            if (
                name in self._configured_peers
                or name in self._outgoing_by_peer
            ):
                continue
            del self._address_by_peer[name]
            self._service_by_peer.pop(name).stopService()

    def dispatch(
        self, sender: messages.Hello, message: messages.Message
    ) -> None:
        """Pass a message to the handler of its type, if there is one.

        Raises:
            MessageError: the message is malformed.
        """
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(sender, message)

    def send(self, peer: str, message: messages.Message) -> None:
        """Send a message, or drop it if the peer isn't connected."""
        connection = self._outgoing_by_peer.get(peer)
        if connection is None:
            self.traffic.messages_dropped += 1
            return
        data = codec.encode_message(message)
        if len(data) > codec.MAX_MESSAGE_BYTES:
            self.traffic.messages_dropped += 1
            _emit_refused(peer, f"message of {len(data)} bytes isn't sent")
            return
        self.traffic.bytes_sent += len(data) + 4
        self.traffic.messages_sent += 1
        connection.send_encoded(data)
