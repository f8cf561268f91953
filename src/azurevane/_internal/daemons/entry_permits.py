"""Wires the permit keeper of an entry process to its peers."""

from collections.abc import Callable
from typing import Any

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import messages
from azurevane._internal.models import permit_messages
from azurevane._internal.peers import connections
from azurevane._internal.tasks import dispatcher as dispatcher_module
from azurevane._internal.tasks import permit_keeper
from azurevane._internal.tasks import state_keeper

MESSAGE_TYPES = (
    permit_messages.Ask,
    permit_messages.Loan,
    permit_messages.Renew,
    permit_messages.RenewAck,
    permit_messages.Return,
)
TICK_INTERVAL_S = 0.1
# An ask of this kind only carries usage counters.
USAGE_KIND = "usage"

Apply = Callable[[list[effects.Effect]], None]


class EntryPermits:
    """Lends and borrows permits for the dispatcher of this process."""

    def __init__(
        self,
        reactor: Any,
        network: connections.PeerNetwork,
        state: state_keeper.StateKeeper,
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._state = state
        hello = network.hello
        self._keeper = permit_keeper.PermitKeeper(
            hello.host, hello.incarnation
        )
        self.dispatcher = dispatcher_module.Dispatcher(
            self._keeper, hello.zone
        )
        self._apply: Apply = lambda decided: None
        self._due_call: Any = None

    def start(self, apply: Apply) -> None:
        """Take messages of peers.

        Args:
            apply: carries out effects; calls ``carry_out`` for those of
                permits, and ``schedule`` at its end.
        """
        self._apply = apply
        for message_type in MESSAGE_TYPES:
            self._network.register(message_type, self._received)

    def configure(self, state: fleet.FleetState) -> None:
        """Follow the effective fleet state."""
        now = self._reactor.seconds()
        self._apply(self._keeper.configure(now, state))
        self._apply(self.dispatcher.configure(now, state))

    def tick(self) -> None:
        """Follow freshness and connections; report usage to peers."""
        now = self._reactor.seconds()
        self._keeper.set_peers(self._network.connected_peers)
        self._apply(self._keeper.set_fresh(now, self._state.fresh_until))
        usage = self.dispatcher.usage(now)
        if not usage:
            return
        report = permit_messages.Ask(0, USAGE_KIND, "", 0, 0.0, 0, usage)
        for peer in self._network.connected_peers:
            self._network.send(peer, report)

    def begin_handover(self) -> None:
        """Lend no more, before the seat is handed over."""
        self._keeper.begin_handover()

    @property
    def handed_over(self) -> bool:
        """Whether the seat may be left to a successor without a wait."""
        return self._keeper.handed_over

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out an effect that concerns permits."""
        if isinstance(effect, effects.Send):
            self._network.send(effect.peer, effect.message)
        elif isinstance(effect, effects.PermitsGained):
            self._apply(
                self.dispatcher.permits_gained(
                    self._reactor.seconds(), effect.kind, effect.name
                )
            )

    def schedule(self) -> None:
        """Call the keeper again when something of it is due."""
        due = self._keeper.next_due
        call = self._due_call
        if call is not None and call.active():
            if due is not None and call.getTime() <= due:
                return
            call.cancel()
        self._due_call = None
        if due is not None:
            wait_s = max(due - self._reactor.seconds(), 0.0)
            self._due_call = self._reactor.callLater(wait_s, self._due)

    def _due(self) -> None:
        self._due_call = None
        self._apply(self._keeper.tick(self._reactor.seconds()))

    def _received(
        self, sender: messages.Hello, message: messages.Message
    ) -> None:
        now = self._reactor.seconds()
        if isinstance(message, permit_messages.Ask):
            self.dispatcher.merge_usage(now, sender.host, message.usage)
            if message.kind == USAGE_KIND:
                return
        self._apply(self._keeper.handle(now, sender.host, message))
