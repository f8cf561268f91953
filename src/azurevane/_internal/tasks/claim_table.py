"""Records of the claims of one seat, and the outcome that each implies."""

import dataclasses

from azurevane._internal.models import claim_records
from azurevane._internal.models import verdict as verdict_models

# How long the outcome of a request is kept.
OUTCOME_TTL_S = 600.0

_Outcome = claim_records.Outcome


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """A claim that is in the journal.

    Attributes:
        running_until: monotonic seconds until which its attempt may be
            running.
        expires_at: monotonic seconds at which the record expires.
        verdict: how its attempt ended; empty until that is known.
    """

    entry: claim_records.ClaimEntry
    running_until: float
    expires_at: float
    verdict: str = ""
    status: int = 0


class ClaimTable:
    """Owns the claim records of one seat."""

    def __init__(self) -> None:
        self._record_by_key: dict[claim_records.RequestKey, ClaimRecord] = {}

    def __len__(self) -> int:
        """Return the number of claim records."""
        return len(self._record_by_key)

    def load_segments(
        self, now: float, segments: tuple[claim_records.Segment, ...]
    ) -> None:
        """Replace all records by the contents of a journal.

        A claim without an outcome may have run. The age of records isn't
        known, so each is kept for as long as a new one.
        """
        self._record_by_key.clear()
        for segment in segments:
            for entry in segment.claims:
                self.add_claim(now, entry)
                self._record_by_key[entry.key].running_until = now
            for outcome in segment.outcomes:
                self.record_outcome(now, outcome)

    def add_claim(self, now: float, entry: claim_records.ClaimEntry) -> None:
        """Add a claim that was written to the journal."""
        running_until = now + entry.run_ms / 1000
        self._record_by_key[entry.key] = ClaimRecord(
            entry, running_until, running_until + OUTCOME_TTL_S
        )

    def record_outcome(
        self, now: float, outcome: claim_records.OutcomeEntry
    ) -> bool:
        """Record how an attempt ended.

        Returns:
            False if the attempt has no claim here or already has an
            outcome.
        """
        record = self._record_by_key.get(outcome.key)
        if record is None or record.entry.attempt != outcome.attempt:
            return False
        if record.verdict:
            return False
        if outcome.verdict == verdict_models.Verdict.NOT_RUN.value:
            # The claim is released: the request may be claimed again.
            del self._record_by_key[outcome.key]
            return True
        record.verdict = outcome.verdict
        record.status = outcome.status
        record.expires_at = max(record.expires_at, now + OUTCOME_TTL_S)
        return True

    def find(
        self, now: float, key: claim_records.RequestKey
    ) -> ClaimRecord | None:
        """Return the record of a request, unless it has expired."""
        record = self._record_by_key.get(key)
        if record is not None and record.expires_at <= now:
            del self._record_by_key[key]
            return None
        return record

    def expire(self, now: float) -> None:
        """Remove expired records."""
        expired = [
            key
            for key, record in self._record_by_key.items()
            if record.expires_at <= now
        ]
        for key in expired:
            del self._record_by_key[key]


def outcome_for_attempt(
    now: float,
    record: ClaimRecord,
    digest: str,
    attempt: claim_records.Attempt,
) -> claim_records.Outcome:
    """Return the outcome for an attempt at a request that has a record."""
    if record.entry.digest != digest:
        return _Outcome.MISMATCH
    if record.verdict == verdict_models.Verdict.RAN.value:
        return _Outcome.RAN
    if record.verdict:
        return _Outcome.MAY_HAVE_RUN
    if record.entry.attempt == attempt:
        # The same attempt claims again because the answer was lost.
        return _Outcome.FIRST
    if now < record.running_until:
        return _Outcome.RUNNING
    return _Outcome.MAY_HAVE_RUN
