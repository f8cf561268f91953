"""TCP connections between entry hosts.

Each host sends on connections that it opens and receives on those that
its peers open, so one direction can fail without the other. A message is
a Cap'n Proto envelope after a length of 4 bytes; the first on each
connection is a Hello.
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

PROTOCOL = 1
# A peer that doesn't read loses its connection when this much waits for
# it beyond what the transport buffers before it asks to pause (64 KiB).
MAX_WAITING_BYTES = 4 * codec.MAX_MESSAGE_BYTES
MAX_CONNECTIONS = 64
MAX_PEERS = 64
HELLO_TIMEOUT_S = 5.0
# The kernel gives up a connection whose data isn't acknowledged so long:
# a host that lost power sends no FIN, and writes alone don't show it.
UNACKNOWLEDGED_MS = 5000

_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 2.0
_REMEMBERED_INCARNATIONS = 256


@dataclasses.dataclass(slots=True)
class Traffic:
    """What has crossed the peer connections, frames included."""

    bytes_sent: int = 0
    messages_sent: int = 0
    messages_dropped: int = 0
    bytes_received: int = 0
    messages_received: int = 0


def parse_members(text: str) -> dict[str, tuple[str, int]]:
    """Read ``name=address:port`` items, separated by commas.

    Raises:
        SettingsError: an item has another form.
    """
    address_by_peer: dict[str, tuple[str, int]] = {}
    for item in filter(None, map(str.strip, text.split(","))):
        name, _, place = item.partition("=")
        address, _, port = place.rpartition(":")
        if not name or not address or not port.isdecimal():
            raise exceptions.SettingsError(
                f"[peers] members: {item!r} isn't name=address:port"
            )
        address_by_peer[name] = address, int(port)
    return address_by_peer


def _refuse(peer: str, detail: str) -> None:
    catalogue.emit(logger, state_events.PeerRefused(peer, detail))


@implementer(interfaces.IPushProducer)
class OutgoingConnection(basic.Int32StringReceiver):
    """Carries messages to one peer; nothing comes back on it."""

    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, network: "PeerNetwork", peer: str) -> None:
        self._network = network
        self._peer = peer
        self._paused = False
        self._waiting_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802 (name of the interface)
        """Say who this is."""
        handle = self.transport.getHandle()
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.send(codec.encode_message(self._network.hello))
        self._network.add_connection(self._peer, self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Note that messages can't be sent until it is back."""
        self._network.remove_connection(self._peer, self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Close the connection: peers send on their own one."""
        _refuse(self._peer, "data on a connection that only sends")
        self.transport.abortConnection()

    def send(self, data: bytes) -> None:
        """Send one encoded message, or close a peer that doesn't read."""
        if self._paused:
            self._waiting_bytes += len(data) + 4
            if self._waiting_bytes > MAX_WAITING_BYTES:
                _refuse(self._peer, "doesn't read what is sent to it")
                self.transport.abortConnection()
                return
        self.sendString(data)

    def pauseProducing(self) -> None:  # noqa: N802
        """Count what waits from now on; called at each further write."""
        if not self._paused:
            self._paused = True
            self._waiting_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Stop counting."""
        self._paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Ignored: the connection is being closed."""


class IncomingConnection(basic.Int32StringReceiver):
    """Receives the messages of one peer."""

    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, network: "PeerNetwork") -> None:
        self._network = network
        self._hello_call: Any = None
        self.hello: messages.Hello | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the Hello, for a limited time."""
        self._hello_call = self._network.reactor.callLater(
            HELLO_TIMEOUT_S, self.refuse, "sent no Hello in time"
        )
        self._network.incoming.add(self)
        if len(self._network.incoming) > MAX_CONNECTIONS:
            self.refuse("too many connections")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Forget the connection."""
        self._network.incoming.discard(self)
        if self._hello_call.active():
            self._hello_call.cancel()

    def refuse(self, detail: str) -> None:
        """Close the connection and log why."""
        name = self.hello.host if self.hello else ""
        _refuse(name or str(self.transport.getPeer()), detail)
        self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close a connection that announces too long a message."""
        self.refuse(f"announced a message of {length} bytes")

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take one encoded message."""
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
            self._hello_call.cancel()
            self.hello = message
        except exceptions.MessageError as error:
            self.refuse(str(error))


class PeerNetwork:
    """Owns the connections to and from all peers.

    Args:
        hello: says who this host is, and where it takes connections.
        address_by_peer: address and port of each peer in the settings.
            Peers that connect without being there are added.
    """

    def __init__(
        self,
        reactor: Any,
        hello: messages.Hello,
        address_by_peer: dict[str, tuple[str, int]],
        chance: random.Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.hello = hello
        self.traffic = Traffic()
        self.incoming: set[IncomingConnection] = set()
        self._chance = chance or random.Random()
        self._handler_by_type: dict[type, Handler] = {}
        self._listed = frozenset(address_by_peer)
        self._address_by_peer = dict(address_by_peer)
        self._service_by_peer: dict[str, internet.ClientService] = {}
        self._outgoing_by_peer: dict[str, OutgoingConnection] = {}
        self._incarnation_by_peer: dict[str, str] = {}
        self._retired: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._port: Any = None

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Hand messages of a type to a handler.

        The handler raises ``MessageError`` for a malformed message,
        which closes the connection.
        """
        if message_type in self._handler_by_type:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self._handler_by_type[message_type] = handler

    @property
    def connected_peers(self) -> tuple[str, ...]:
        """Names of the peers to which messages can be sent now."""
        return tuple(self._outgoing_by_peer)

    def start(self) -> None:
        """Listen and connect to the peers of the settings."""
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
                _LONGEST_RETRY_S,
                jitter=lambda: self._chance.uniform(0.0, 0.3),
            ),
            clock=self.reactor,
        )
        self._service_by_peer[name] = service
        service.startService()

    def add_connection(
        self, peer: str, connection: OutgoingConnection
    ) -> None:
        """Note a connection that can send."""
        self._outgoing_by_peer[peer] = connection

    def remove_connection(
        self, peer: str, connection: OutgoingConnection
    ) -> None:
        """Note that a connection can't send any more."""
        if self._outgoing_by_peer.get(peer) is connection:
            del self._outgoing_by_peer[peer]

    def accept_hello(
        self, connection: IncomingConnection, hello: messages.Hello
    ) -> None:
        """Accept a peer that says who it is.

        Raises:
            MessageError: it can't be what it says.
        """
        name = hello.host
        if not name or name == self.hello.host or hello.protocol < 1:
            raise exceptions.MessageError(f"Hello of {name!r} can't be used")
        if (name, hello.incarnation) in self._retired:
            raise exceptions.MessageError(
                f"{name} has been started again since"
            )
        known = self._incarnation_by_peer.get(name)
        if known not in (None, hello.incarnation):
            self._retire(name, str(known))
        for other in list(self.incoming):
            if other.hello is not None and other.hello.host == name:
                other.transport.abortConnection()
        self._incarnation_by_peer[name] = hello.incarnation
        catalogue.emit(
            logger, state_events.PeerConnected(name, hello.incarnation)
        )
        self._learn_address(hello)

    def _retire(self, name: str, incarnation: str) -> None:
        # An earlier process of the name may be paused and come back; it
        # must not speak for the name any more.
        self._retired[name, incarnation] = None
        while len(self._retired) > _REMEMBERED_INCARNATIONS:
            self._retired.popitem(last=False)

    def _learn_address(self, hello: messages.Hello) -> None:
        place = hello.address, hello.port
        known = self._address_by_peer.get(hello.host)
        if not hello.address or not hello.port:
            return
        if known == place and hello.host in self._outgoing_by_peer:
            return
        if known is None and len(self._address_by_peer) >= MAX_PEERS:
            self._forget_unreachable()
            if len(self._address_by_peer) >= MAX_PEERS:
                return
        self._address_by_peer[hello.host] = place
        # Also where the address is known: a host that was just started
        # must not wait for the end of a back-off until it can borrow.
        if hello.host in self._service_by_peer:
            self._service_by_peer[hello.host].stopService()
        self._connect(hello.host)

    def _forget_unreachable(self) -> None:
        """Forget hosts that weren't in the settings and are gone."""
        for name in [*self._address_by_peer]:
            if name in self._listed or name in self._outgoing_by_peer:
                continue
            del self._address_by_peer[name]
            self._service_by_peer.pop(name).stopService()

    def dispatch(
        self, sender: messages.Hello, message: messages.Message
    ) -> None:
        """Hand a message to the handler of its type.

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
            _refuse(peer, f"message of {len(data)} bytes isn't sent")
            return
        self.traffic.bytes_sent += len(data) + 4
        self.traffic.messages_sent += 1
        connection.send(data)
