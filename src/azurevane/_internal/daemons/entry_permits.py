"""Connects the permit keeper of an entry process to its peers."""

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
# Kind of an Ask that only carries usage counters.
USAGE_KIND = "usage"

EffectHandler = Callable[[list[effects.Effect]], None]


class EntryPermits:
    """Lends and borrows permits for the dispatcher of this process."""

    def __init__(
        self,
        reactor: Any,
        network: connections.PeerNetwork,
        keeper: state_keeper.StateKeeper,
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._state_keeper = keeper
        hello = network.hello
        self._permit_keeper = permit_keeper.PermitKeeper(
            hello.host, hello.incarnation
        )
        self.dispatcher = dispatcher_module.Dispatcher(
            self._permit_keeper, hello.zone
        )
        self._apply_effects: EffectHandler = lambda new_effects: None
        self._tick_call: Any = None

    def start(self, apply_effects: EffectHandler) -> None:
        """Start to handle messages of peers.

        Args:
            apply_effects: carries out effects; calls ``carry_out_effect``
                for those of permits, and ``schedule_keeper_tick`` at its end.
        """
        self._apply_effects = apply_effects
        for message_type in MESSAGE_TYPES:
            self._network.register_handler(message_type, self._handle_message)

    def configure(self, state: fleet.FleetState) -> None:
        """Apply the effective fleet state."""
        now = self._reactor.seconds()
        self._apply_effects(self._permit_keeper.configure(now, state))
        self._apply_effects(self.dispatcher.configure(now, state))

    def tick(self) -> None:
        """Update freshness and connected peers; report usage to peers."""
        now = self._reactor.seconds()
        self._permit_keeper.set_peers(self._network.connected_peers)
        self._apply_effects(
            self._permit_keeper.set_fresh(now, self._state_keeper.fresh_until)
        )
        usage = self.dispatcher.usage(now)
        if not usage:
            return
        report = permit_messages.Ask(0, USAGE_KIND, "", 0, 0.0, 0, usage)
        for peer in self._network.connected_peers:
            self._network.send(peer, report)

    def begin_handover(self) -> None:
        """Stop lending permits, before the seat is released."""
        self._permit_keeper.begin_handover()

    @property
    def handed_over(self) -> bool:
        """Whether the seat's next holder can start without a wait."""
        return self._permit_keeper.handed_over(self._reactor.seconds())

    def carry_out_effect(self, effect: effects.Effect) -> None:
        """Carry out an effect that concerns permits."""
        if isinstance(effect, effects.Send):
            self._network.send(effect.peer, effect.message)
        elif isinstance(effect, effects.PermitsGained):
            self._apply_effects(
                self.dispatcher.handle_permits_gained(
                    self._reactor.seconds(), effect.kind, effect.name
                )
            )

    def schedule_keeper_tick(self) -> None:
        """Schedule the permit keeper's next tick, if it needs one."""
        due_at = self._permit_keeper.next_due
        call = self._tick_call
        if call is not None and call.active():
            if due_at is not None and call.getTime() <= due_at:
                return
            call.cancel()
        self._tick_call = None
        if due_at is not None:
            wait_s = max(due_at - self._reactor.seconds(), 0.0)
            self._tick_call = self._reactor.callLater(
                wait_s, self._tick_keeper
            )

    def _tick_keeper(self) -> None:
        self._tick_call = None
        self._apply_effects(self._permit_keeper.tick(self._reactor.seconds()))

    def _handle_message(
        self, sender: messages.Hello, message: messages.Message
    ) -> None:
        now = self._reactor.seconds()
        if isinstance(message, permit_messages.Ask):
            self.dispatcher.merge_usage(now, sender.host, message.usage)
            if message.kind == USAGE_KIND:
                return
        self._apply_effects(
            self._permit_keeper.handle(now, sender.host, message)
        )
