"""Serves the platform's stand-in over HTTP, with links that can fail."""

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


class _CallResource(resource.Resource):
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
        gone: list[Any] = []
        request.notifyFinish().addErrback(gone.append)
        data = request.content.read()
        call = site_platform.Request(
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
        answer = self._platform.call("", call)
        if answer is not None:
            answered = defer.maybeDeferred(lambda: answer)
            answered.addCallback(self._write, request, gone)
        return server.NOT_DONE_YET

    @staticmethod
    def _write(
        response: site_platform.Response, request: Any, gone: list[Any]
    ) -> None:
        if gone:
            return
        request.setResponseCode(response.status)
        if response.body is not None:
            request.write(json.dumps(response.body).encode())
        request.finish()


class FaultyLink(protocol.Factory):
    """Forwards connections to a port of the stand-in, until told not to.

    Attributes:
        mode: ``pass``, ``silent`` (bytes vanish both ways), ``answers``
            (answers vanish) or ``reset`` (connections are cut).
        delay_s: delay of each piece of an answer.
    """

    noisy = False

    def __init__(self, reactor: Any, target_port: int) -> None:
        self.reactor = reactor
        self.target_port = target_port
        self.mode = "pass"
        self.delay_s = 0.0
        self.connections: set[_LinkEnd] = set()

    def buildProtocol(self, addr: Any) -> "_LinkEnd":  # noqa: N802
        return _LinkEnd(self)

    def set_mode(self, mode: str) -> None:
        """Let the link fail in some way, or work again."""
        if mode == "reset" or (mode == "pass" and self.mode != "pass"):
            # What was swallowed leaves connections that can't go on.
            for connection in list(self.connections):
                connection.transport.abortConnection()
        self.mode = mode


class _LinkEnd(protocol.Protocol):
    def __init__(self, link: FaultyLink) -> None:
        self._link = link
        self._peer: Any = None
        self._held: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        if self._link.mode == "reset":
            self.transport.abortConnection()
            return
        self._link.connections.add(self)
        creator = protocol.ClientCreator(
            self._link.reactor, _TargetEnd, self, self._link
        )
        creator.connectTCP(LOOPBACK, self._link.target_port).addCallback(
            self._connected
        )

    def _connected(self, peer: Any) -> None:
        self._peer = peer
        held, self._held = self._held, []
        for data in held:
            peer.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._link.mode == "silent":
            return
        if self._peer is None:
            self._held.append(data)
        else:
            self._peer.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._link.connections.discard(self)
        if self._peer is not None:
            self._peer.transport.abortConnection()


class _TargetEnd(protocol.Protocol):
    def __init__(self, caller: _LinkEnd, link: FaultyLink) -> None:
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
    """The platform's addresses on loopback.

    Attributes:
        platform: its state.
        link_by_host: link of each entry host to the store.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.platform = site_platform.SitePlatform(reactor)
        self.platform.allocate_address = self._listen_runner
        self.link_by_host: dict[str, FaultyLink] = {}
        self._store_port = self._listen(site_platform.STORE_ADDRESS)
        self.hosts_port = self._listen(site_platform.HOSTS_ADDRESS)

    def _listen(self, address: host_settings.Address) -> int:
        root = _CallResource(self.platform, address)
        factory = server.Site(root)
        factory.noisy = False
        port = self._reactor.listenTCP(0, factory, interface=LOOPBACK)
        return int(port.getHost().port)

    def _listen_runner(self) -> str:
        # The port is part of the address that the calls are known by.
        factory = server.Site(resource.Resource())
        factory.noisy = False
        port = self._reactor.listenTCP(0, factory, interface=LOOPBACK)
        number = int(port.getHost().port)
        address = host_settings.Address(LOOPBACK, number)
        factory.resource = _CallResource(self.platform, address)
        return str(address)

    def link_host(self, host_name: str) -> int:
        """Return the port by which an entry host reaches the store."""
        link = FaultyLink(self._reactor, self._store_port)
        self.link_by_host[host_name] = link
        port = self._reactor.listenTCP(0, link, interface=LOOPBACK)
        return int(port.getHost().port)
