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
# The time of a crash is known if it is known this well. Otherwise nothing can
# be said of crashes at the same time as it, and the other way round.
MAX_KNOWN_TIME_S = 0.2
# So many runners that crash at once, and at least this share of all, suffer
# from an outage, which makes no task suspected.
MIN_OUTAGE_RUNNERS = 3
OUTAGE_SHARE = 0.25
# So many other runners of a pool that crash at the same time, and at least
# this share of it, leave the cause undecided. In a large pool several tasks
# may crash their runners at the same time.
MIN_COINCIDING = 1
COINCIDING_SHARE = 0.1
# A task on trial has crashed runners before, so it takes more to excuse it.
MIN_COINCIDING_IN_TRIAL = 2
# A task is given up after so many crashes in succession if only its job was
# starting on the last runner.
MAX_CRASHES_ALONE = 3
# The same, whatever else was starting there.
MAX_CRASHES = 4
# The same with crashes whose cause is undecided, if the last one was decided,
# and in any case.
MAX_UNCERTAIN_CRASHES_ALONE = 4
MAX_UNCERTAIN_CRASHES = 5


class Cause(enum.Enum):
    """Cause of a crash; the values are logged."""

    TASK = "task"
    # Other runners of its pool crashed at the same time.
    UNCERTAIN = "uncertain"
    OUTAGE = "outage"


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCrash:
    """Crash of a runner; times are monotonic seconds.

    Attributes:
        pool: pool of the runner.
        earliest: since when it may have crashed.
        latest: when it had certainly crashed.
        starting_jobs: ids of the jobs whose tasks had just started there.
        suspected: whether one of these tasks was suspected before.
    """

    runner_id: str
    pool: str
    earliest: float
    latest: float
    starting_jobs: frozenset[str]
    suspected: bool = False

    @property
    def time_known(self) -> bool:
        """Whether the time of the crash is known well."""
        return self.latest - self.earliest <= MAX_KNOWN_TIME_S

    def may_coincide(self, other: "RunnerCrash") -> bool:
        """Whether both runners may have crashed at the same time.

        If no task was starting on one of them, something else crashes
        runners, so that its time needn't be known well.
        """
        comparable = (
            self.time_known == other.time_known or not other.starting_jobs
        )
        return (
            comparable
            and self.earliest <= other.latest + SIMULTANEITY_S
            and other.earliest <= self.latest + SIMULTANEITY_S
        )


def coinciding_crashes(
    crash: RunnerCrash, others: Iterable[RunnerCrash]
) -> list[RunnerCrash]:
    """Return the crashes of other runners that may be at the same time."""
    return [
        other
        for other in others
        if other.runner_id != crash.runner_id and crash.may_coincide(other)
    ]


def find_cause(
    job_id: str,
    crash: RunnerCrash,
    coinciding: Iterable[RunnerCrash],
    *,
    runner_count: int,
    pool_size: int,
    on_trial: bool = False,
) -> Cause:
    """Return the cause of a crash, as far as it concerns a job.

    Args:
        job_id: job whose tasks had just started on the runner.
        coinciding: crashes of other runners at the same time.
        runner_count: number of runners of the site.
        pool_size: number of runners of the crashed runner's pool.
        on_trial: whether only that job was starting, after earlier crashes.
    """
    others = [c for c in coinciding if job_id not in c.starting_jobs]
    outage_at = max(MIN_OUTAGE_RUNNERS, OUTAGE_SHARE * runner_count)
    if len(others) + 1 >= outage_at:
        return Cause.OUTAGE
    unexplained = sum(
        not other.starting_jobs
        or (other.pool == crash.pool and not other.suspected)
        for other in others
    )
    excused_at = MIN_COINCIDING_IN_TRIAL if on_trial else MIN_COINCIDING
    if unexplained >= max(excused_at, COINCIDING_SHARE * pool_size):
        return Cause.UNCERTAIN
    return Cause.TASK


@dataclasses.dataclass(frozen=True, slots=True)
class CrashHistory:
    """Runs of a task that crashes ended, since one that settled.

    The members of a gang share one history, as they share their attempts.

    Attributes:
        attempts: attempts whose crash no other crash coincided with.
        uncertain_attempts: attempts whose crash others coincided with.
        alone: whether only the task's job was starting at the last crash, and
            its cause was decided.
        prompt: whether the last crash may have come ``PROMPT_S`` after the
            start.
    """

    attempts: frozenset[int] = frozenset()
    uncertain_attempts: frozenset[int] = frozenset()
    alone: bool = False
    prompt: bool = True

    @property
    def all_attempts(self) -> frozenset[int]:
        """Attempts that ended in a crash."""
        return self.attempts | self.uncertain_attempts

    @property
    def suspected(self) -> bool:
        """Whether the task may have crashed a runner."""
        return bool(self.all_attempts)

    @property
    def needs_trial(self) -> bool:
        """Whether the task is to start alone, as it is likely at fault."""
        return (
            len(self.attempts) >= MAX_CRASHES_ALONE - 1
            or len(self.all_attempts) >= MAX_UNCERTAIN_CRASHES_ALONE - 1
        )

    @property
    def exhausted(self) -> bool:
        """Whether the task is given up."""
        count = len(self.attempts)
        if self.alone and (
            count >= MAX_CRASHES_ALONE
            or len(self.all_attempts) >= MAX_UNCERTAIN_CRASHES_ALONE
        ):
            return True
        return (
            count >= MAX_CRASHES
            or len(self.all_attempts) >= MAX_UNCERTAIN_CRASHES
        )

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
        prompt = heard_s is None or heard_s < PROMPT_S
        if cause is Cause.OUTAGE:
            return self
        if cause is Cause.UNCERTAIN:
            return dataclasses.replace(
                self,
                uncertain_attempts=self.uncertain_attempts | {attempt},
                alone=False,
                prompt=prompt,
            )
        return dataclasses.replace(
            self,
            attempts=self.attempts | {attempt},
            alone=alone,
            prompt=prompt,
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
            self.attempts - {attempt},
            self.uncertain_attempts - {attempt},
        )
