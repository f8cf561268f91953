"""Keeps work below a lowered limit while older work still runs."""

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
    """Lowering of one limit.

    Attributes:
        lowered_from: highest limit under which work may still run.
        version: lowest version of the fleet state that a report may have.
        expires_at: monotonic seconds by which all older work has ended.
        reported_seats: indexes of the seats that have reported.
        reported: whether this host has reported.
    """

    lowered_from: int
    version: int
    expires_at: float
    reported_seats: set[int] = dataclasses.field(default_factory=set)
    reported: bool = False


class LimitReductions:
    """Reserves permits until the other seats fit into lowered base parts.

    Each host sends a report once the permits that it uses and has lent
    fit into its new base part. Until that report arrives, or until all
    older work has ended, the other hosts leave unused what the host may
    use beyond its new base part. No new work starts under loans made at
    the higher limit. A lost report is repeated in answer to the next ask.

    Args:
        ids: message numbers; the upper 32 bits identify this incarnation.
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
        """Set the limits in force and record which of them were lowered.

        Args:
            longest_run_s: longest run that may have started before.

        Returns:
            when to call ``expire``, in monotonic seconds; None if nothing
            was lowered or extended.
        """
        expires_at = (
            now + limits.FRESHNESS_S + limits.LOAN_LIFETIME_S + longest_run_s
        )
        lowered = self._extend_prepared(state.version, expires_at)
        for key, limit in self._limit_by_key.items():
            if limit_by_key.get(key, 0) < limit:
                lowered = True
                self._ledger.withdraw_borrowed(key)
                previous = self._reduction_by_key.get(key)
                self._reduction_by_key[key] = _Reduction(
                    max(limit, previous.lowered_from if previous else 0),
                    state.version,
                    expires_at,
                )
        self._state = state
        self._seat = self._seat_index(seat) if seat else None
        self._limit_by_key = dict(limit_by_key)
        for key in self._reduction_by_key:
            self._update_reserve(key)
        return expires_at if lowered else None

    def _extend_prepared(self, version: int, expires_at: float) -> bool:
        """Extend reductions made when the change was only prepared.

        A host that missed the prepare message may have used the higher
        limit until the change came into force.
        """
        prepared = [
            reduction
            for reduction in self._reduction_by_key.values()
            if reduction.version + 1 == version
        ]
        for reduction in prepared:
            reduction.expires_at = expires_at
        return bool(prepared)

    def expire(self, now: float) -> list[str]:
        """Remove reductions whose older work has ended; return their keys."""
        ended = [
            key
            for key, reduction in self._reduction_by_key.items()
            if now >= reduction.expires_at
        ]
        for key in ended:
            del self._reduction_by_key[key]
            self._update_reserve(key)
        return ended

    def send_report(self, now: float, limit_key: str) -> Effects:
        """Report to all peers, once, that this host fits a lowered limit."""
        reduction = self._reduction_by_key.get(limit_key)
        if reduction is None or reduction.reported:
            return []
        if not self._fits_base_part(now, limit_key):
            return []
        reduction.reported = True
        return [self._build_report(peer, limit_key) for peer in self.peers]

    def send_due_reports(self, now: float) -> Effects:
        """Send the reports of all limits that are due."""
        sent: Effects = []
        for key in list(self._reduction_by_key):
            sent += self.send_report(now, key)
        return sent

    def repeat_reports(
        self, now: float, peer: str, matches: Callable[[str], bool]
    ) -> Effects:
        """Repeat the reports on limits that match, for one peer."""
        return [
            self._build_report(peer, key)
            for key, reduction in self._reduction_by_key.items()
            if matches(key) and self._fits_base_part(now, key)
        ]

    def record_report(self, message: permit_messages.Loan) -> bool:
        """Record a peer's report; False if it changes nothing."""
        key = message.limit_key
        reduction = self._reduction_by_key.get(key)
        seat = self._find_seat_index(message.loan_id)
        if (
            reduction is None
            or seat is None
            or seat in reduction.reported_seats
            or not self.is_valid(message)
        ):
            return False
        reduction.reported_seats.add(seat)
        self._update_reserve(key)
        return True

    def is_valid(self, message: permit_messages.Loan) -> bool:
        """Whether a loan or report was sent under the lowered limit.

        True for a limit that wasn't lowered.
        """
        reduction = self._reduction_by_key.get(message.limit_key)
        return reduction is None or (
            message.version >= reduction.version
            and message.limit <= self._limit_by_key.get(message.limit_key, 0)
        )

    def version_and_limit(self, limit_key: str) -> tuple[int, int]:
        """Return the version and the limit under which a loan is made."""
        return self._state.version, self._limit_by_key.get(limit_key, 0)

    def _find_seat_index(self, message_id: int) -> int | None:
        """Return the index of the seat whose holder sent a message."""
        for seat in self._state.seats:
            first_id = permit_demand.first_message_id(seat.incarnation)
            if permit_demand.same_incarnation(first_id, message_id):
                return self._seat_index(seat)
        return None

    def _seat_index(self, seat: fleet.Seat) -> int:
        """Return the index of a seat, counted from 0."""
        assert self._state.manifest is not None
        return seat.number % self._state.manifest.entry_seats

    def _fits_base_part(self, now: float, limit_key: str) -> bool:
        # A new holder can't report for its predecessor while it waits.
        account = self._ledger.account_by_key.get(limit_key)
        return (
            account is not None
            and self._ledger.seat_valid_from <= now
            and not account.overdrawn
        )

    def _build_report(self, peer: str, limit_key: str) -> effects.Send:
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
        reduction = self._reduction_by_key.get(limit_key)
        if reduction is None or self._state.manifest is None:
            account.reserve = 0
            return
        seats = self._state.manifest.entry_seats
        limit = self._limit_by_key.get(limit_key, 0)
        account.reserve = limits.lowering_reserve(
            limit_key,
            max(limit, reduction.lowered_from),
            limit,
            seats,
            set(range(seats)) - reduction.reported_seats - {self._seat},
        )
