"""Decides claims for the seats that this process holds.

Takes messages and the store's answers and returns effects; does no I/O.
Every ``now`` is in monotonic seconds of this host.
"""

from collections.abc import Iterable

from azurevane._internal.models import claim_messages
from azurevane._internal.models import claim_records
from azurevane._internal.models import fleet
from azurevane._internal.policy import claim_owner
from azurevane._internal.tasks import seat_claims

# Limits each host to ten journal writes a second. The 12 hosts of both
# sites then make at most 120 of the 150 writes a second that are allowed
# during a burst.
WRITE_INTERVAL_S = 0.1

_Effects = list[claim_records.ClaimEffect]


class ClaimKeeper:
    """Owns the claims of the seats that this process holds."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._seat_count = 0
        self._seat_by_number: dict[int, seat_claims.SeatClaims] = {}
        self._next_write_at = 0.0

    def configure(
        self, now: float, seats: int, held: Iterable[fleet.Seat]
    ) -> _Effects:
        """Set which seats this process holds.

        Claims that are pending at a seat it no longer holds are refused.

        Args:
            seats: number of seats of the site.
            held: seats held by this process, each with its epoch.
        """
        self._seat_count = seats
        epoch_by_number = {seat.number: seat.epoch for seat in held}
        result: _Effects = []
        for number, seat in list(self._seat_by_number.items()):
            if epoch_by_number.get(number) != seat.epoch:
                result += seat.refuse_pending()
                del self._seat_by_number[number]
        for number, epoch in epoch_by_number.items():
            if number not in self._seat_by_number:
                self._seat_by_number[number] = seat_claims.SeatClaims(
                    number, epoch, self._incarnation
                )
        return result + self.tick(now)

    def _find_request_seat(
        self, team: str, request_id: str
    ) -> seat_claims.SeatClaims | None:
        if not self._seat_count:
            return None
        number = claim_owner.seat_for_claim(team, request_id, self._seat_count)
        return self._seat_by_number.get(number)

    def handle_claim(
        self,
        now: float,
        host: str,
        incarnation: str,
        message: claim_messages.Claim,
    ) -> _Effects:
        """Answer a claim, or queue it for the seat's journal."""
        attempt = claim_records.Attempt(host, incarnation, message.seq)
        seat = self._find_request_seat(message.team, message.request_id)
        if seat is None:
            # The seat is changing holders; the client resends its claim.
            return []
        entry = claim_records.ClaimEntry(
            message.team,
            message.request_id,
            message.digest,
            attempt,
            message.run_ms,
        )
        return seat.handle_claim(now, entry) + self._begin_next_write(now)

    def handle_claim_done(
        self,
        now: float,
        host: str,
        incarnation: str,
        message: claim_messages.ClaimDone,
    ) -> _Effects:
        """Record how an attempt of an entry host ended."""
        seat = self._find_request_seat(message.team, message.request_id)
        if seat is None:
            return []
        outcome = claim_records.OutcomeEntry(
            message.team,
            message.request_id,
            claim_records.Attempt(host, incarnation, message.seq),
            message.verdict,
            message.status,
        )
        return seat.record_outcome(now, outcome)

    @property
    def has_pending_writes(self) -> bool:
        """Whether any claim or outcome isn't in a journal yet."""
        return any(
            seat.has_pending_writes for seat in self._seat_by_number.values()
        )

    def flush(self) -> None:
        """Write pending outcomes without further delay."""
        for seat in self._seat_by_number.values():
            seat.flush()

    def tick(self, now: float) -> _Effects:
        """Begin reads and writes that are due; refuse overdue claims."""
        result: _Effects = []
        for seat in self._seat_by_number.values():
            result += seat.tick(now)
        return result + self._begin_next_write(now)

    def _begin_next_write(self, now: float) -> _Effects:
        if now < self._next_write_at:
            return []
        for number, seat in list(self._seat_by_number.items()):
            if seat.is_write_due(now):
                self._next_write_at = now + WRITE_INTERVAL_S
                # Moves the seat to the end, so that the seats take turns.
                self._seat_by_number[number] = self._seat_by_number.pop(number)
                return seat.begin_write(now)
        return []

    def _find_seat(
        self, number: int, epoch: int
    ) -> seat_claims.SeatClaims | None:
        seat = self._seat_by_number.get(number)
        return seat if seat is not None and seat.epoch == epoch else None

    def handle_journal_read(
        self,
        now: float,
        read: claim_records.ReadJournal,
        stored: claim_records.StoredJournal,
    ) -> _Effects:
        """Handle the journal that was read for a seat."""
        seat = self._find_seat(read.seat, read.epoch)
        if seat is None:
            return []
        return seat.handle_read(now, stored) + self._begin_next_write(now)

    def handle_journal_written(
        self,
        now: float,
        write: claim_records.AppendJournal,
        applied: bool,
        version: int,
    ) -> _Effects:
        """Handle the store's answer to a journal write."""
        seat = self._find_seat(write.seat, write.head.epoch)
        return (
            [] if seat is None else seat.handle_written(now, applied, version)
        )

    def handle_store_failure(
        self,
        now: float,
        call: claim_records.ReadJournal | claim_records.AppendJournal,
    ) -> _Effects:
        """Handle a call to the store that got no answer."""
        epoch = (
            call.epoch
            if isinstance(call, claim_records.ReadJournal)
            else call.head.epoch
        )
        seat = self._find_seat(call.seat, epoch)
        return [] if seat is None else seat.handle_store_failure(now)
