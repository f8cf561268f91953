"""Claims of one seat, which its holder decides by writing its journal."""

import dataclasses
import enum

from azurevane._internal.models import claim_messages
from azurevane._internal.models import claim_records
from azurevane._internal.models import effects
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.tasks import claim_table

# A claim that isn't in the journal within this time is refused.
DECISION_TIMEOUT_S = 1.0
# Outcomes are delayed by up to this time, to be written with claims.
OUTCOME_DELAY_S = 1.0
# Time between a failed call to the store and the next one.
STORE_RETRY_INTERVAL_S = 0.5
MAX_CLAIM_RECORDS = 200_000
MAX_PENDING_CLAIMS = 10_000
MAX_BATCH_ENTRIES = 2_000
_MAX_DROPPED_SEGMENTS = 50
_EXPIRE_INTERVAL_S = 5.0

_Effects = list[claim_records.ClaimEffect]
_Outcome = claim_records.Outcome
_NOT_RUN = verdict_models.Verdict.NOT_RUN.value


class _Phase(enum.Enum):
    UNREAD = "unread"
    READING = "reading"
    READY = "ready"
    WRITING = "writing"
    SUPERSEDED = "lost"


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A claim that isn't in the journal yet.

    Attributes:
        refused: whether its first attempt was refused or abandoned.
        later_attempts: other attempts at the same request, which are
            answered together with the first.
    """

    entry: claim_records.ClaimEntry
    decide_by: float
    refused: bool = False
    later_attempts: list[claim_records.Attempt] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class _Batch:
    """A segment being written; the write may be repeated unchanged.

    Attributes:
        head_version: version of the head row that the write requires.
        dropped: numbers of segments that the write deletes.
        tokens: tokens of all writes of this segment.
    """

    segment: claim_records.Segment
    head_version: int
    pending_by_key: dict[claim_records.RequestKey, _PendingClaim]
    dropped: tuple[int, ...]
    tokens: set[str]


class SeatClaims:
    """Owns the claims of a seat while this process holds it."""

    def __init__(self, number: int, epoch: int, incarnation: str) -> None:
        self.number = number
        self.epoch = epoch
        self._incarnation = incarnation
        self._phase = _Phase.UNREAD
        self._retry_at = 0.0
        self._failing_since: float | None = None
        self._write_count = 0
        self._head_version = 0
        self._next_number = 1
        self._table = claim_table.ClaimTable()
        self._pending_by_key: dict[
            claim_records.RequestKey, _PendingClaim
        ] = {}
        self._outcomes: list[claim_records.OutcomeEntry] = []
        self._outcomes_due_at = 0.0
        self._batch: _Batch | None = None
        self._segment_expires_at: dict[int, float] = {}
        self._next_expiry_at = 0.0

    @property
    def superseded(self) -> bool:
        """Whether another holder has taken over the journal."""
        return self._phase is _Phase.SUPERSEDED

    def handle_claim(
        self, now: float, entry: claim_records.ClaimEntry
    ) -> _Effects:
        """Answer a claim, or queue it for the journal."""
        record = self._table.find(now, entry.key)
        if record is not None:
            outcome = claim_table.outcome_for_attempt(
                now, record, entry.digest, entry.attempt
            )
            return [
                _build_ack(
                    entry.attempt,
                    outcome,
                    record.entry.attempt.host,
                    record.status,
                )
            ]
        pending = self._find_pending(entry.key)
        if pending is not None:
            return self._add_attempt(pending, entry)
        if self._must_refuse(now):
            return [_build_ack(entry.attempt, _Outcome.REFUSED)]
        self._pending_by_key[entry.key] = _PendingClaim(
            entry, now + DECISION_TIMEOUT_S
        )
        return []

    def _find_pending(
        self, key: claim_records.RequestKey
    ) -> _PendingClaim | None:
        if self._batch is not None and key in self._batch.pending_by_key:
            return self._batch.pending_by_key[key]
        return self._pending_by_key.get(key)

    def _add_attempt(
        self, pending: _PendingClaim, entry: claim_records.ClaimEntry
    ) -> _Effects:
        if pending.entry.digest != entry.digest:
            return [_build_ack(entry.attempt, _Outcome.MISMATCH)]
        if pending.refused:
            return [_build_ack(entry.attempt, _Outcome.REFUSED)]
        if entry.attempt not in (
            pending.entry.attempt,
            *pending.later_attempts,
        ):
            pending.later_attempts.append(entry.attempt)
        return []

    def _must_refuse(self, now: float) -> bool:
        failing = (
            self._failing_since is not None
            and now - self._failing_since > DECISION_TIMEOUT_S
        )
        return (
            self.superseded
            or failing
            or len(self._pending_by_key) >= MAX_PENDING_CLAIMS
            or len(self._table) >= MAX_CLAIM_RECORDS
        )

    def record_outcome(
        self, now: float, outcome: claim_records.OutcomeEntry
    ) -> _Effects:
        """Record how an attempt ended."""
        pending = self._find_pending(outcome.key)
        if pending is not None and pending.entry.attempt == outcome.attempt:
            # The client abandoned the claim before it was decided, so
            # nothing ran.
            pending.refused = True
            return _refuse_attempts(pending)
        if self._table.record_outcome(now, outcome):
            self._queue_outcome(now, outcome)
        return []

    def _queue_outcome(
        self, now: float, outcome: claim_records.OutcomeEntry
    ) -> None:
        if not self._outcomes:
            self._outcomes_due_at = now + OUTCOME_DELAY_S
        self._outcomes.append(outcome)

    def refuse_pending(self) -> _Effects:
        """Refuse all claims that aren't decided yet."""
        result: _Effects = []
        batch = self._batch.pending_by_key if self._batch else {}
        for pending in (*self._pending_by_key.values(), *batch.values()):
            result += _refuse_attempts(pending)
        self._pending_by_key.clear()
        return result

    def tick(self, now: float) -> _Effects:
        """Refuse overdue claims; read the journal if necessary."""
        result: _Effects = []
        for key, pending in list(self._pending_by_key.items()):
            if pending.refused or pending.decide_by <= now:
                result += _refuse_attempts(pending)
                del self._pending_by_key[key]
        if self._batch is not None:
            for pending in self._batch.pending_by_key.values():
                if not pending.refused and pending.decide_by <= now:
                    result += _refuse_attempts(pending)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + _EXPIRE_INTERVAL_S
            self._table.expire(now)
        if self._phase is _Phase.UNREAD and now >= self._retry_at:
            self._phase = _Phase.READING
            result.append(claim_records.ReadJournal(self.number, self.epoch))
        return result

    def is_write_due(self, now: float) -> bool:
        """Whether to begin a write now."""
        return self._phase is _Phase.READY and (
            self._batch is not None
            or bool(self._pending_by_key)
            or (bool(self._outcomes) and now >= self._outcomes_due_at)
        )

    @property
    def has_pending_writes(self) -> bool:
        """Whether any claim or outcome isn't in the journal yet."""
        return not self.superseded and bool(
            self._batch or self._pending_by_key or self._outcomes
        )

    def flush(self) -> None:
        """Make the pending outcomes due for the next write."""
        self._outcomes_due_at = 0.0

    def begin_write(self, now: float) -> _Effects:
        """Write the next batch, or repeat the unfinished one."""
        if self._batch is None:
            self._batch = self._build_batch(now)
        batch = self._batch
        self._write_count += 1
        token = f"{self._incarnation}/{self.number}/{self._write_count}"
        batch.tokens.add(token)
        self._phase = _Phase.WRITING
        head = claim_records.JournalHead(
            self.epoch,
            self._incarnation,
            token,
            batch.segment.number + 1,
        )
        return [
            claim_records.AppendJournal(
                self.number,
                batch.head_version,
                head,
                batch.segment,
                batch.dropped,
            )
        ]

    def _build_batch(self, now: float) -> _Batch:
        keys = list(self._pending_by_key)[:MAX_BATCH_ENTRIES]
        pending_by_key = {key: self._pending_by_key.pop(key) for key in keys}
        outcomes = tuple(self._outcomes[:MAX_BATCH_ENTRIES])
        del self._outcomes[:MAX_BATCH_ENTRIES]
        expired = [
            number
            for number, expires_at in self._segment_expires_at.items()
            if expires_at <= now
        ]
        return _Batch(
            claim_records.Segment(
                self._next_number,
                tuple(item.entry for item in pending_by_key.values()),
                outcomes,
            ),
            self._head_version,
            pending_by_key,
            tuple(expired[:_MAX_DROPPED_SEGMENTS]),
            set(),
        )

    def handle_written(
        self, now: float, applied: bool, version: int
    ) -> _Effects:
        """Handle the store's answer to a write."""
        self._failing_since = None
        if applied:
            return self._commit_batch(now, version)
        # The head row has changed; read who has written to the journal.
        self._phase = _Phase.UNREAD
        self._retry_at = now
        return self.tick(now)

    def handle_store_failure(self, now: float) -> _Effects:
        """Handle a read or a write that got no answer.

        The write may have been applied. The journal is read before the
        next write, and the token in its head row shows whether it was.
        """
        if self._failing_since is None:
            self._failing_since = now
        self._phase = _Phase.UNREAD
        self._retry_at = now + STORE_RETRY_INTERVAL_S
        return []

    def handle_read(
        self, now: float, stored: claim_records.StoredJournal
    ) -> _Effects:
        """Handle the journal as read from the store."""
        self._failing_since = None
        head = stored.head
        if head is not None and self._written_by_other_holder(head):
            self._phase = _Phase.SUPERSEDED
            result = self.refuse_pending()
            self._batch = None
            return result
        self._phase = _Phase.READY
        batch = self._batch
        if batch is None:
            return self._reload(now, stored)
        if head is not None and head.token in batch.tokens:
            return self._commit_batch(now, stored.head_version)
        if stored.head_version == batch.head_version:
            # Not applied yet. A write that is still in flight has the
            # same content and condition as its repetition, so at most one
            # of them is applied.
            return []
        return self._reload(now, stored)

    def _written_by_other_holder(
        self, head: claim_records.JournalHead
    ) -> bool:
        return head.epoch > self.epoch or (
            head.epoch == self.epoch and head.incarnation != self._incarnation
        )

    def _reload(
        self, now: float, stored: claim_records.StoredJournal
    ) -> _Effects:
        """Restart from a journal that another holder wrote last."""
        batch, self._batch = self._batch, None
        self._head_version = stored.head_version
        self._next_number = stored.head.next_number if stored.head else 1
        self._table.load_segments(now, stored.segments)
        for segment in stored.segments:
            self._record_segment(now, segment)
        for outcome in self._outcomes:
            self._table.record_outcome(now, outcome)
        pending_claims = list(self._pending_by_key.values())
        if batch is not None:
            # The condition of its writes can't hold any more, so none of
            # them will be applied; its claims are decided again.
            pending_claims += batch.pending_by_key.values()
            self._outcomes[:0] = batch.segment.outcomes
        self._pending_by_key.clear()
        result: _Effects = []
        for pending in pending_claims:
            if pending.refused:
                continue
            for attempt in (pending.entry.attempt, *pending.later_attempts):
                result += self.handle_claim(
                    now, dataclasses.replace(pending.entry, attempt=attempt)
                )
        return result

    def _record_segment(
        self, now: float, segment: claim_records.Segment
    ) -> None:
        run_ms = max((item.run_ms for item in segment.claims), default=0)
        self._segment_expires_at[segment.number] = (
            now + run_ms / 1000 + claim_table.OUTCOME_TTL_S
        )

    def _commit_batch(self, now: float, version: int) -> _Effects:
        """Grant the claims of a batch that is in the journal now."""
        batch, self._batch = self._batch, None
        assert batch is not None, "a write was confirmed without a batch"
        self._phase = _Phase.READY
        self._head_version = version
        self._next_number = batch.segment.number + 1
        self._record_segment(now, batch.segment)
        for number in batch.dropped:
            self._segment_expires_at.pop(number, None)
        result: _Effects = []
        for key, pending in batch.pending_by_key.items():
            assert self._table.find(now, key) is None, (
                "the request already has a claim"
            )
            self._table.add_claim(now, pending.entry)
            if pending.refused:
                self._release_claim(now, pending.entry)
                continue
            result.append(_build_ack(pending.entry.attempt, _Outcome.FIRST))
            host = pending.entry.attempt.host
            result += [
                _build_ack(attempt, _Outcome.RUNNING, host)
                for attempt in pending.later_attempts
            ]
        return result

    def _release_claim(
        self, now: float, entry: claim_records.ClaimEntry
    ) -> None:
        outcome = claim_records.OutcomeEntry(
            entry.team, entry.request_id, entry.attempt, _NOT_RUN, 0
        )
        self._table.record_outcome(now, outcome)
        self._queue_outcome(now, outcome)


def _refuse_attempts(pending: _PendingClaim) -> _Effects:
    if pending.refused:
        attempts = pending.later_attempts
    else:
        attempts = [pending.entry.attempt, *pending.later_attempts]
    pending.refused = True
    pending.later_attempts = []
    return [_build_ack(attempt, _Outcome.REFUSED) for attempt in attempts]


def _build_ack(
    attempt: claim_records.Attempt,
    outcome: claim_records.Outcome,
    host: str = "",
    status: int = 0,
) -> effects.Send:
    return effects.Send(
        attempt.host,
        claim_messages.ClaimAck(attempt.seq, outcome.value, host, status),
    )
