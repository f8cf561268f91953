"""The entry daemon: serves callers and operators on an entry host."""

import logging
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import task
from twisted.web import server

from azurevane import exceptions
from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.callers import tasks
from azurevane._internal.daemons import entry_service
from azurevane._internal.daemons import program
from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.events import state_events
from azurevane._internal.models import fleet
from azurevane._internal.operators import api
from azurevane._internal.operators import changes
from azurevane._internal.platform import state_store
from azurevane._internal.platform import table
from azurevane._internal.platform import transport
from azurevane._internal.settings import loader
from azurevane._internal.tasks import dispatcher as dispatcher_module
from azurevane._internal.tasks import state_keeper
from azurevane._internal.upstreams import client as upstream_client
from azurevane._internal.utils import tokens

logger = logging.getLogger(__name__)

_STORE_CHECK_INTERVAL_S = 1.0
_DISPATCHER_TICK_S = 0.1


class EntryDaemon:
    """Wires the state machines of one entry process to its sockets."""

    def __init__(self, reactor: Any, settings: loader.Settings) -> None:
        self._reactor = reactor
        self._settings = settings
        self._keeper = state_keeper.StateKeeper()
        self._dispatcher = dispatcher_module.Dispatcher()
        calls = transport.JsonTransport(
            reactor,
            settings.text("platform", "url"),
            settings.number("platform", "timeout"),
        )
        client = table.TableClient(calls)
        self._store = state_store.StateStore(client)
        self._service = entry_service.EntryService(
            reactor,
            self._keeper,
            self._dispatcher,
            upstream_client.RunnerClient(reactor),
            tasks.TasksResource(client, time.time, tokens.new_token),
        )

    @property
    def state(self) -> fleet.FleetState:
        """The fleet state in force."""
        return self._keeper.state

    def start(self) -> None:
        """Listen and start the periodic work."""
        address = self._settings.text("host", "address")
        self._reactor.listenTCP(
            self._settings.integer("callers", "port"),
            exchange_module.CallersFactory(self._reactor, self._service),
            interface=address,
        )
        operators = api.OperatorsResource(
            self._settings.text("operators", "token_digest"), self
        )
        self._reactor.listenTCP(
            self._settings.integer("operators", "port"),
            server.Site(operators),
            interface=address,
        )
        self._repeat(self._service.tick, _DISPATCHER_TICK_S)
        self._repeat(self._check_store, _STORE_CHECK_INTERVAL_S)

    def _repeat(self, call: Any, interval_s: float) -> None:
        loop = task.LoopingCall(call)
        loop.clock = self._reactor
        loop.start(interval_s)

    def _check_store(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._read_store())

    async def _read_store(self) -> None:
        try:
            stored = await self._store.read()
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("read-state", str(error))
            )
            return
        self._offer(stored.state, "store")

    def _offer(self, state: fleet.FleetState, source: str) -> None:
        previous = self._keeper.state.version
        if not self._keeper.offer(state):
            return
        catalogue.emit(
            logger,
            state_events.StateInForce(state.version, previous, source),
        )
        self._service.apply(
            self._dispatcher.configure(self._reactor.seconds(), state)
        )

    async def make_change(
        self, kind: str, base_version: int | None, content: Any
    ) -> tuple[int, dict[str, Any]]:
        """Make a change to the fleet state, for an operator."""
        stored = await self._store.read()
        current = stored.state.version
        if base_version is not None and base_version != current:
            return 409, {"error": "version", "current_version": current}
        state = changes.build_state(stored.state, kind, content)
        if not await self._store.replace(stored, state):
            return 409, {"error": "version", "current_version": None}
        self._offer(state, "operator")
        return 200, {"version": state.version, "token": state.token}


def main() -> None:
    """Run the entry daemon."""
    program.run("azurevane-entry", __doc__, EntryDaemon)
