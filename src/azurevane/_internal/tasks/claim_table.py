"""The claims that a seat knows of, and what it says about each."""

import dataclasses

from azurevane._internal.models import claim_records
from azurevane._internal.models import verdict as verdict_models

# How long the outcome of a request is remembered.
OUTCOME_TTL_S = 600.0

_Outcome = claim_records.Outcome


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """A claim that stands in the journal.

    Attributes:
        verdict: how its attempt ended; empty until that is known.
        running_until: monotonic seconds until which it may be running.
        keep_until: monotonic seconds.
    """

    entry: claim_records.ClaimEntry
    running_until: float
    keep_until: float
    verdict: str = ""
    status: int = 0


class ClaimTable:
    """Owns the records of one seat."""

    def __init__(self) -> None:
        self._record_by_key: dict[claim_records.RequestKey, ClaimRecord] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_key)

    def load_segments(
        self, now: float, segments: tuple[claim_records.Segment, ...]
    ) -> None:
        """Replace everything by what a journal says.

        A claim without an outcome may have run. Ages aren't known, so
        every record is kept as if it were new.
        """
        self._record_by_key.clear()
        for segment in segments:
            for entry in segment.claims:
                self.add_claim(now, entry)
                self._record_by_key[entry.key].running_until = now
            for outcome in segment.outcomes:
                self.record_outcome(now, outcome)

    def add_claim(self, now: float, entry: claim_records.ClaimEntry) -> None:
        """Note a claim that was written to the journal."""
        until = now + entry.run_ms / 1000
        self._record_by_key[entry.key] = ClaimRecord(
            entry, until, until + OUTCOME_TTL_S
        )

    def record_outcome(
        self, now: float, outcome: claim_records.OutcomeEntry
    ) -> bool:
        """Note how an attempt ended; False if it isn't the claim's."""
        record = self._record_by_key.get(outcome.key)
        if record is None or record.entry.attempt != outcome.attempt:
            return False
        if record.verdict:
            return False
        if outcome.verdict == verdict_models.Verdict.NOT_RUN.value:
            # Given back: the request may be claimed again.
            del self._record_by_key[outcome.key]
            return True
        record.verdict = outcome.verdict
        record.status = outcome.status
        record.keep_until = max(record.keep_until, now + OUTCOME_TTL_S)
        return True

    def find(
        self, now: float, key: claim_records.RequestKey
    ) -> ClaimRecord | None:
        """Return the record of a request, unless its time is over."""
        record = self._record_by_key.get(key)
        if record is not None and record.keep_until <= now:
            del self._record_by_key[key]
            return None
        return record

    def expire(self, now: float) -> None:
        """Forget the records whose time is over."""
        expired = [
            key
            for key, record in self._record_by_key.items()
            if record.keep_until <= now
        ]
        for key in expired:
            del self._record_by_key[key]


def outcome_for_attempt(
    now: float,
    record: ClaimRecord,
    digest: str,
    attempt: claim_records.Attempt,
) -> claim_records.Outcome:
    """Return what an attempt that claims a known request is told."""
    if record.entry.digest != digest:
        return _Outcome.MISMATCH
    if record.verdict == verdict_models.Verdict.RAN.value:
        return _Outcome.RAN
    if record.verdict:
        return _Outcome.MAY_HAVE_RUN
    if record.entry.attempt == attempt:
        # The same attempt asks again, because the answer was lost.
        return _Outcome.FIRST
    if now < record.running_until:
        return _Outcome.RUNNING
    return _Outcome.MAY_HAVE_RUN
