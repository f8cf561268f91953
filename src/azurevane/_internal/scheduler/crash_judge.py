"""Finds out which tasks may have crashed a runner, and remembers them."""

from collections.abc import Collection, Iterable, Mapping
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import crash_events as events
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.policy import crash_attribution
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs as runs_module
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# An idle runner isn't polled. The list of hosts shows its crash within this
# time.
IDLE_CRASH_KNOWN_WITHIN_S = 1.0
# Crashes are compared with others of this time, as silent runners are known
# to have crashed only when their lease has expired.
REMEMBERED_S = 10.0


class CrashJudge:
    """Keeps the crash histories of tasks; times are monotonic seconds.

    The histories are stored with the jobs' states, so that they are known to
    the next leader.
    """

    def __init__(self, scheduler_state: state_module.SchedulerState) -> None:
        self._scheduler_state = scheduler_state
        self._recent: list[crash_attribution.RunnerCrash] = []

    def judge_runners(
        self, runners: Collection[runner_state.RunnerState], now: float
    ) -> None:
        """Judge the crashes of runners that became known together.

        Their runs must not have been released yet. A runner that leaves as
        planned hasn't crashed.
        """
        crashed = [
            runner
            for runner in runners
            if not runner.entry.draining
            # An idle one may have crashed under the previous leader.
            and (runner.run_by_task or runner.reached)
        ]
        crashes = [_describe_crash(runner, now) for runner in crashed]
        self._remember(crashes, now)
        for runner, crash in zip(crashed, crashes, strict=True):
            if not runner.run_by_task:
                continue
            starting = [
                (run, runner.heard_s(run))
                for run in runner.run_by_task.values()
                if _may_be_starting(runner, run)
            ]
            self._judge(crash, starting, len(runner.run_by_task), now)

    def judge_unregistered(
        self,
        runs_by_runner: Mapping[str, Collection[runs_module.Run]],
        now: float,
    ) -> None:
        """Judge the losses of runners that never registered with this leader.

        Nothing is known of the time of a crash, nor of the ages of the runs.
        """
        crashes = {
            runner_id: crash_attribution.RunnerCrash(
                runner_id, "", 0.0, now, _job_ids(runs), _any_suspected(runs)
            )
            for runner_id, runs in runs_by_runner.items()
        }
        self._remember(crashes.values(), now)
        for runner_id, crash in crashes.items():
            runs = runs_by_runner[runner_id]
            self._judge(crash, [(run, None) for run in runs], len(runs), now)

    def judge_missing_run(self, run: runs_module.Run) -> None:
        """Suspect a run of a previous leader that its runner doesn't know.

        The runner started anew after the job's submission, so it may have
        crashed under the run.
        """
        self._suspect(
            run, None, crash_attribution.Cause.UNCERTAIN, alone=False
        )

    def _remember(
        self, crashes: Iterable[crash_attribution.RunnerCrash], now: float
    ) -> None:
        self._recent = [
            crash
            for crash in self._recent
            if now - crash.latest < REMEMBERED_S
        ]
        self._recent += crashes

    def _judge(
        self,
        crash: crash_attribution.RunnerCrash,
        starting: list[tuple[runs_module.Run, float | None]],
        run_count: int,
        now: float,
    ) -> None:
        runners = self._scheduler_state.runner_by_id.values()
        recent_ids = {other.runner_id for other in self._recent}
        # Of these it isn't known yet that they have ended.
        reset = [
            _describe_crash(runner, now)
            for runner in runners
            if runner.run_by_task
            and runner.was_reset_before(now)
            and runner.id not in recent_ids
        ]
        coinciding = crash_attribution.coinciding_crashes(
            crash, [*self._recent, *reset]
        )
        alone = len(crash.starting_jobs) == 1
        on_trial = alone and any(
            run.job.crash_history(run).needs_trial for run, _ in starting
        )
        cause_by_job = {
            job_id: crash_attribution.find_cause(
                job_id,
                crash,
                coinciding,
                runner_count=len(runners),
                pool_size=sum(
                    runner.entry.service == crash.pool for runner in runners
                ),
                on_trial=on_trial,
            )
            for job_id in crash.starting_jobs
        }
        catalogue.emit(
            logger,
            events.RunnerCrashJudged(
                crash.runner_id,
                ",".join(sorted({c.value for c in cause_by_job.values()})),
                round(now - crash.latest, 3),
                round(crash.latest - crash.earliest, 3),
                run_count,
                len(starting),
                len(crash.starting_jobs),
                len(coinciding),
            ),
        )
        for run, heard_s in starting:
            cause = cause_by_job[run.job.job.id]
            if cause is crash_attribution.Cause.OUTAGE:
                continue
            if run.inherited:
                # Under the previous leader it may have been at work for long.
                cause = crash_attribution.Cause.UNCERTAIN
            self._suspect(run, heard_s, cause, alone=alone)

    def _suspect(
        self,
        run: runs_module.Run,
        heard_s: float | None,
        cause: crash_attribution.Cause,
        *,
        alone: bool,
    ) -> None:
        job = run.job
        if job.status.ended:
            return
        history = job.crash_history(run).with_crash(
            run.attempt, cause, alone=alone, heard_s=heard_s
        )
        job.set_crash_history(run, history)
        runner = self._scheduler_state.runner_by_id.get(run.runner_id)
        if runner is not None:
            run.crashed_at.add(runner.entry.address)
        self._scheduler_state.mark_job_changed(job)
        catalogue.emit(
            logger,
            events.TaskSuspected(
                str(run.name),
                run.attempt,
                run.runner_id,
                cause.value,
                None if heard_s is None else round(heard_s, 3),
                len(history.attempts),
                len(history.uncertain_attempts),
                alone,
                history.exhausted,
            ),
        )

    def clear_settled_run(
        self, runner: runner_state.RunnerState, run: runs_module.Run
    ) -> None:
        """Clear a task whose run has been at work for long enough."""
        if not run.job.crash_history_by_task:
            return
        heard_s = runner.heard_s(run)
        if heard_s is None or heard_s < crash_attribution.SETTLING_S:
            return
        self.clear_task(run, "at work")

    def clear_task(self, run: runs_module.Run, reason: str) -> None:
        """Forget the crashes under a task."""
        if not run.job.crash_history(run).suspected:
            return
        run.job.set_crash_history(run, crash_attribution.CrashHistory())
        run.crashed_at.clear()
        self._scheduler_state.mark_job_changed(run.job)
        catalogue.emit(
            logger,
            events.TaskCleared(
                str(run.name), run.attempt, run.runner_id, reason
            ),
        )

    def handle_run_end(
        self,
        runner: runner_state.RunnerState,
        run: runs_module.Run,
        ended: messages.EndedTask,
        *,
        current: bool,
    ) -> None:
        """Take back what the end of a run disproves."""
        if ended.reason is messages.EndReason.DONE:
            self.clear_task(run, "done")
            return
        if current:
            self.clear_settled_run(runner, run)
        history = run.job.crash_history(run)
        if ended.attempt in history.all_attempts:
            # The runner was only silent.
            run.job.set_crash_history(run, history.without(ended.attempt))
            self._scheduler_state.mark_job_changed(run.job)


def _may_be_starting(
    runner: runner_state.RunnerState, run: runs_module.Run
) -> bool:
    """Whether a run may have begun just before its runner crashed."""
    if not run.maybe_begun:
        return False
    heard_s = runner.heard_s(run)
    return heard_s is None or heard_s < crash_attribution.SETTLING_S


def _describe_crash(
    runner: runner_state.RunnerState, now: float
) -> crash_attribution.RunnerCrash:
    starting = [
        run
        for run in runner.run_by_task.values()
        if _may_be_starting(runner, run)
    ]
    earliest, latest = runner.crash_interval(now)
    if not runner.run_by_task:
        earliest = now - IDLE_CRASH_KNOWN_WITHIN_S
    return crash_attribution.RunnerCrash(
        runner.id,
        runner.entry.service,
        earliest,
        latest,
        _job_ids(starting),
        _any_suspected(starting),
    )


def _job_ids(runs: Iterable[runs_module.Run]) -> frozenset[str]:
    return frozenset(run.job.job.id for run in runs)


def _any_suspected(runs: Iterable[runs_module.Run]) -> bool:
    return any(run.job.crash_history(run).suspected for run in runs)
