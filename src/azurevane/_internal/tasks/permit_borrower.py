"""Borrower side of loans: asks for, uses, renews and returns permits."""

from collections.abc import Callable, Iterator
import dataclasses
import functools
import math

from azurevane._internal.models import effects
from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits
from azurevane._internal.tasks import limit_reductions
from azurevane._internal.tasks import permit_demand
from azurevane._internal.tasks import permit_ledger
from azurevane._internal.tasks import permits
from azurevane._internal.utils import timers

Effects = list[effects.Effect]
Timers = timers.Timers[Callable[[float], Effects]]
UsageSource = Callable[[float, str, str], tuple[permit_messages.Usage, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class _SentAsk:
    """Sent ask that loans may still answer.

    Attributes:
        loan_ids: loans received in answer to it, accepted or declined.
    """

    sent_at: float
    demand_key: permit_demand.DemandKey
    loan_ids: set[int] = dataclasses.field(default_factory=set)


class PermitBorrower:
    """Borrows permits for work that waits at this host.

    Args:
        ids: numbers for asks and renewals; the upper 32 bits identify
            this incarnation.
        usage_of: called with the time and an ask's kind and name; returns
            the usage counters that the ask carries.
    """

    def __init__(
        self,
        ledger: permit_ledger.PermitLedger,
        demand: permit_demand.PermitDemand,
        reductions: limit_reductions.LimitReductions,
        timer_queue: Timers,
        ids: Iterator[int],
        usage_of: UsageSource,
    ) -> None:
        self.peers: tuple[str, ...] = ()
        self._ledger = ledger
        self._demand = demand
        self._reductions = reductions
        self._timers = timer_queue
        self._ids = ids
        self._own_id = next(ids)
        self._usage_of = usage_of
        self._sent_ask_by_id: dict[int, _SentAsk] = {}
        self._renewal_by_seq: dict[int, tuple[float, str]] = {}
        self._renew_at = -math.inf
        self._sweep_scheduled = False

    def set_demand(
        self,
        now: float,
        demand_key: permit_demand.DemandKey,
        count: int,
        rank: float,
        waited_s: float,
    ) -> Effects:
        """Set how many more permits waiting work could use."""
        local_demand = self._demand.local_by_key.get(demand_key)
        if local_demand is None:
            if not count:
                return []
            local_demand = self._demand.local_by_key[demand_key] = (
                permit_demand.LocalDemand()
            )
        ended = local_demand.count and not count
        local_demand.count = count
        local_demand.rank = rank
        local_demand.waited_s = waited_s
        local_demand.stated_at = now
        if ended:
            # A demand that returns within this time needs no messages.
            self._schedule_check(
                now + limits.ASK_MIN_INTERVAL_S, demand_key, local_demand
            )
            return []
        return self._ask_if_due(now, demand_key, local_demand) if count else []

    def accept_loan(
        self, now: float, peer: str, message: permit_messages.Loan
    ) -> Effects:
        """Accept a loan that answers an open ask; return any other."""
        loan_id = message.loan_id
        known = loan_id in self._ledger.borrowed_by_id
        if known or not permit_demand.same_incarnation(
            message.ask_id, self._own_id
        ):
            # Work may still run under a loan that a previous incarnation
            # asked for, so only the lender may reclaim it, on expiry.
            return []
        sent_ask = self._sent_ask_by_id.get(message.ask_id)
        usable = sent_ask is not None and self._is_usable(
            now, sent_ask, loan_id
        )
        if (
            sent_ask is None
            or not usable
            or not self._reductions.is_valid(message)
        ):
            returned_loan = permit_messages.Return(loan_id, message.count)
            return [effects.Send(peer, returned_loan)]
        local_demand = self._demand.local_by_key[sent_ask.demand_key]
        local_demand.unanswered = max(
            0, local_demand.unanswered - message.count
        )
        self._ledger.add_borrowed(
            permit_ledger.BorrowedLoan(
                loan_id,
                peer,
                message.limit_key,
                message.count,
                message.count,
                sent_ask.sent_at + limits.LOAN_LIFETIME_S,
                message.max_run_ms / 1000.0,
            )
        )
        self._schedule_sweep(now)
        return [effects.PermitsGained(*sent_ask.demand_key)]

    def handle_renew_ack(
        self, now: float, peer: str, message: permit_messages.RenewAck
    ) -> Effects:
        """Extend renewed loans, from when the Renew message was sent."""
        sent_at, lender = self._renewal_by_seq.get(message.seq, (now, ""))
        if lender != peer:
            return []
        for loan_id in message.loan_ids:
            loan = self._ledger.borrowed_by_id.get(loan_id)
            if loan and loan.lender == peer and not loan.withdrawn:
                loan.expires_at = max(
                    loan.expires_at, sent_at + limits.LOAN_LIFETIME_S
                )
        return []

    def return_permits(
        self, loan: permit_ledger.BorrowedLoan, count: int
    ) -> effects.Send:
        """Return idle permits of a loan to their lender."""
        self._ledger.remove_borrowed(loan, count)
        returned = loan.total - loan.count
        return effects.Send(
            loan.lender, permit_messages.Return(loan.loan_id, returned)
        )

    def _is_usable(self, now: float, sent_ask: _SentAsk, loan_id: int) -> bool:
        # A copy of a loan that was accepted or declined before must be
        # declined, because the lender may have its permits back already.
        is_copy = loan_id in sent_ask.loan_ids
        sent_ask.loan_ids.add(loan_id)
        return (
            not is_copy
            and now < sent_ask.sent_at + limits.LOAN_LIFETIME_S
            and now < self._ledger.fresh_until
            and self._demand.local_count(sent_ask.demand_key) > 0
        )

    def _schedule_check(
        self,
        due: float,
        demand_key: permit_demand.DemandKey,
        local_demand: permit_demand.LocalDemand,
    ) -> None:
        if local_demand.timer_at is not None and local_demand.timer_at <= due:
            return
        local_demand.timer_at = due
        self._timers.add(
            due, functools.partial(self._handle_timer, demand_key=demand_key)
        )

    def _handle_timer(
        self, now: float, demand_key: permit_demand.DemandKey
    ) -> Effects:
        local_demand = self._demand.local_by_key.get(demand_key)
        if (
            local_demand is None
            or local_demand.timer_at is None
            or now < local_demand.timer_at
        ):
            return []
        local_demand.timer_at = None
        if local_demand.count:
            return self._ask_if_due(now, demand_key, local_demand)
        del self._demand.local_by_key[demand_key]
        if (
            local_demand.asked_at is None
            or now >= local_demand.asked_at + limits.ASK_LIFETIME_S
        ):
            return []
        kind, name = demand_key
        return self._send_to_peers(
            permit_messages.Ask(next(self._ids), kind, name, 0, 0.0, 0)
        )

    def _ask_if_due(
        self,
        now: float,
        demand_key: permit_demand.DemandKey,
        local_demand: permit_demand.LocalDemand,
    ) -> Effects:
        sent: Effects = []
        missing = self._count_missing(now, demand_key, local_demand)
        if missing and local_demand.next_ask_at(missing) <= now:
            sent = self._send_ask(now, demand_key, local_demand, missing)
        due = (
            local_demand.next_ask_at(missing)
            if missing
            else now + limits.ASK_REPEAT_INTERVAL_S
        )
        self._schedule_check(due, demand_key, local_demand)
        return sent

    def _count_missing(
        self,
        now: float,
        demand_key: permit_demand.DemandKey,
        local_demand: permit_demand.LocalDemand,
    ) -> int:
        """Return how many wanted permits aren't free at this host.

        Free slots of a pool aren't subtracted: work that waits for a slot
        has found none that it can use.
        """
        kind, name = demand_key
        if kind != "team":
            return local_demand.count
        key = permits.team_limit_key(name)
        return max(0, local_demand.count - self._ledger.free(now, key))

    def _send_ask(
        self,
        now: float,
        demand_key: permit_demand.DemandKey,
        local_demand: permit_demand.LocalDemand,
        missing: int,
    ) -> Effects:
        local_demand.asked_at = now
        local_demand.asked_rank = local_demand.rank
        local_demand.unanswered = missing
        if now >= self._ledger.fresh_until:
            return []
        for ask_id, sent_ask in list(self._sent_ask_by_id.items()):
            if now < sent_ask.sent_at + limits.LOAN_LIFETIME_S:
                break
            del self._sent_ask_by_id[ask_id]
        kind, name = demand_key
        waited_ms = int(
            (local_demand.waited_s + now - local_demand.stated_at) * 1000
        )
        ask = permit_messages.Ask(
            next(self._ids),
            kind,
            name,
            missing,
            local_demand.rank,
            max(0, waited_ms),
            self._usage_of(now, kind, name),
        )
        self._sent_ask_by_id[ask.ask_id] = _SentAsk(now, demand_key)
        return self._send_to_peers(ask)

    def _send_to_peers(self, ask: permit_messages.Ask) -> Effects:
        return [effects.Send(peer, ask) for peer in self.peers]

    def _schedule_sweep(self, now: float) -> None:
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self._timers.add(now + limits.IDLE_PERMIT_KEPT_S, self._sweep)

    def _sweep(self, now: float) -> Effects:
        """Return permits unused since the last sweep, and renew loans."""
        sent: Effects = []
        for loan in list(self._ledger.borrowed_by_id.values()):
            expired = now >= loan.expires_at
            count = loan.idle if expired else min(loan.min_idle, loan.idle)
            if count:
                sent.append(self.return_permits(loan, count))
            loan.min_idle = loan.idle
        if now >= self._renew_at:
            self._renew_at = now + limits.LOAN_RENEW_INTERVAL_S
            sent += self._send_renewals(now)
        self._sweep_scheduled = False
        if self._ledger.borrowed_by_id:
            self._schedule_sweep(now)
        return sent

    def _send_renewals(self, now: float) -> Effects:
        for seq, (sent_at, _) in list(self._renewal_by_seq.items()):
            if now < sent_at + limits.LOAN_LIFETIME_S:
                break
            del self._renewal_by_seq[seq]
        ids_by_lender: dict[str, list[int]] = {}
        for loan in self._ledger.borrowed_by_id.values():
            remaining_s = loan.expires_at - now
            if (
                not loan.withdrawn
                and remaining_s
                < limits.LOAN_LIFETIME_S - limits.LOAN_RENEW_INTERVAL_S
            ):
                ids_by_lender.setdefault(loan.lender, []).append(loan.loan_id)
        sent: Effects = []
        for lender, loan_ids in ids_by_lender.items():
            seq = next(self._ids)
            self._renewal_by_seq[seq] = (now, lender)
            renew = permit_messages.Renew(seq, tuple(loan_ids))
            sent.append(effects.Send(lender, renew))
        return sent
