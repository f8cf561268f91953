"""Keeps new work below a lowered limit while older work still runs."""

from collections.abc import Callable, Iterator
import dataclasses

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits
from azurevane._internal.tasks import permit_demand
from azurevane._internal.tasks import permit_ledger

Effects = list[effects.Effect]


@dataclasses.dataclass(slots=True)
class _Reduction:
    """Limit that was lowered.

    Attributes:
        lowered_from: highest limit under which work may still run.
        version: least version that a report must be of.
        expires_at: monotonic seconds at which all older work has ended.
        reported_seats: numbers of the seats that have reported.
        reported: whether this host has reported.
    """

    lowered_from: int
    version: int
    expires_at: float
    reported_seats: set[int] = dataclasses.field(default_factory=set)
    reported: bool = False


class LimitReductions:
    """Reserves base permits until the other seats fit into their parts.

    Each host reports once its permits in use and lent fit into its new
    part. Until then, or until all older work has ended, the others leave
    what it may use beyond that part unused. Loans made under the higher
    limit start no new work. A lost report is repeated in answer to the
    next ask.

    Args:
        ids: numbers of messages; the upper 32 bits identify this
            incarnation.
    """

    def __init__(
        self, ledger: permit_ledger.PermitLedger, ids: Iterator[int]
    ) -> None:
        self.peers: tuple[str, ...] = ()
        self._ledger = ledger
        self._ids = ids
        self._state = fleet.FleetState()
        self._seat: int | None = None
        self._limit_by_key: dict[str, int] = {}
        self._reduction_by_key: dict[str, _Reduction] = {}

    def update_limits(
        self,
        now: float,
        state: fleet.FleetState,
        seat: fleet.Seat | None,
        limit_by_key: dict[str, int],
        longest_run_s: float,
    ) -> float | None:
        """Note which limits were lowered.

        Args:
            longest_run_s: longest run that may have started before.

        Returns:
            when ``expire`` has to be called; None if it needn't be.
        """
        until = (
            now + limits.FRESHNESS_S + limits.LOAN_LIFETIME_S + longest_run_s
        )
        lowered = self._extend_prepared(state.version, until)
        for key, limit in self._limit_by_key.items():
            if limit_by_key.get(key, 0) < limit:
                lowered = True
                self._ledger.withdraw_borrowed(key)
                previous = self._reduction_by_key.get(key)
                self._reduction_by_key[key] = _Reduction(
                    max(limit, previous.lowered_from if previous else 0),
                    state.version,
                    until,
                )
        self._state = state
        self._seat = self._index(seat) if seat else None
        self._limit_by_key = dict(limit_by_key)
        for key in self._reduction_by_key:
            self._update_reserve(key)
        return until if lowered else None

    def _extend_prepared(self, version: int, until: float) -> bool:
        """Prolong what was lowered by a change that was only prepared.

        A host that missed the prepare may have followed the higher limit
        until the change was in force.
        """
        prepared = [
            lowered
            for lowered in self._reduction_by_key.values()
            if lowered.version + 1 == version
        ]
        for lowered in prepared:
            lowered.expires_at = until
        return bool(prepared)

    def expire(self, now: float) -> list[str]:
        """Forget limits under which all older work has ended."""
        ended = [
            key
            for key, lowered in self._reduction_by_key.items()
            if now >= lowered.expires_at
        ]
        for key in ended:
            del self._reduction_by_key[key]
            self._update_reserve(key)
        return ended

    def report(self, now: float, limit_key: str) -> Effects:
        """Tell all peers, once, that the work here fits a lowered part."""
        lowered = self._reduction_by_key.get(limit_key)
        if lowered is None or lowered.reported:
            return []
        if not self._fits_base_part(now, limit_key):
            return []
        lowered.reported = True
        return [self._report_to(peer, limit_key) for peer in self.peers]

    def report_all(self, now: float) -> Effects:
        """Report every lowered limit that hasn't been reported."""
        sent: Effects = []
        for key in list(self._reduction_by_key):
            sent += self.report(now, key)
        return sent

    def repeat_reports(
        self, now: float, peer: str, concerns: Callable[[str], bool]
    ) -> Effects:
        """Repeat the reports that concern what a peer asks for."""
        return [
            self._report_to(peer, key)
            for key, lowered in self._reduction_by_key.items()
            if concerns(key) and self._fits_base_part(now, key)
        ]

    def record_report(self, message: permit_messages.Loan) -> bool:
        """Note a report; False if it doesn't change anything."""
        key = message.limit_key
        lowered = self._reduction_by_key.get(key)
        seat = self._seat_of(message.loan_id)
        if (
            lowered is None
            or seat is None
            or seat in lowered.reported_seats
            or not self.is_valid(message)
        ):
            return False
        lowered.reported_seats.add(seat)
        self._update_reserve(key)
        return True

    def is_valid(self, message: permit_messages.Loan) -> bool:
        """Whether a loan or report was sent under the lowered limit."""
        lowered = self._reduction_by_key.get(message.limit_key)
        return lowered is None or (
            message.version >= lowered.version
            and message.limit <= self._limit_by_key.get(message.limit_key, 0)
        )

    def version_and_limit(self, limit_key: str) -> tuple[int, int]:
        """Return the version and the limit that a loan is made under."""
        return self._state.version, self._limit_by_key.get(limit_key, 0)

    def _seat_of(self, message_id: int) -> int | None:
        """Return the seat of the incarnation that sent a message."""
        for seat in self._state.seats:
            own_id = permit_demand.first_message_id(seat.incarnation)
            if permit_demand.same_incarnation(own_id, message_id):
                return self._index(seat)
        return None

    def _index(self, seat: fleet.Seat) -> int:
        """Return the number of a seat, counted from 0."""
        assert self._state.manifest is not None
        return seat.number % self._state.manifest.entry_seats

    def _fits_base_part(self, now: float, limit_key: str) -> bool:
        # A new holder that still waits can't speak for its predecessor.
        account = self._ledger.account_by_key.get(limit_key)
        return (
            account is not None
            and self._ledger.seat_valid_from <= now
            and not account.overdrawn
        )

    def _report_to(self, peer: str, limit_key: str) -> effects.Send:
        return effects.Send(
            peer,
            permit_messages.Loan(
                next(self._ids),
                0,
                limit_key,
                0,
                0,
                *self.version_and_limit(limit_key),
            ),
        )

    def _update_reserve(self, limit_key: str) -> None:
        account = self._ledger.account_by_key.get(limit_key)
        if account is None:
            return
        lowered = self._reduction_by_key.get(limit_key)
        if lowered is None or self._state.manifest is None:
            account.reserve = 0
            return
        seats = self._state.manifest.entry_seats
        limit = self._limit_by_key.get(limit_key, 0)
        account.reserve = limits.lowering_reserve(
            limit_key,
            max(limit, lowered.lowered_from),
            limit,
            seats,
            set(range(seats)) - lowered.reported_seats - {self._seat},
        )
