"""Serves the platform stand-in over HTTP, with links that can fail."""

import json
from typing import Any
from urllib import parse

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import resource
from twisted.web import server

from azurevane._internal.models import host_settings
from azurevane._internal.standins import site_platform

LOOPBACK = "127.0.0.1"


class _PlatformResource(resource.Resource):
    isLeaf = True  # noqa: N815

    def __init__(
        self,
        platform: site_platform.SitePlatform,
        address: host_settings.Address,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._address = address

    def render(self, request: Any) -> int:
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        data = request.content.read()
        call = site_platform.PlatformRequest(
            self._address,
            request.method.decode(),
            request.path.decode(),
            dict(
                parse.parse_qsl(
                    request.uri.decode().partition("?")[2],
                    keep_blank_values=True,
                )
            ),
            json.loads(data) if data else None,
            {
                name: request.getHeader(name)
                for name in (
                    "X-Target-Instance",
                    "X-Lease-Holder",
                    "X-Fencing-Token",
                )
                if request.getHeader(name)
            },
        )
        answer = self._platform.handle_request("", call)
        if answer is not None:
            answered = defer.maybeDeferred(lambda: answer)
            answered.addCallback(self._write_response, request, disconnects)
        return server.NOT_DONE_YET

    @staticmethod
    def _write_response(
        response: site_platform.Response, request: Any, disconnects: list[Any]
    ) -> None:
        if disconnects:
            return
        request.setResponseCode(response.status)
        if response.body is not None:
            request.write(json.dumps(response.body).encode())
        request.finish()


class FaultyLink(protocol.Factory):
    """Forwards connections to a port of the stand-in, with faults.

    Attributes:
        mode: ``pass``, ``silent`` (data is dropped both ways), ``answers``
            (responses are dropped) or ``reset`` (connections are aborted).
        delay_s: delay of each chunk of a response.
    """

    noisy = False

    def __init__(self, reactor: Any, target_port: int) -> None:
        self.reactor = reactor
        self.target_port = target_port
        self.mode = "pass"
        self.delay_s = 0.0
        self.connections: set[_CallerConnection] = set()

    def buildProtocol(self, addr: Any) -> "_CallerConnection":  # noqa: N802
        return _CallerConnection(self)

    def set_mode(self, mode: str) -> None:
        """Set how the link fails, or let it work again."""
        if mode == "reset" or (mode == "pass" and self.mode != "pass"):
            # Connections that have lost data can't continue.
            for connection in list(self.connections):
                connection.transport.abortConnection()
        self.mode = mode


class _CallerConnection(protocol.Protocol):
    def __init__(self, link: FaultyLink) -> None:
        self._link = link
        self._peer: Any = None
        self._unsent: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        if self._link.mode == "reset":
            self.transport.abortConnection()
            return
        self._link.connections.add(self)
        creator = protocol.ClientCreator(
            self._link.reactor, _TargetConnection, self, self._link
        )
        creator.connectTCP(LOOPBACK, self._link.target_port).addCallback(
            self._target_connected
        )

    def _target_connected(self, peer: Any) -> None:
        self._peer = peer
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            peer.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._link.mode == "silent":
            return
        if self._peer is None:
            self._unsent.append(data)
        else:
            self._peer.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._link.connections.discard(self)
        if self._peer is not None:
            self._peer.transport.abortConnection()


class _TargetConnection(protocol.Protocol):
    def __init__(self, caller: _CallerConnection, link: FaultyLink) -> None:
        self._caller = caller
        self._link = link

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._link.mode in ("silent", "answers"):
            return
        if self._link.delay_s:
            self._link.reactor.callLater(
                self._link.delay_s, self._caller.transport.write, data
            )
        else:
            self._caller.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._caller.transport.loseConnection()


class SiteServer:
    """Serves the platform's addresses on loopback ports.

    Attributes:
        platform: state of the platform.
        link_by_host: link from each entry host to the store.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.platform = site_platform.SitePlatform(reactor)
        self.platform.allocate_address = self._listen_runner
        self.link_by_host: dict[str, FaultyLink] = {}
        self._store_port = self._listen(site_platform.STORE_ADDRESS)
        self.hosts_port = self._listen(site_platform.HOSTS_ADDRESS)

    def _listen(self, address: host_settings.Address) -> int:
        root = _PlatformResource(self.platform, address)
        factory = server.Site(root)
        factory.noisy = False
        port = self._reactor.listenTCP(0, factory, interface=LOOPBACK)
        return int(port.getHost().port)

    def _listen_runner(self) -> str:
        # A runner is identified by its address, which includes the port,
        # so the resource is set once the port is known.
        factory = server.Site(resource.Resource())
        factory.noisy = False
        port = self._reactor.listenTCP(0, factory, interface=LOOPBACK)
        number = int(port.getHost().port)
        address = host_settings.Address(LOOPBACK, number)
        factory.resource = _PlatformResource(self.platform, address)
        return str(address)

    def add_host_link(self, host_name: str) -> int:
        """Return the port on which an entry host reaches the store."""
        link = FaultyLink(self._reactor, self._store_port)
        self.link_by_host[host_name] = link
        port = self._reactor.listenTCP(0, link, interface=LOOPBACK)
        return int(port.getHost().port)
