"""Keeps the fleet state and the seat of one entry process current."""

from collections.abc import Callable
import dataclasses
import logging
import random
import time
from typing import Any, Protocol

import msgspec
from twisted.internet import defer
from twisted.internet import task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.events import state_events
from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import messages
from azurevane._internal.operators import change_maker
from azurevane._internal.operators import changes
from azurevane._internal.peers import connections
from azurevane._internal.policy import seats as seat_policy
from azurevane._internal.table_service import hosts
from azurevane._internal.table_service import state_store
from azurevane._internal.tasks import state_keeper
from azurevane._internal.utils import tokens

logger = logging.getLogger(__name__)

STORE_CHECK_INTERVAL_S = 1.0
_SETTLE_INTERVAL_S = 1.0
# A peer that restarts at the same time may miss a prepare.
_MAX_RELEASE_ATTEMPTS = 3
# Range of a random delay, which spreads the attempts of hosts that start
# together: of two changes made at the same time one is lost.
_SEAT_ATTEMPT_DELAY_RANGE_S = (0.2, 1.0)

_STATUS_BY_RESULT = {
    change_maker.ChangeResult.ACCEPTED: 200,
    change_maker.ChangeResult.CONFLICT: 409,
    change_maker.ChangeResult.REFUSED: 503,
    change_maker.ChangeResult.UNKNOWN: 202,
}


class Network(Protocol):
    """Sends messages to peers; may lose them."""

    traffic: connections.Traffic

    def send(self, peer: str, message: messages.Message) -> None:
        """Send a message to a peer by its entry host name."""


class FleetFollower:
    """Connects the state keeper and change maker to network and store.

    Args:
        reactor: its ``seconds`` must be monotonic.
        on_change: called with the effective state whenever it changes.
    """

    def __init__(
        self,
        reactor: Any,
        keeper: state_keeper.StateKeeper,
        store: state_store.StateStore,
        host_list: hosts.HostList,
        network: Network,
        on_change: Callable[[fleet.FleetState], None],
        rng: random.Random | None = None,
    ) -> None:
        self._reactor = reactor
        self._keeper = keeper
        self._store = store
        self._host_list = host_list
        self._network = network
        self._on_change = on_change
        self._rng = rng or random.Random()
        self._maker = change_maker.ChangeMaker(
            reactor, keeper, store, self.apply_effects, self._rng
        )
        self._announced_state = keeper.effective
        self._releasing_seat = False
        self._was_fresh = False

    @property
    def state(self) -> fleet.FleetState:
        """The fleet state in force."""
        return self._keeper.in_force

    def start(self) -> None:
        """Start the periodic work."""
        self._start_loop(self._probe, state_keeper.PROBE_INTERVAL_S)
        self._start_loop(self._check_store, STORE_CHECK_INTERVAL_S)
        self._start_loop(self._settle_changes, _SETTLE_INTERVAL_S)
        self._schedule_seat_attempt()

    def _start_loop(self, call: Callable[[], Any], interval_s: float) -> None:
        loop = task.LoopingCall(call)
        loop.clock = self._reactor
        loop.start(interval_s)

    def handle_message(
        self, sender: messages.Hello, message: messages.Message
    ) -> None:
        """Handle a message for the state keeper.

        Raises:
            MessageError: the message is malformed.
        """
        now = self._reactor.seconds()
        self.apply_effects(self._keeper.received(now, sender, message))

    def apply_effects(self, new_effects: list[effects.Effect]) -> None:
        """Carry out the effects of the state keeper."""
        # The state is applied first, so that no acknowledgement is sent
        # before the host obeys what it acknowledges.
        if self._keeper.effective is not self._announced_state:
            self._announced_state = self._keeper.effective
            self._log_restrictions()
            self._on_change(self._announced_state)
        for effect in new_effects:
            if isinstance(effect, effects.Send):
                self._network.send(effect.peer, effect.message)
            elif isinstance(effect, effects.ChangePrepared):
                self._maker.handle_prepared(effect.token)
            elif isinstance(effect, effects.StateInstalled):
                self._log_installed_state(effect)

    def _log_restrictions(self) -> None:
        prepared = self._keeper.prepared
        if prepared:
            catalogue.emit(
                logger,
                state_events.RestrictionsObeyed(
                    self._keeper.in_force.version, prepared
                ),
            )

    def _log_installed_state(self, installed: effects.StateInstalled) -> None:
        catalogue.emit(
            logger,
            state_events.StateInForce(
                installed.version, installed.previous, installed.source
            ),
        )

    def _probe(self) -> None:
        now = self._reactor.seconds()
        fresh = self._keeper.fresh(now)
        if fresh is not self._was_fresh:
            self._was_fresh = fresh
            catalogue.emit(
                logger,
                state_events.FreshnessChanged(
                    fresh, self._keeper.in_force.version
                ),
            )
        self.apply_effects(self._keeper.tick(now))

    def _check_store(self) -> defer.Deferred[None]:
        return self._spawn("check-state", self._read_if_changed())

    async def _read_if_changed(self) -> None:
        requested_at = self._reactor.seconds()
        version = self._keeper.in_force.version
        row_version = self._keeper.row_version
        stored = await self._store.read_if_changed(row_version)
        if stored is not None:
            version, row_version = stored.state.version, stored.row_version
            self.apply_effects(
                self._keeper.offer(
                    self._reactor.seconds(), stored.state, row_version, "store"
                )
            )
        self._keeper.store_confirmed(requested_at, version, row_version)

    def _settle_changes(self) -> defer.Deferred[None]:
        # All hosts notice the failed maker of a change at the same time.
        # Each skips half of its checks, so that the first can settle the
        # change before most others try.
        if self._rng.random() < 0.5:
            return defer.succeed(None)
        return self._spawn("settle", self._maker.settle_overdue_changes())

    def _spawn(self, operation: str, work: Any) -> defer.Deferred[None]:
        operation_deferred = defer.ensureDeferred(work)

        def handle_unavailable_store(reason: Any) -> None:
            reason.trap(exceptions.StoreUnavailable)
            if reason.check(exceptions.StoreNotCalled):
                return
            catalogue.emit(
                logger,
                platform_events.StoreFailed(
                    operation, reason.getErrorMessage()
                ),
            )

        operation_deferred.addErrback(handle_unavailable_store)
        operation_deferred.addErrback(
            lambda reason: logger.error(
                "%s failed: %s", operation, reason.getTraceback()
            )
        )
        return operation_deferred

    def _schedule_seat_attempt(self) -> None:
        self._reactor.callLater(
            self._rng.uniform(*_SEAT_ATTEMPT_DELAY_RANGE_S),
            self._attempt_to_take_seat,
        )

    def _attempt_to_take_seat(self) -> None:
        operation_deferred = self._spawn("take-seat", self._take_seat())
        operation_deferred.addBoth(lambda _: self._schedule_seat_attempt())

    async def _take_seat(self) -> None:
        keeper, now = self._keeper, self._reactor.seconds()
        if (
            self._releasing_seat
            or keeper.seat is not None
            or not keeper.store_seen(now)
            or keeper.prepared
        ):
            return
        gone_holders = await self._find_gone_holders()
        if self._choose_seat(keeper.in_force, gone_holders) is None:
            return
        outcome = await self._maker.make_change(
            None, lambda state: self._with_seat(state, gone_holders)
        )
        seat = keeper.seat
        if outcome.result is change_maker.ChangeResult.ACCEPTED and seat:
            wait_s = keeper.base_usable_at - self._reactor.seconds()
            catalogue.emit(
                logger,
                state_events.SeatTaken(
                    seat.number, seat.epoch, round(max(wait_s, 0.0), 1)
                ),
            )

    async def release_seat(self) -> None:
        """Release the seat to a successor, near the end of a planned stop."""
        keeper = self._keeper
        self._releasing_seat = True
        for _ in range(_MAX_RELEASE_ATTEMPTS):
            if keeper.seat is None:
                return
            number = keeper.seat.number
            try:
                outcome = await self._maker.make_change(
                    None, self._without_seat
                )
            except exceptions.StoreUnavailable as error:
                reason = str(error)
            else:
                reason = outcome.reason or outcome.result.value
            catalogue.emit(logger, state_events.SeatReleased(number, reason))

    def _without_seat(self, state: fleet.FleetState) -> fleet.FleetState:
        seat = seat_policy.released_seat(
            state, self._keeper.host, self._keeper.incarnation
        )
        if seat is None:
            raise exceptions.StoreNotCalled(
                "This host no longer holds the seat"
            )
        return _with_seats(state, seat)

    def _choose_seat(
        self, state: fleet.FleetState, gone_holders: tuple[str, ...]
    ) -> fleet.Seat | None:
        return seat_policy.choose_seat(
            state, self._keeper.host, self._keeper.incarnation, gone_holders
        )

    async def _find_gone_holders(self) -> tuple[str, ...]:
        if self._choose_seat(self._keeper.in_force, ()) is not None:
            return ()
        now = self._reactor.seconds()
        if not self._keeper.gone(now, ()):
            return ()
        listed = await self._host_list.read()
        return self._keeper.gone(
            self._reactor.seconds(), {host.name for host in listed}
        )

    def _with_seat(
        self, state: fleet.FleetState, gone_holders: tuple[str, ...]
    ) -> fleet.FleetState:
        seat = self._choose_seat(state, gone_holders)
        if seat is None:
            raise exceptions.StoreNotCalled("No seat is free any more")
        return _with_seats(state, seat)

    async def make_change(
        self,
        kind: str,
        base_version: int | None,
        content: Any,
        change_id: str = "",
    ) -> tuple[int, dict[str, Any]]:
        """Make a change for an operator; return HTTP status and body.

        Args:
            change_id: chosen by the client for a later look-up, or empty.

        Raises:
            ManifestError: the change is invalid.
            StoreUnavailable: the store can't be read; nothing was done.
        """
        # Each attempt gets a new token: peers never accept a token again
        # after it was aborted.
        outcome = await self._maker.make_change(
            base_version,
            lambda state: changes.build_state(
                state,
                kind,
                content,
                changes.ChangeOrigin(
                    tokens.new_token(), change_id, time.time()
                ),
            ),
        )
        body = self._describe_outcome(outcome)
        if outcome.result is change_maker.ChangeResult.ACCEPTED:
            (
                hosts_in_force,
                hosts_known,
            ) = await self._maker.wait_until_in_force(outcome.version)
            body |= {"in_force": hosts_in_force, "hosts": hosts_known}
        if outcome.result is change_maker.ChangeResult.CONFLICT:
            body["error"] = "version"
            body["changed"] = (
                None
                if base_version is None
                else self._keeper.what_changed_since(base_version)
            )
        return _STATUS_BY_RESULT[outcome.result], body

    def _describe_outcome(
        self, outcome: change_maker.ChangeOutcome
    ) -> dict[str, Any]:
        body: dict[str, Any] = {
            "result": outcome.result.value,
            "token": outcome.token,
        }
        if outcome.result is change_maker.ChangeResult.ACCEPTED:
            body["version"] = outcome.version
        else:
            body["current_version"] = self._keeper.in_force.version
            body["reason"] = outcome.reason
        return body

    async def find_change(self, change_id: str) -> tuple[int, dict[str, Any]]:
        """Return the accepted change with an id, for operators.

        Raises:
            StoreUnavailable: the table can't be read.
        """
        state = await self._maker.read_current_state()
        for record in state.history:
            if record.change_id == change_id:
                return 200, msgspec.to_builtins(record)
        return 404, {
            "problems": [f"No accepted change has the id {change_id!r}"]
        }

    def status(self) -> dict[str, Any]:
        """Return what this host knows, for operators."""
        keeper, now = self._keeper, self._reactor.seconds()
        return {
            "host": keeper.host,
            "version": keeper.in_force.version,
            "fresh": keeper.fresh(now),
            "fresh_for_s": round(max(keeper.fresh_until - now, 0.0), 3),
            "prepared": keeper.prepared,
            "store": "confirmed" if keeper.store_seen(now) else "not-seen",
            "version_by_peer": keeper.version_by_peer(),
            "traffic": dataclasses.asdict(self._network.traffic),
            "seat": keeper.seat.number if keeper.seat else None,
            "seats": {
                seat.number: {"holder": seat.holder, "epoch": seat.epoch}
                for seat in keeper.in_force.seats
            },
        }


def _with_seats(state: fleet.FleetState, seat: fleet.Seat) -> fleet.FleetState:
    held = {**state.seat_by_number, seat.number: seat}
    return dataclasses.replace(
        state,
        version=state.version + 1,
        token=tokens.new_token(),
        seats=tuple(held[number] for number in sorted(held)),
    )
