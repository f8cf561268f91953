"""The entry daemon: serves callers and operators on an entry host."""

from typing import Any

from twisted.web import server

from azurevane._internal.daemons import caller_server
from azurevane._internal.daemons import fleet_follower
from azurevane._internal.daemons import program
from azurevane._internal.models import messages
from azurevane._internal.operators import api
from azurevane._internal.peers import connections
from azurevane._internal.settings import loader
from azurevane._internal.table_service import hosts
from azurevane._internal.table_service import state_store
from azurevane._internal.table_service import table
from azurevane._internal.table_service import transport
from azurevane._internal.tasks import state_keeper
from azurevane._internal.utils import token_bucket
from azurevane._internal.utils import tokens

# Changes and tasks of 12 hosts share 30 writes a second (design, 14.2).
_WRITES_PER_S = 2.0
_WRITE_BURST = 10.0


class EntryDaemon:
    """Wires the state machines of one entry process to its sockets."""

    def __init__(self, reactor: Any, settings: loader.Settings) -> None:
        self._reactor = reactor
        self._settings = settings
        self._hello = messages.Hello(
            settings.text("host", "name"),
            tokens.new_token(),
            settings.text("host", "zone"),
            connections.PROTOCOL_VERSION,
            settings.text("host", "address"),
            settings.integer("peers", "port"),
        )
        members = connections.parse_members(settings.text("peers", "members"))
        self._network = connections.PeerNetwork(reactor, self._hello, members)
        self._keeper = state_keeper.StateKeeper(
            self._hello.host,
            self._hello.incarnation,
            members,
            reactor.seconds(),
        )
        self._caller_server = caller_server.CallerServer(
            reactor,
            settings,
            self._network,
            self._keeper,
            lambda: self._follower.release_seat(),
        )
        self._follower = self._build_follower()

    def _build_follower(self) -> fleet_follower.FleetFollower:
        json_transport = transport.JsonTransport(
            self._reactor,
            self._settings.text("platform", "url"),
            self._settings.number("platform", "timeout"),
        )
        client = table.TableClient(
            json_transport,
            token_bucket.TokenBucket(_WRITES_PER_S, _WRITE_BURST),
            self._reactor.seconds,
        )
        return fleet_follower.FleetFollower(
            self._reactor,
            self._keeper,
            state_store.StateStore(client),
            hosts.HostList(json_transport),
            self._network,
            self._caller_server.configure,
        )

    def start(self) -> None:
        """Listen and start the periodic work."""
        self._caller_server.start()
        operators = api.OperatorsResource(
            self._settings.text("operators", "token_digest"), self._follower
        )
        self._reactor.listenTCP(
            self._settings.integer("operators", "port"),
            server.Site(operators),
            interface=self._hello.address,
        )
        for message_type in state_keeper.handler_by_type:
            self._network.register_handler(
                message_type, self._follower.handle_message
            )
        self._network.start()
        self._follower.start()


def main() -> None:
    """Run the entry daemon."""
    program.run("azurevane-entry", __doc__, EntryDaemon, metrics_option="port")
