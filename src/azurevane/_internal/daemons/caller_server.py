"""Serves callers in an entry process: wiring, start and stop."""

from collections.abc import Awaitable, Callable
import logging
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azurevane import exceptions
from azurevane._internal.callers import channel
from azurevane._internal.callers import tasks
from azurevane._internal.daemons import entry_claims
from azurevane._internal.daemons import entry_permits
from azurevane._internal.daemons import entry_service
from azurevane._internal.events import catalogue
from azurevane._internal.events import program_events
from azurevane._internal.models import fleet
from azurevane._internal.models import messages
from azurevane._internal.peers import connections
from azurevane._internal.settings import loader
from azurevane._internal.table_service import claim_journal
from azurevane._internal.table_service import table
from azurevane._internal.table_service import transport
from azurevane._internal.tasks import state_keeper
from azurevane._internal.upstreams import client as upstream_client
from azurevane._internal.utils import token_bucket
from azurevane._internal.utils import tokens

logger = logging.getLogger(__name__)

# Control, tasks and changes share 30 writes a second at both sites (design,
# 14.2). Each of 12 hosts may use this many of them for task submissions.
_TASK_WRITES_PER_S = 1.0
_TASK_BURST = 10.0
_STOP_CHECK_INTERVAL_S = 0.05
# How long a stop waits for the outcomes of claims to be written. A table
# that doesn't answer can't delay the end of the process any longer.
_CLAIM_WRITES_TIMEOUT_S = 2.0
# How long a stop waits until no permit is in use or lent. Loans that aren't
# renewed expire within 2 s; requests that still run under them may take
# longer, but most don't.
_HANDOVER_TIMEOUT_S = 4.0


class CallerServer:
    """Serves callers, and stops without cutting off a request."""

    def __init__(
        self,
        reactor: Any,
        settings: loader.Settings,
        network: connections.PeerNetwork,
        keeper: state_keeper.StateKeeper,
        release_seat: Callable[[], Awaitable[None]],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self.release_seat = release_seat
        self._network = network
        self._permits = entry_permits.EntryPermits(reactor, network, keeper)
        self._runners = upstream_client.RunnerClient(reactor)
        json_transport = transport.JsonTransport(
            reactor,
            settings.text("platform", "url"),
            settings.number("platform", "timeout"),
        )
        self.claims = entry_claims.EntryClaims(
            reactor,
            network.hello.host,
            network.hello.incarnation,
            claim_journal.ClaimJournal(table.TableClient(json_transport)),
            network.send,
        )
        self.service = entry_service.EntryService(
            reactor,
            keeper,
            self._permits.dispatcher,
            self._runners,
            self.claims,
            permits=self._permits,
            tasks_resource=tasks.TasksResource(
                table.TableClient(
                    json_transport,
                    token_bucket.TokenBucket(_TASK_WRITES_PER_S, _TASK_BURST),
                    reactor.seconds,
                ),
                time.time,
                tokens.new_token,
            ),
        )
        self._factory = channel.CallersFactory(reactor, self.service)
        self._port: Any = None
        self._loops: list[task.LoopingCall] = []

    def start(self) -> None:
        """Listen and start the periodic work."""
        self._port = self._reactor.listenTCP(
            self._settings.integer("callers", "port"),
            self._factory,
            interface=self._settings.text("host", "address"),
        )
        for message_type in entry_claims.MESSAGE_TYPES:
            self._network.register_handler(
                message_type, self._handle_claim_message
            )
        self._permits.start(self.service.apply_effects)
        for call, interval_s in (
            (self._permits.tick, entry_permits.TICK_INTERVAL_S),
            (self.service.tick, entry_permits.TICK_INTERVAL_S),
            (self.claims.tick, entry_claims.TICK_INTERVAL_S),
        ):
            loop = task.LoopingCall(call)
            loop.clock = self._reactor
            loop.start(interval_s)
        self._reactor.addSystemEventTrigger(
            "before", "shutdown", lambda: defer.ensureDeferred(self.stop())
        )

    def _handle_claim_message(
        self, sender: messages.Hello, message: messages.Message
    ) -> None:
        try:
            self.claims.handle_message(
                sender.host, sender.incarnation, message
            )
        except ValueError as error:
            raise exceptions.MessageError(str(error)) from error

    def configure(self, state: fleet.FleetState) -> None:
        """Apply the effective fleet state."""
        self.claims.configure(state)
        self._permits.configure(state)

    async def stop(self) -> None:
        """Stop gracefully; returns when the process may exit.

        The process first reports itself unready and still accepts
        connections for ``drain_seconds``, so that the balancer sends its
        traffic elsewhere and no connection is refused. Then it closes the
        port and finishes the running requests. From the start of the stop
        each answer announces the end of its connection.
        """
        self.service.stopping = True
        self._permits.begin_handover()
        catalogue.emit(
            logger,
            program_events.ProgramStopping(
                "azurevane-entry", self.service.active_count
            ),
        )
        self._factory.begin_closing()
        await task.deferLater(
            self._reactor, self._settings.number("callers", "drain_seconds")
        )
        await self._port.stopListening()
        while self.service.active_count or self._factory.busy:
            self._factory.close_idle()
            await task.deferLater(self._reactor, _STOP_CHECK_INTERVAL_S)
        self._factory.close_idle()
        self.claims.flush()
        await self._wait_while(
            lambda: self.claims.has_pending_writes, _CLAIM_WRITES_TIMEOUT_S
        )
        await self._wait_while(
            lambda: not self._permits.handed_over, _HANDOVER_TIMEOUT_S
        )
        # While a permit is in use or lent, or may be by a predecessor, or an
        # outcome isn't written, the seat isn't released: its next holder must
        # wait as after a crash.
        if self._permits.handed_over and not self.claims.has_pending_writes:
            await self.release_seat()
        self._runners.close()

    async def _wait_while(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        timeout_at = self._reactor.seconds() + timeout_s
        while condition() and self._reactor.seconds() < timeout_at:
            await task.deferLater(self._reactor, _STOP_CHECK_INTERVAL_S)
