"""Divides limits between entry hosts and lends permits between them."""

from collections.abc import Callable, Collection
import itertools
import math

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import messages
from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits
from azurevane._internal.tasks import limit_reductions
from azurevane._internal.tasks import permit_borrower
from azurevane._internal.tasks import permit_demand
from azurevane._internal.tasks import permit_ledger
from azurevane._internal.tasks import permit_lender
from azurevane._internal.tasks import permit_topology
from azurevane._internal.utils import timers

Effects = list[effects.Effect]

# Interval at which limits are raised after a zone has returned.
_RAMP_STEP_INTERVAL_S = 0.5


def _no_usage(
    now: float, kind: str, name: str
) -> tuple[permit_messages.Usage, ...]:
    return ()


class PermitKeeper:
    """Permits of team limits and runners' slots at one entry host.

    Implements ``permits.Permits``. All times are monotonic seconds of
    this host. Every method that returns effects may free permits for
    peers; the caller carries out the effects in order and calls ``tick``
    at ``next_due``.

    Args:
        host: name of this entry host.
        incarnation: identifies this process start, as in ``Hello``.
        usage_of: called with the time and an ask's kind and name; returns
            the usage counters that the ask carries.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        usage_of: permit_borrower.UsageSource = _no_usage,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._state = fleet.FleetState()
        self._restrictions: tuple[fleet.Restrictions, ...] = ()
        self._topology: permit_topology.PermitTopology | None = None
        self._seat: tuple[int, int] | None = None
        self._returned_at_by_zone: dict[str, float] = {}
        self._connected_peers: tuple[str, ...] | None = None
        self._longest_run_s = 0.0
        # When work that started under a longer run time has ended.
        self._older_work_until = -math.inf
        self._next_key_offset = 0
        self._timers: permit_lender.Timers = timers.Timers()
        self._ledger = permit_ledger.PermitLedger()
        self._demand = permit_demand.PermitDemand()
        ids = itertools.count(permit_demand.first_message_id(incarnation))
        self._reductions = limit_reductions.LimitReductions(self._ledger, ids)
        self._lender = permit_lender.PermitLender(
            self._ledger,
            self._reductions,
            self._timers,
            ids,
            self._handle_freed,
        )
        self._borrower = permit_borrower.PermitBorrower(
            self._ledger,
            self._demand,
            self._reductions,
            self._timers,
            ids,
            usage_of,
        )
        self._handler_by_type: dict[type, Callable[..., Effects]] = {
            permit_messages.Ask: self._handle_ask,
            permit_messages.Loan: self._handle_loan,
            permit_messages.Renew: self._lender.handle_renew,
            permit_messages.RenewAck: self._borrower.handle_renew_ack,
            permit_messages.Return: self._lender.handle_return,
        }

    @property
    def next_due(self) -> float | None:
        """When to call ``tick`` next; None if there is no need to."""
        return self._timers.next_due

    def free(self, now: float, limit_key: str) -> int:
        """Return how many more permits this host may use now."""
        return self._ledger.free(now, limit_key)

    def acquire(
        self, now: float, limit_key: str, holder: str, not_after: float
    ) -> bool:
        """Use a permit until ``release``; False if none is free.

        Args:
            holder: submission id.
            not_after: monotonic seconds by which the run has ended; no
                later than the longest run time of the configured queues
                from now.

        Raises:
            InvariantViolation: checks are on and the limit is exceeded.
        """
        return self._ledger.acquire(now, limit_key, holder, not_after)

    def release(self, now: float, holder: str) -> Effects:
        """Free all permits of a holder whose run has ended.

        A freed permit goes to the open ask with the highest priority at
        once, unless a waiter of this host has a higher one.
        """
        sent: Effects = []
        for account, loan in self._ledger.release(holder):
            if loan is not None and now >= loan.expires_at:
                sent.append(self._borrower.return_permits(loan, loan.idle))
            else:
                sent += self._offer_idle(now, account.limit_key)
            sent += self._reductions.send_report(now, account.limit_key)
        return sent

    def want(
        self,
        now: float,
        kind: str,
        name: str,
        count: int,
        rank: float,
        waited_s: float,
    ) -> Effects:
        """Set how many permits waiting work could use.

        Args:
            kind: ``team`` or ``pool``.
            count: 0 ends the demand. See ``permits.Permits.want``.
            rank: used slot seconds divided by weight of the waiter with
                the highest priority; the lowest is served first. Ignored
                among the waiters of one team.
            waited_s: seconds that this waiter has waited.
        """
        demand_key = (kind, name)
        previous_count = self._demand.local_count(demand_key)
        sent = self._borrower.set_demand(
            now, demand_key, count, rank, waited_s
        )
        if previous_count and not count:
            sent += self._offer_for_demand(now, demand_key)
        return sent

    def handle(
        self, now: float, peer: str, message: messages.Message
    ) -> Effects:
        """Handle a message of a peer; unknown types are ignored."""
        handler = self._handler_by_type.get(type(message))
        return handler(now, peer, message) if handler else []

    def begin_handover(self) -> None:
        """Stop lending and renewing, before the seat is handed over.

        Running work and borrowed permits aren't affected.
        """
        self._ledger.in_handover = True

    def handed_over(self, now: float) -> bool:
        """Whether the seat may be released.

        Nothing is in use or lent, nothing of a predecessor can be, and no
        other seat may exceed its part of a lowered limit, which a successor
        wouldn't know.
        """
        if self._seat is not None and now < self._ledger.seat_valid_from:
            return False
        return not any(
            account.running or account.lent or account.reserve
            for account in self._ledger.account_by_key.values()
        )

    def tick(self, now: float) -> Effects:
        """Run the timers that are due; cheap if there are none."""
        result: Effects = []
        for action in self._timers.pop_due(now):
            result += action(now)
        return result

    def set_fresh(self, now: float, fresh_until: float) -> Effects:
        """Set until when this host may use permits at all."""
        was_fresh = now < self._ledger.fresh_until
        self._ledger.fresh_until = fresh_until
        return [] if was_fresh else self._offer_all(now)

    def set_peers(self, peers: Collection[str]) -> None:
        """Set the peers to ask; by default, the other seat holders."""
        self._connected_peers = tuple(sorted(peers))
        self._update_peers()

    def configure(
        self,
        now: float,
        state: fleet.FleetState,
        restrictions: tuple[fleet.Restrictions, ...] = (),
    ) -> Effects:
        """Apply the fleet state in force and the prepared restrictions."""
        if state.manifest is None:
            return []
        for zone in self._state.zones_out:
            if zone not in state.zones_out:
                self._returned_at_by_zone[zone] = now
        self._state = state
        self._restrictions = restrictions
        return self._apply_state(now)

    def _apply_state(self, now: float) -> Effects:
        for zone, returned_at in list(self._returned_at_by_zone.items()):
            if now >= returned_at + limits.ZONE_RETURN_RAMP_S:
                del self._returned_at_by_zone[zone]
        if self._returned_at_by_zone:
            self._timers.add(now + _RAMP_STEP_INTERVAL_S, self._apply_state)
        topology = permit_topology.PermitTopology(
            now, self._state, self._restrictions, self._returned_at_by_zone
        )
        self._topology = topology
        self._update_longest_run(now, topology.max_run_s)
        self._ledger.max_run_s = topology.max_run_s
        self._update_seat(now)
        self._update_peers()
        reports = self._reductions.send_due_reports(now)
        return reports + self._offer_all(now)

    def _update_longest_run(self, now: float, max_run_s: float) -> None:
        """Update how long work that starts until now may run.

        Work that started before the run time was lowered may run for longer
        than the configuration in force allows.
        """
        latest_start_s = limits.FRESHNESS_S + limits.LOAN_LIFETIME_S
        previous_run_s = self._ledger.max_run_s
        if max_run_s < previous_run_s:
            self._older_work_until = max(
                self._older_work_until, now + latest_start_s + previous_run_s
            )
        self._longest_run_s = max(
            max_run_s, self._older_work_until - latest_start_s - now
        )

    def _update_peers(self) -> None:
        holders = {seat.holder for seat in self._state.seats} - {""}
        peers = self._connected_peers
        if peers is None:
            peers = tuple(sorted(holders - {self._host}))
        self._borrower.peers = self._reductions.peers = peers

    def _update_limits(
        self,
        now: float,
        topology: permit_topology.PermitTopology,
        seat: fleet.Seat | None,
    ) -> None:
        self._ledger.set_limits(topology.limits_and_bases(seat))
        expire_at = self._reductions.update_limits(
            now, self._state, seat, topology.limit_by_key, self._longest_run_s
        )
        if expire_at is not None:
            self._timers.add(expire_at, self._expire_reductions)

    def _expire_reductions(self, now: float) -> Effects:
        result: Effects = []
        for key in self._reductions.expire(now):
            result += self._handle_freed(now, key)
        return result

    def _update_seat(self, now: float) -> None:
        assert self._topology is not None
        seat = self._find_own_seat()
        self._update_limits(now, self._topology, seat)
        if seat is None:
            self._seat = None
            self._ledger.base_usable_from = self._ledger.seat_valid_from = (
                math.inf
            )
            return
        if self._seat != (seat.number, seat.epoch):
            self._seat = (seat.number, seat.epoch)
            self._ledger.seat_valid_from = limits.base_usable_at(
                now, seat.epoch, self._longest_run_s, clean=seat.clean
            )
            if self._ledger.seat_valid_from > now:
                self._timers.add(self._ledger.seat_valid_from, self._offer_all)
        seat_change_prepared = any(
            seat.number in item.seats for item in self._restrictions
        )
        self._ledger.base_usable_from = (
            math.inf if seat_change_prepared else self._ledger.seat_valid_from
        )

    def _find_own_seat(self) -> fleet.Seat | None:
        for seat in self._state.seats:
            if (
                seat.holder == self._host
                and seat.incarnation == self._incarnation
            ):
                return seat
        return None

    def _handle_ask(
        self, now: float, peer: str, ask: permit_messages.Ask
    ) -> Effects:
        if not self._demand.add_ask(now, peer, ask):
            return []
        demand_key = (ask.kind, ask.name)
        reports = self._reductions.repeat_reports(
            now, peer, lambda key: self._serves_demand(key, demand_key)
        )
        return reports + self._offer_for_demand(now, demand_key)

    def _serves_demand(
        self, limit_key: str, demand_key: permit_demand.DemandKey
    ) -> bool:
        return self._topology is not None and any(
            demand_key == other
            for other, _ in self._topology.demands_for_limit(limit_key)
        )

    def _handle_loan(
        self, now: float, peer: str, loan: permit_messages.Loan
    ) -> Effects:
        if loan.count:
            return self._borrower.accept_loan(now, peer, loan)
        if not self._reductions.record_report(loan):
            return []
        key = loan.limit_key
        # The peer may have applied the change after this host reported,
        # and ignored that report.
        reply = self._reductions.repeat_reports(
            now, peer, lambda other: other == key
        )
        return reply + self._handle_freed(now, key)

    def _handle_freed(self, now: float, limit_key: str) -> Effects:
        """Offer restored permits, to the highest priority first."""
        result = self._reductions.send_report(now, limit_key)
        result += self._offer_idle(now, limit_key)
        if self._topology is None or not self._ledger.free(now, limit_key):
            return result
        return result + [
            effects.PermitsGained(*demand_key)
            for demand_key, _ in self._topology.demands_for_limit(limit_key)
            if self._demand.local_count(demand_key)
        ]

    def _offer_all(self, now: float) -> Effects:
        result: Effects = []
        for demand_key in list(self._demand.asks_by_key):
            result += self._offer_for_demand(now, demand_key)
        return result + [
            effects.PermitsGained(*demand_key)
            for demand_key, local_demand in self._demand.local_by_key.items()
            if local_demand.count
        ]

    def _offer_for_demand(
        self, now: float, demand_key: permit_demand.DemandKey
    ) -> Effects:
        """Offer all idle permits that serve a demand to open asks."""
        if self._topology is None or now >= self._ledger.fresh_until:
            return []
        result: Effects = []
        if not self._demand.has_open_asks(now, demand_key):
            return result
        for keys in self._topology.limit_key_groups(demand_key):
            # Starts at a different key each time, to spread loans evenly.
            self._next_key_offset += 1
            start = self._next_key_offset % max(1, len(keys))
            for key in itertools.chain(keys[start:], keys[:start]):
                account = self._ledger.account_by_key[key]
                if account.spare <= 0 and not account.borrowed:
                    continue
                result += self._offer_idle(now, key)
                if not self._demand.has_open_asks(now, demand_key):
                    return result
        return result

    def _offer_idle(self, now: float, limit_key: str) -> Effects:
        """Lend or return idle permits that go to peers by priority."""
        account = self._ledger.account_by_key.get(limit_key)
        if account is None or self._topology is None:
            return []
        spare = 0
        if account.spare > 0 and self._ledger.may_lend(now):
            spare = account.spare
        idle = sum(loan.idle for loan in account.borrowed)
        if not spare + idle:
            return []
        requesters = self._demand.find_requesters(
            now, self._topology.demands_for_limit(limit_key)
        )
        result: Effects = []
        for requester, count in limits.grant_spare_permits(
            spare + idle, requesters
        ):
            ask = self._demand.reduce_ask(requester, count)
            lent = min(spare, count)
            if lent:
                spare -= lent
                result.append(
                    self._lender.lend(
                        now, limit_key, requester.peer, ask.ask_id, lent
                    )
                )
            result += self._return_borrowed(account, count - lent)
        return result

    def _return_borrowed(
        self, account: permit_ledger.LimitAccount, count: int
    ) -> Effects:
        """Return idle loans; their lenders can lend them to the requester."""
        result: Effects = []
        for loan in list(account.borrowed):
            returned = min(count, loan.idle)
            if returned > 0:
                count -= returned
                result.append(self._borrower.return_permits(loan, returned))
        return result
