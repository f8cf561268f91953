"""Decides which tasks are at fault when a runner crashes.

A crash ends all runs of a runner. Only those that had just started there are
suspected. The likeliest of them, and those that are suspected twice, start
while nothing else starts on their runner, so that a crash then is evidence
against them alone; the third crash in succession gives a task up. A run that
goes on for ``SETTLING_S`` clears its task. Runners that crash at the same
time have another cause, but for a job that was starting on all of them.
"""

from collections.abc import Iterable
import dataclasses
import enum

# A run that has been at work for this long doesn't crash its runner by its
# start.
SETTLING_S = 0.25
# Most tasks that crash their runner do it within this time. A crash leaves
# too many other suspects to isolate them all.
PROMPT_S = 0.1
# Crashes that lie no further apart may have one cause.
SIMULTANEITY_S = 0.05
# So many runners that crash at once, and at least this share of all, suffer
# from an outage, which makes no task suspected.
MIN_OUTAGE_RUNNERS = 3
OUTAGE_SHARE = 0.25
# A task is given up after so many crashes in succession if only its job was
# starting on the last runner.
MAX_CRASHES_ALONE = 3
# The same, whatever else was starting there.
MAX_CRASHES = 4
# The same if others crashed at the same time as some of these runners. The
# task has then crashed one by itself at least.
MAX_UNCERTAIN_CRASHES_ALONE = 4
MAX_UNCERTAIN_CRASHES = 5
# A task that started alone after earlier crashes isn't excused by fewer
# crashes of other runners at the same time.
MIN_COINCIDING_IN_TRIAL = 2


class Cause(enum.Enum):
    """Cause of a crash; the values are logged."""

    TASK = "task"
    # Other runners crashed at the same time.
    UNCERTAIN = "uncertain"
    OUTAGE = "outage"


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCrash:
    """Crash of a runner; times are monotonic seconds.

    Attributes:
        earliest: since when it may have crashed.
        latest: when it had certainly crashed.
        starting_jobs: ids of the jobs whose tasks had just started there.
        suspected: whether one of these tasks was suspected before.
    """

    runner_id: str
    earliest: float
    latest: float
    starting_jobs: frozenset[str]
    suspected: bool = False

    def may_coincide(self, other: "RunnerCrash") -> bool:
        """Whether both runners may have crashed at the same time."""
        return (
            self.earliest <= other.latest + SIMULTANEITY_S
            and other.earliest <= self.latest + SIMULTANEITY_S
        )


def coinciding_crashes(
    crash: RunnerCrash, others: Iterable[RunnerCrash]
) -> list[RunnerCrash]:
    """Return the crashes at the same time that no suspected task explains."""
    return [
        other
        for other in others
        if other.runner_id != crash.runner_id
        and not other.suspected
        and crash.may_coincide(other)
    ]


def find_cause(
    job_id: str,
    crash: RunnerCrash,
    coinciding: list[RunnerCrash],
    runner_count: int,
    *,
    on_trial: bool = False,
) -> Cause:
    """Return the cause of a crash, as far as it concerns a job.

    Args:
        job_id: job whose tasks had just started on the runner.
        coinciding: unexplained crashes of other runners at the same time.
        runner_count: number of runners of the site.
        on_trial: whether only that job was starting, after earlier crashes.
    """
    if all(job_id in other.starting_jobs for other in coinciding):
        return Cause.TASK
    if on_trial and len(coinciding) < MIN_COINCIDING_IN_TRIAL:
        return Cause.TASK
    crashed = len(coinciding) + 1
    if crashed >= max(MIN_OUTAGE_RUNNERS, OUTAGE_SHARE * runner_count):
        return Cause.OUTAGE
    return Cause.UNCERTAIN


@dataclasses.dataclass(frozen=True, slots=True)
class CrashHistory:
    """Runs of a task that crashes ended, since one that settled.

    The members of a gang share one history, as they share their attempts.

    Attributes:
        attempts: attempts whose crash no other crash coincided with.
        uncertain_attempts: attempts whose crash others coincided with.
        alone: whether only the task's job was starting at the last crash.
        prompt: whether the last crash may have come ``PROMPT_S`` after the
            start.
    """

    attempts: frozenset[int] = frozenset()
    uncertain_attempts: frozenset[int] = frozenset()
    alone: bool = False
    prompt: bool = True

    @property
    def suspected(self) -> bool:
        """Whether the task may have crashed a runner."""
        return bool(self.attempts or self.uncertain_attempts)

    @property
    def _total(self) -> int:
        return len(self.attempts) + len(self.uncertain_attempts)

    @property
    def needs_trial(self) -> bool:
        """Whether the task is to start alone, as it is likely at fault."""
        return (
            len(self.attempts) >= MAX_CRASHES_ALONE - 1
            or self._total >= MAX_UNCERTAIN_CRASHES_ALONE - 1
        )

    @property
    def exhausted(self) -> bool:
        """Whether the task is given up."""
        count = len(self.attempts)
        if not count:
            return False
        if self.alone and (
            count >= MAX_CRASHES_ALONE
            or self._total >= MAX_UNCERTAIN_CRASHES_ALONE
        ):
            return True
        return count >= MAX_CRASHES or self._total >= MAX_UNCERTAIN_CRASHES

    def with_crash(
        self,
        attempt: int,
        cause: Cause,
        *,
        alone: bool,
        heard_s: float | None,
    ) -> "CrashHistory":
        """Return the history with a further crash.

        Args:
            heard_s: time after the start for which the runner was heard
                from, in seconds; None if it isn't known.
        """
        if cause is Cause.OUTAGE:
            return self
        prompt = heard_s is None or heard_s < PROMPT_S
        if cause is Cause.TASK:
            return CrashHistory(
                self.attempts | {attempt},
                self.uncertain_attempts,
                alone,
                prompt,
            )
        return CrashHistory(
            self.attempts, self.uncertain_attempts | {attempt}, False, prompt
        )

    @property
    def isolated_s(self) -> float | None:
        """Time for which nothing else starts beside the task, in seconds.

        None if the task needn't start alone.
        """
        if self.needs_trial:
            return SETTLING_S
        return PROMPT_S if self.suspected and self.prompt else None

    def without(self, attempt: int) -> "CrashHistory":
        """Return the history without an attempt that didn't crash."""
        return CrashHistory(
            self.attempts - {attempt}, self.uncertain_attempts - {attempt}
        )
