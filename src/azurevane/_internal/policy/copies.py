"""Decides when a task gets a second run beside a slow one.

Designed for steps of a few short tasks of which some run many times as long
as the others, so that one task decides when the job ends. A copy costs what
the slower of the two runs has used, so it needs evidence: progress that
foretells a late end or, where progress isn't reported, a running time far
beyond that of the other tasks of the step.
"""

from collections.abc import Sequence
import dataclasses
import enum
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
    if foretold_end is None or foretold_end < now:
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
