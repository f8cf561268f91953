"""Lender side of loans: grants, renews and reclaims permits."""

from collections.abc import Callable, Iterator
import functools

from azurevane._internal.models import effects
from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits
from azurevane._internal.tasks import limit_reductions
from azurevane._internal.tasks import permit_ledger
from azurevane._internal.utils import timers

Effects = list[effects.Effect]
Timers = timers.Timers[Callable[[float], Effects]]


class PermitLender:
    """Lends permits of the base parts of the seat that this host holds.

    Args:
        ids: numbers for loans, unique over all incarnations of all hosts.
        on_freed: called with the time and the limit key when permits have
            been restored to a base part.
    """

    def __init__(
        self,
        ledger: permit_ledger.PermitLedger,
        reductions: limit_reductions.LimitReductions,
        timer_queue: Timers,
        ids: Iterator[int],
        on_freed: Callable[[float, str], Effects],
    ) -> None:
        self._ledger = ledger
        self._reductions = reductions
        self._timers = timer_queue
        self._ids = ids
        self._on_freed = on_freed

    def lend(
        self, now: float, limit_key: str, peer: str, ask_id: int, count: int
    ) -> effects.Send:
        """Deduct permits from the base part and send them as a loan."""
        max_run_s = self._ledger.max_run_s
        loan = permit_ledger.GrantedLoan(
            next(self._ids),
            peer,
            limit_key,
            count,
            count,
            limits.loan_reclaimable_at(now, max_run_s),
            max_run_s,
        )
        self._ledger.add_granted(loan)
        self._schedule_reclaim(loan)
        return effects.Send(
            peer,
            permit_messages.Loan(
                loan.loan_id,
                ask_id,
                limit_key,
                count,
                int(max_run_s * 1000),
                *self._reductions.version_and_limit(limit_key),
            ),
        )

    def handle_renew(
        self, now: float, peer: str, message: permit_messages.Renew
    ) -> Effects:
        """Extend loans, unless this host may not lend or needs them."""
        if not self._ledger.may_lend(now):
            return []
        extended = []
        for loan_id in message.loan_ids:
            loan = self._ledger.granted_by_id.get(loan_id)
            if loan is None or loan.borrower != peer:
                continue
            # After the limit was lowered, more is used and lent than the
            # base part allows.
            if self._ledger.account_by_key[loan.limit_key].overdrawn:
                continue
            loan.reclaim_at = limits.loan_reclaimable_at(now, loan.max_run_s)
            extended.append(loan_id)
        if not extended:
            return []
        ack = permit_messages.RenewAck(message.seq, tuple(extended))
        return [effects.Send(peer, ack)]

    def handle_return(
        self, now: float, peer: str, message: permit_messages.Return
    ) -> Effects:
        """Restore returned permits to the base part."""
        loan = self._ledger.granted_by_id.get(message.loan_id)
        if loan is None or loan.borrower != peer:
            return []
        count = loan.count - max(0, loan.total - message.count)
        if count <= 0:
            return []
        self._ledger.restore_granted(loan, count)
        return self._on_freed(now, loan.limit_key)

    def _schedule_reclaim(self, loan: permit_ledger.GrantedLoan) -> None:
        self._timers.add(
            loan.reclaim_at, functools.partial(self._reclaim, loan=loan)
        )

    def _reclaim(self, now: float, loan: permit_ledger.GrantedLoan) -> Effects:
        if not loan.count:
            return []
        if now < loan.reclaim_at:
            self._schedule_reclaim(loan)
            return []
        self._ledger.restore_granted(loan, loan.count)
        return self._on_freed(now, loan.limit_key)
