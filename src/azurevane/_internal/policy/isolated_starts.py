"""Which runners may start suspected tasks, and what else they may start.

Bounds how much of a pool suspected tasks can take down: they start on half of
its runners at most, those of one job on one runner at a time. A runner that
starts one starts nothing else meanwhile; what runs there goes on.
"""

from collections.abc import Iterable
import dataclasses

# Share of a pool's runners on which suspected tasks may start at a time. At
# least one runner is allowed.
MAX_ISOLATED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerStarts:
    """What a runner is starting.

    Attributes:
        latest_start_s: time since the latest start there.
        isolated_job: id of the job whose suspected task starts there, or
            empty.
        reserved: whether the runner is kept for a suspected task.
    """

    runner_id: str
    latest_start_s: float = float("inf")
    isolated_job: str = ""
    reserved: bool = False


class IsolatedStarts:
    """Decides about starts on the runners of a pool during one pass."""

    def __init__(self, runners: Iterable[RunnerStarts]) -> None:
        self._starts_by_runner = {
            runner.runner_id: runner for runner in runners
        }

    def admits(
        self, runner_id: str, job_id: str, isolated_s: float | None
    ) -> bool:
        """Whether a task may start on a runner.

        Args:
            isolated_s: time before and after its start for which nothing else
                may start there, None for a task that needn't start alone.
        """
        starts = self._starts_by_runner[runner_id]
        if isolated_s is None:
            return not starts.isolated_job and not starts.reserved
        if starts.isolated_job:
            return starts.isolated_job == job_id
        if starts.latest_start_s < isolated_s or self._starts_elsewhere(
            job_id
        ):
            return False
        return starts.reserved or self.may_isolate_another()

    def _starts_elsewhere(self, job_id: str) -> bool:
        return any(
            other.isolated_job == job_id
            for other in self._starts_by_runner.values()
        )

    def may_isolate_another(self) -> bool:
        """Whether one more runner may be kept for suspected tasks."""
        isolated = sum(
            bool(other.isolated_job) or other.reserved
            for other in self._starts_by_runner.values()
        )
        allowed = int(MAX_ISOLATED_SHARE * len(self._starts_by_runner))
        return isolated < max(allowed, 1)

    def may_reserve(self, runner_id: str) -> bool:
        """Whether a runner is free to be kept for a suspected task."""
        starts = self._starts_by_runner[runner_id]
        return not starts.isolated_job and not starts.reserved

    def record_reservation(self, runner_id: str) -> None:
        """Record that a runner is kept for a suspected task."""
        self._starts_by_runner[runner_id] = dataclasses.replace(
            self._starts_by_runner[runner_id], reserved=True
        )

    def record_start(
        self, runner_id: str, job_id: str, isolated_s: float | None
    ) -> None:
        """Record that a task starts on a runner."""
        starts = self._starts_by_runner[runner_id]
        self._starts_by_runner[runner_id] = dataclasses.replace(
            starts,
            latest_start_s=0.0,
            isolated_job=starts.isolated_job if isolated_s is None else job_id,
        )
