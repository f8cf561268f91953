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
from azurevane._internal.policy import runner_speeds
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs

logger = logging.getLogger(__name__)

# Runs of an image, or steps of a queue, after which its run times show how
# fast a runner is.
MIN_OBSERVATIONS = 8
# Interval at which the progress of a runner's tasks is counted, in seconds.
OBSERVATION_INTERVAL_S = 0.5
# Up to this ratio, either way, the declared times hold: what is left are the
# errors of single steps, and the time that reports take.
DECLARED_HOLDS_RATIO = 1.25
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
        ratio = self._ratio_by_key.get(job.behaviour_key(step), 1.0)
        return step.estimate_s * ratio

    def record_run(
        self,
        run: runs.Run,
        runner: runner_state.RunnerState,
        run_s: float,
        now: float,
        *,
        slow_among_others: bool,
    ) -> bool:
        """Count a run that ended after its whole work.

        Args:
            slow_among_others: whether its runner is slow and most aren't.

        Returns:
            Whether it counts.
        """
        step = run.step
        if not _is_comparable(run, runner):
            return False
        self._record_slowness(run, runner, run_s, now)
        if slow_among_others:
            return False
        key = run.name.occurrence, run.name.step
        self._record(run.job.job, step, key, step.estimate_s, run_s)
        return True

    def observe_runner(
        self, runner: runner_state.RunnerState, now: float
    ) -> None:
        """Count the progress of a runner's tasks for its speed."""
        if now - runner.speed_observed_at < OBSERVATION_INTERVAL_S:
            return
        runner.speed_observed_at = now
        for run in runner.run_by_task.values():
            if (
                run.phase is not runs.Phase.RUNNING
                or not run.acknowledged_at
                or not _is_comparable(run, runner)
            ):
                continue
            foretold_s = run.progress().foretold_run_s()
            if foretold_s is not None:
                self._record_slowness(run, runner, foretold_s, now)

    def _record_slowness(
        self,
        run: runs.Run,
        runner: runner_state.RunnerState,
        run_s: float,
        now: float,
    ) -> None:
        job = run.job.job
        expected_s = self.expected_run_s(job, run.step)
        key = job.behaviour_key(run.step)
        if not expected_s or self._table.observations(key) < MIN_OBSERVATIONS:
            return
        was_very_slow = runner.speed.slowness(now) > runner_speeds.VERY_SLOW
        step = run.name.job_id, run.name.occurrence, run.name.step
        runner.speed.record(step, run.name.index, run_s / expected_s, now)
        slowness = runner.speed.slowness(now)
        if (slowness > runner_speeds.VERY_SLOW) != was_very_slow:
            catalogue.emit(
                logger,
                events.RunnerSpeedChanged(
                    runner.id,
                    round(slowness, 2),
                    not was_very_slow,
                    runner.speed.observed_steps(),
                ),
            )

    def restore_job(
        self, job: job_models.Job, ratio_by_step: Sequence[float]
    ) -> None:
        """Count the runs of an ended job of which a row tells."""
        for index, (step, ratio) in enumerate(
            zip(job.steps, ratio_by_step, strict=False)
        ):
            if ratio:
                self._record(job, step, (0, index), 1.0, ratio)

    def _record(
        self,
        job: job_models.Job,
        step: job_models.Step,
        step_key: tuple[int, int],
        declared_s: float,
        run_s: float,
    ) -> None:
        key = job.behaviour_key(step)
        self._table.record(
            key,
            (job.id, *step_key),
            declared_s,
            run_s,
            alike=bool(step.image),
        )
        ratio = self._table.median(key)
        if 1 / DECLARED_HOLDS_RATIO <= ratio <= DECLARED_HOLDS_RATIO:
            ratio = 1.0
        used = self._ratio_by_key.get(key, 1.0)
        if abs(ratio - used) > MIN_CHANGE_RATIO * used:
            self._ratio_by_key[key] = ratio
            if len(self._ratio_by_key) > run_times.MAX_KEYS:
                del self._ratio_by_key[next(iter(self._ratio_by_key))]
            estimate = self._table.estimate(key)
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


def _is_comparable(run: runs.Run, runner: runner_state.RunnerState) -> bool:
    """Whether a run takes as long as others of its step do elsewhere.

    Gangs wait for their members, tasks far from their data or of reduced
    speed take longer, and copies are made of tasks that are long.
    """
    step = run.step
    remote = step.data_rack and step.data_rack != runner.entry.rack
    exempt = step.gang or step.long_running or step.fills
    return not (remote or exempt or run.pace < 100 or run.attempt > 1)


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
