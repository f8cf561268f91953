"""Accounts for permits of divided limits: base parts, loans, usage."""

import dataclasses
import math

from azurevane._internal import invariants

_CLOCK_SLACK_S = 1e-6
"""Tolerance for the rounding of ``now + max_run_s`` by callers."""


@dataclasses.dataclass(slots=True, eq=False)
class BorrowedLoan:
    """Permits borrowed from another entry host.

    Attributes:
        lender: entry host that lent the permits.
        total: permits that the lender sent.
        count: permits not returned yet.
        expires_at: monotonic seconds until which new work may start.
        max_run_s: longest run that may start under the loan.
        used: permits with running work.
        min_idle: minimum number of idle permits since the borrower last
            returned unused ones.
        withdrawn: whether the limit was lowered after the loan; renewals
            don't extend the loan then.
    """

    loan_id: int
    lender: str
    limit_key: str
    total: int
    count: int
    expires_at: float
    max_run_s: float
    used: int = 0
    min_idle: int = 0
    withdrawn: bool = False

    @property
    def idle(self) -> int:
        """Number of permits without running work."""
        return self.count - self.used


@dataclasses.dataclass(slots=True, eq=False)
class GrantedLoan:
    """Permits lent to another entry host.

    Attributes:
        total: permits sent.
        count: permits not returned yet.
        reclaim_at: monotonic seconds at which unreturned permits are
            reclaimed.
        max_run_s: longest run that may start under the loan.
    """

    loan_id: int
    borrower: str
    limit_key: str
    total: int
    count: int
    reclaim_at: float
    max_run_s: float


@dataclasses.dataclass(slots=True, eq=False)
class LimitAccount:
    """Permits of one limit at this host.

    Attributes:
        limit: whole limit in force; 0 if the key isn't configured.
        base: base part, the part of the limit that belongs to the seat
            held by this host.
        used: permits of the base part with running work.
        lent: permits of the base part that are lent.
        reserve: permits left unused after the limit was lowered, because
            of work that still runs at other seats.
        running: permits with running work, including borrowed ones.
        borrowed: loans from other hosts.
    """

    limit_key: str
    limit: int = 0
    base: int = 0
    used: int = 0
    lent: int = 0
    reserve: int = 0
    running: int = 0
    borrowed: list[BorrowedLoan] = dataclasses.field(default_factory=list)

    @property
    def spare(self) -> int:
        """Idle permits of the base part; negative after it was lowered."""
        return self.base - self.used - self.lent - self.reserve

    @property
    def overdrawn(self) -> bool:
        """Whether more is used and lent than a lowered base part allows."""
        return self.used + self.lent > self.base

    @property
    def is_unused(self) -> bool:
        """Whether nothing of this limit is used, lent or borrowed."""
        return not (self.running or self.lent or self.borrowed)


HeldPermit = tuple[LimitAccount, BorrowedLoan | None]


class PermitLedger:
    """Owns the accounts, loans and permits in use of one entry host.

    Attributes:
        fresh_until: monotonic seconds until which permits may be used.
        seat_valid_from: monotonic seconds from which only this holder of
            its seat uses the seat's base parts; infinite without a seat.
        base_usable_from: monotonic seconds from which this host may use
            its base parts; infinite while a change that takes the seat
            away is prepared.
        max_run_s: longest run that may start under a base part.
        in_handover: whether the seat is being handed over.
    """

    def __init__(self) -> None:
        self.account_by_key: dict[str, LimitAccount] = {}
        self.granted_by_id: dict[int, GrantedLoan] = {}
        self.borrowed_by_id: dict[int, BorrowedLoan] = {}
        self.fresh_until = -math.inf
        self.seat_valid_from = math.inf
        self.base_usable_from = math.inf
        self.max_run_s = 0.0
        self.in_handover = False
        self._permits_by_holder: dict[str, list[HeldPermit]] = {}

    def is_base_usable(self, now: float) -> bool:
        """Whether this host may use and lend its base parts."""
        return self.base_usable_from <= now < self.fresh_until

    def may_lend(self, now: float) -> bool:
        """Whether this host may lend its base parts and renew loans."""
        return not self.in_handover and self.is_base_usable(now)

    def free(self, now: float, limit_key: str) -> int:
        """Return how many more permits this host may use now."""
        account = self.account_by_key.get(limit_key)
        if account is None or now >= self.fresh_until:
            return 0
        count = 0
        if self.base_usable_from <= now:
            count = max(0, account.spare)
        for loan in account.borrowed:
            if now < loan.expires_at:
                count += loan.count - loan.used
        return max(0, min(count, account.limit - account.running))

    def acquire(
        self, now: float, limit_key: str, holder: str, not_after: float
    ) -> bool:
        """Use a permit until it is released; False if none is free."""
        if self.free(now, limit_key) <= 0:
            return False
        account = self.account_by_key[limit_key]
        run_s = not_after - now - _CLOCK_SLACK_S
        loan = None
        if (
            account.spare > 0
            and self.base_usable_from <= now
            and run_s <= self.max_run_s
        ):
            account.used += 1
        else:
            loan = self._find_usable_loan(now, account, run_s)
            if loan is None:
                return False
            loan.used += 1
            loan.min_idle = min(loan.min_idle, loan.idle)
        account.running += 1
        self._permits_by_holder.setdefault(holder, []).append((account, loan))
        if invariants.checks_enabled():
            self._check_admission(now, account)
        return True

    def release(self, holder: str) -> list[HeldPermit]:
        """Free all permits of a holder and return them."""
        permits = self._permits_by_holder.pop(holder, [])
        for account, loan in permits:
            account.running -= 1
            if loan is None:
                account.used -= 1
            else:
                loan.used -= 1
        return permits

    def add_granted(self, loan: GrantedLoan) -> None:
        """Deduct lent permits from the base part, before they are sent."""
        self.account_by_key[loan.limit_key].lent += loan.count
        self.granted_by_id[loan.loan_id] = loan

    def restore_granted(self, loan: GrantedLoan, count: int) -> None:
        """Restore lent permits to the base part."""
        self.account_by_key[loan.limit_key].lent -= count
        loan.count -= count
        if not loan.count:
            del self.granted_by_id[loan.loan_id]

    def add_borrowed(self, loan: BorrowedLoan) -> None:
        """Add a loan that a lender has sent."""
        account = self.account_by_key.setdefault(
            loan.limit_key, LimitAccount(loan.limit_key)
        )
        account.borrowed.append(loan)
        self.borrowed_by_id[loan.loan_id] = loan

    def remove_borrowed(self, loan: BorrowedLoan, count: int) -> None:
        """Remove idle permits of a loan, before they are returned."""
        loan.count -= count
        loan.min_idle = min(loan.min_idle, loan.idle)
        if not loan.count:
            self.account_by_key[loan.limit_key].borrowed.remove(loan)
            del self.borrowed_by_id[loan.loan_id]

    def withdraw_borrowed(self, limit_key: str) -> None:
        """Start no new work under the loans of a lowered limit."""
        account = self.account_by_key.get(limit_key)
        for loan in account.borrowed if account else ():
            loan.withdrawn = True
            loan.expires_at = -math.inf

    def set_limits(self, limit_and_base: dict[str, tuple[int, int]]) -> None:
        """Set the limits in force and the base parts of this host's seat.

        The account of a removed limit is kept until its loans and its
        work have ended, but nothing more is admitted under it.

        Args:
            limit_and_base: limit and base part, by limit key.
        """
        for key in self.account_by_key.keys() - limit_and_base.keys():
            account = self.account_by_key[key]
            account.limit = account.base = 0
            if account.is_unused:
                del self.account_by_key[key]
        for key, (limit, base) in limit_and_base.items():
            account = self.account_by_key.setdefault(key, LimitAccount(key))
            account.limit = limit
            account.base = base

    def _find_usable_loan(
        self, now: float, account: LimitAccount, run_s: float
    ) -> BorrowedLoan | None:
        for loan in account.borrowed:
            if (
                now < loan.expires_at
                and loan.used < loan.count
                and run_s <= loan.max_run_s
            ):
                return loan
        return None

    def _check_admission(self, now: float, account: LimitAccount) -> None:
        """Check the permits in use against an independent count."""
        key = account.limit_key
        permits = [
            loan
            for held_permits in self._permits_by_holder.values()
            for owner, loan in held_permits
            if owner is account
        ]
        if self.is_base_usable(now):
            usable = account.base - sum(
                loan.count
                for loan in self.granted_by_id.values()
                if loan.limit_key == key
            )
        else:
            usable = permits.count(None)
        for loan in self.borrowed_by_id.values():
            if loan.limit_key == key:
                expired = now >= loan.expires_at
                usable += permits.count(loan) if expired else loan.count
        invariants.check_permits_in_use(
            key, len(permits), usable, account.limit
        )
