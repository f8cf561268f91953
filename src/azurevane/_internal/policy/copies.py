"""Decides when a task gets a second run beside a slow one.

Designed for steps of a few short tasks of which some run many times as long
as the others, so that one task decides when the job ends. A copy costs what
the slower of the two runs has used, so it needs evidence: progress that
foretells a late end or, where progress isn't reported, a running time far
beyond that of the other tasks of the step. Whether copies of an image's tasks
win at all is learned from their outcomes.
"""

from collections.abc import Sequence
import dataclasses
import enum
import math
import statistics

from azurevane._internal.policy import run_progress

# Known run times of other tasks of the step that count for more than the
# expected run time. Two suffice, since tasks of a step differ by less than
# SLOW_RATIO.
MIN_KNOWN_SIBLINGS = 2
# A run is slow beyond this multiple of the typical run time. Tasks of a step
# differ by up to half.
SLOW_RATIO = 1.6
# The same where only an expected run time is known, which may be half or
# twice the actual one.
UNCERTAIN_SLOW_RATIO = 3.0
# Share of a run that a copy must save, since its own time is uncertain.
MIN_GAIN_RATIO = 0.25
# Time between the decision and the beginning of a run, in seconds.
START_DELAY_S = 0.1
# Share of copies that must have won for more to start, and the outcomes that
# are assumed before. Five lost copies in a row stop further ones.
MIN_WON_SHARE = 0.25
PRIOR_WON = 2.0
PRIOR_LOST = 2.0
# Each outcome counts this much less than the next one.
OUTCOME_DECAY = 0.95
# While copies are useless, one is tried at this interval, in seconds, as
# tasks may become slow for another reason.
TRIAL_INTERVAL_S = 10.0
# Images and queues of which outcomes are kept.
MAX_KEYS = 256
# Copies of one run after which no further one is started.
MAX_COPIES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TypicalRun:
    """Run time of a task elsewhere, and beyond which multiple one is slow."""

    run_s: float
    slow_ratio: float


class CopyReason(enum.Enum):
    """Why a copy is started; the values are logged and label a metric."""

    PROGRESS = "progress foretells a late end"
    RUNNING_TIME = "runs longer than others"


@dataclasses.dataclass(frozen=True, slots=True)
class CopyDecision:
    """A copy to start, and what it was decided on.

    Attributes:
        remaining_s: foretold rest of the slow run, or None if unknown.
    """

    reason: CopyReason
    running_s: float
    remaining_s: float | None
    typical: TypicalRun


def typical_run(
    runner_id: str,
    run_s_of_siblings: Sequence[tuple[str, float]],
    expected_s: float,
) -> TypicalRun:
    """Return how long a task of the step runs on another runner.

    Args:
        runner_id: runner of the run in question. Since it may be slow, tasks
            on it count only where there are no others, and as long as they
            are plausible.
        run_s_of_siblings: runners and run times of tasks of the step,
            measured or foretold.
        expected_s: expected run time of a task of the step.
    """
    all_s = [run_s for _, run_s in run_s_of_siblings]
    elsewhere_s = [
        run_s for other, run_s in run_s_of_siblings if other != runner_id
    ]
    if len(elsewhere_s) >= MIN_KNOWN_SIBLINGS:
        return TypicalRun(statistics.median(elsewhere_s), SLOW_RATIO)
    if len(all_s) >= MIN_KNOWN_SIBLINGS:
        typical_s = statistics.median(all_s)
        if typical_s <= UNCERTAIN_SLOW_RATIO * expected_s:
            return TypicalRun(typical_s, SLOW_RATIO)
    return TypicalRun(expected_s, UNCERTAIN_SLOW_RATIO)


def decide_copy(
    run: run_progress.RunProgress,
    typical: TypicalRun,
    last_useful_at: float,
    now: float,
) -> CopyDecision | None:
    """Return the copy that a run should get, or None.

    Args:
        last_useful_at: time after which the end of the job is of no use.
    """
    copy_s = START_DELAY_S + typical.run_s
    if now + copy_s > last_useful_at:
        return None
    running_s = now - run.observed_from
    slow_after_s = typical.slow_ratio * typical.run_s
    foretold_end = run.foretold_end()
    if foretold_end is None:
        if running_s <= slow_after_s:
            return None
        return CopyDecision(CopyReason.RUNNING_TIME, running_s, None, typical)
    remaining_s = foretold_end - now
    foretold_run_s = run.foretold_run_s() or 0.0
    gain_s = remaining_s - copy_s
    slow = foretold_run_s > slow_after_s
    if not slow or gain_s < MIN_GAIN_RATIO * typical.run_s:
        return None
    return CopyDecision(CopyReason.PROGRESS, running_s, remaining_s, typical)


@dataclasses.dataclass(slots=True)
class _Record:
    """Outcomes of the copies of tasks that behave alike.

    Attributes:
        pending: copies that had no outcome yet.
    """

    won: float = 0.0
    lost: float = 0.0
    pending: int = 0
    latest_trial_at: float = -math.inf


class CopyOutcomes:
    """Learns whether a fresh run on another runner is faster at all.

    A task may take long because of its runner, or because of its own work. In
    the latter case copies are useless, and only their outcomes show it.
    """

    def __init__(self) -> None:
        self._record_by_key: dict[str, _Record] = {}

    def record(self, key: str, *, won: bool) -> None:
        """Count a copy that ended first, or that ran a whole run in vain."""
        # The keys are kept in the order of their latest outcome.
        record = self._record_by_key.pop(key, None) or _Record()
        self._record_by_key[key] = record
        if len(self._record_by_key) > MAX_KEYS:
            del self._record_by_key[next(iter(self._record_by_key))]
        record.won = OUTCOME_DECAY * record.won + won
        record.pending = max(record.pending - 1, 0)
        record.lost = OUTCOME_DECAY * record.lost + (not won)

    def may_start(self, key: str, now: float) -> bool:
        """Whether a copy of a task on a sound runner may start now."""
        record = self._record_by_key.get(key)
        if record is None:
            return True
        won = record.won + PRIOR_WON
        all_copies = won + record.lost + PRIOR_LOST + record.pending
        if won / all_copies >= MIN_WON_SHARE:
            return True
        return now >= record.latest_trial_at + TRIAL_INTERVAL_S

    def record_start(self, key: str, now: float) -> None:
        """Count the start of such a copy."""
        record = self._record_by_key.setdefault(key, _Record())
        if now >= record.latest_trial_at + TRIAL_INTERVAL_S:
            # Copies that were dropped have no outcome.
            record.pending = 0
        record.latest_trial_at = now
        record.pending += 1
