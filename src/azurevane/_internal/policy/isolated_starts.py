"""Which runners may start suspected tasks, and what else they may start.

Bounds how much of a pool suspected tasks can take down: they start on few
runners at a time, those of one job on one runner.
"""

from collections.abc import Iterable
import dataclasses

from azurevane._internal.policy import crash_attribution

_Isolation = crash_attribution.Isolation


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerStarts:
    """What a runner is starting.

    Attributes:
        starting: whether any run there has just started.
        suspected_jobs: ids of jobs whose suspected tasks start there.
        exclusive_job: id of the job whose task starts there alone, or empty.
        reserved: whether the runner is kept for a task that starts alone.
    """

    runner_id: str
    starting: bool = False
    suspected_jobs: frozenset[str] = frozenset()
    exclusive_job: str = ""
    reserved: bool = False


class IsolatedStarts:
    """Decides about starts on the runners of a pool during one pass."""

    def __init__(self, runners: Iterable[RunnerStarts]) -> None:
        self._starts_by_runner = {
            runner.runner_id: runner for runner in runners
        }

    def admits(
        self, runner_id: str, job_id: str, isolation: _Isolation
    ) -> bool:
        """Whether a task may start on a runner."""
        starts = self._starts_by_runner[runner_id]
        if isolation is _Isolation.ALONE:
            return self._admits_alone(starts, job_id)
        if starts.exclusive_job or starts.reserved:
            return False
        if isolation is _Isolation.NONE:
            return True
        return self._admits_apart(starts, job_id)

    def _admits_alone(self, starts: RunnerStarts, job_id: str) -> bool:
        if starts.exclusive_job:
            return starts.exclusive_job == job_id
        if any(
            other.exclusive_job == job_id
            for other in self._starts_by_runner.values()
        ):
            return False
        if starts.starting:
            return False
        return starts.reserved or self.may_exclude_others()

    def _admits_apart(self, starts: RunnerStarts, job_id: str) -> bool:
        if job_id in starts.suspected_jobs:
            return True
        if self._starts_elsewhere(job_id):
            return False
        if starts.suspected_jobs:
            count = len(starts.suspected_jobs)
            return count < crash_attribution.MAX_SUSPECTS_PER_RUNNER
        shared = sum(
            bool(other.suspected_jobs)
            for other in self._starts_by_runner.values()
        )
        return shared < self._max_runners(_Isolation.APART)

    def _starts_elsewhere(self, job_id: str) -> bool:
        return any(
            job_id in other.suspected_jobs
            for other in self._starts_by_runner.values()
        )

    def may_exclude_others(self) -> bool:
        """Whether one more runner may be kept for a task that starts alone."""
        exclusive = sum(
            bool(other.exclusive_job) or other.reserved
            for other in self._starts_by_runner.values()
        )
        return exclusive < self._max_runners(_Isolation.ALONE)

    def _max_runners(self, isolation: _Isolation) -> int:
        return crash_attribution.max_runners(
            isolation, len(self._starts_by_runner)
        )

    def is_starting(self, runner_id: str, job_id: str) -> bool:
        """Whether isolated tasks of a job start on a runner already."""
        starts = self._starts_by_runner[runner_id]
        return job_id in (*starts.suspected_jobs, starts.exclusive_job)

    def suspect_count(self, runner_id: str) -> int:
        """Return how many suspected jobs' tasks start on a runner."""
        return len(self._starts_by_runner[runner_id].suspected_jobs)

    def record_start(
        self, runner_id: str, job_id: str, isolation: _Isolation
    ) -> None:
        """Record that a task starts on a runner."""
        starts = self._starts_by_runner[runner_id]
        suspected_jobs = starts.suspected_jobs
        exclusive_job = starts.exclusive_job
        if isolation is _Isolation.APART:
            suspected_jobs |= {job_id}
        elif isolation is _Isolation.ALONE:
            exclusive_job = job_id
        self._starts_by_runner[runner_id] = RunnerStarts(
            runner_id, True, suspected_jobs, exclusive_job
        )
