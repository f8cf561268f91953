"""Learns run times from the runs that end, and keeps them over a takeover.

The ratios of a job's steps are stored in the row that is written when the job
ends, so that the next leader, which reads these rows anyway, has them too.
"""

from collections.abc import Callable, Sequence
import logging
import statistics

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import run_times
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs

logger = logging.getLogger(__name__)

# Change of a ratio after which the remaining times of jobs are computed anew.
# Smaller ones hardly change an order.
MIN_CHANGE_RATIO = 0.1


class RunTimeLearner:
    """Run times of a site's images and queues.

    Args:
        on_changed: called when expected run times have changed.
    """

    def __init__(self, on_changed: Callable[[], None]) -> None:
        self._table = run_times.RunTimeTable()
        self._on_changed = on_changed
        # Ratio by which the expected run times of a key are computed.
        self._ratio_by_key: dict[str, float] = {}

    def expected_run_s(
        self, job: job_models.Job, step: job_models.Step
    ) -> float:
        """Return the expected run time of a step's task, in seconds."""
        ratio = self._ratio_by_key.get(_key(job, step), 1.0)
        return step.estimate_s * ratio

    def estimate(
        self, job: job_models.Job, step: job_models.Step
    ) -> run_times.RunTimeEstimate:
        """Return what is known of the run times of a step's tasks."""
        return self._table.estimate(_key(job, step))

    def record_run(
        self, run: runs.Run, runner: runner_state.RunnerState, run_s: float
    ) -> bool:
        """Count a run that ended after its whole work.

        Returns:
            Whether it counts. Gangs wait for their members, and tasks far
            from their data or of reduced speed take longer.
        """
        step = run.step
        remote = step.data_rack and step.data_rack != runner.entry.rack
        if remote or step.gang or step.long_running or run.pace < 100:
            return False
        self._record(run.job.job, step, step.estimate_s, run_s)
        return True

    def restore_job(
        self, job: job_models.Job, ratio_by_step: Sequence[float]
    ) -> None:
        """Count the runs of an ended job of which a row tells."""
        for step, ratio in zip(job.steps, ratio_by_step, strict=False):
            if ratio:
                self._record(job, step, 1.0, ratio)

    def _record(
        self,
        job: job_models.Job,
        step: job_models.Step,
        declared_s: float,
        run_s: float,
    ) -> None:
        key = _key(job, step)
        self._table.record(key, declared_s, run_s)
        estimate = self._table.estimate(key)
        ratio = estimate.median
        used = self._ratio_by_key.get(key, 1.0)
        if abs(ratio - used) > MIN_CHANGE_RATIO * used:
            self._ratio_by_key[key] = ratio
            if len(self._ratio_by_key) > run_times.MAX_KEYS:
                del self._ratio_by_key[next(iter(self._ratio_by_key))]
            catalogue.emit(
                logger,
                events.RunTimeLearned(
                    key,
                    round(ratio, 3),
                    round(used, 3),
                    round(estimate.spread, 3),
                    round(estimate.tail_share, 3),
                    estimate.runs,
                ),
            )
            self._on_changed()


def _key(job: job_models.Job, step: job_models.Step) -> str:
    return f"image {step.image}" if step.image else f"queue {job.queue}"


def ratio_by_step(state: runs.JobState) -> list[float]:
    """Return the ratio of actual to declared time of each step of a job.

    It is 0 for a step of which no whole run was observed.
    """
    run_s_by_step: dict[int, list[float]] = {}
    for (_, index), ended in state.run_s_by_step.items():
        run_s_by_step.setdefault(index, []).extend(run_s for _, run_s in ended)
    if not run_s_by_step:
        return []
    return [
        round(statistics.median(run_s_by_step[index]) / step.estimate_s, 2)
        if index in run_s_by_step and step.estimate_s
        else 0.0
        for index, step in enumerate(state.job.steps)
    ]
