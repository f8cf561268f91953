"""Starts copies of slow runs, in capacity that no first run can use."""

from collections.abc import Iterator
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.policy import copies
from azurevane._internal.policy import job_order
from azurevane._internal.policy import runner_speeds
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import isolation
from azurevane._internal.scheduler import planner as planner_module
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Interval at which running tasks are looked at, in seconds. It is short
# against the tasks that copies are for, and long against a planning pass.
CHECK_INTERVAL_S = 0.1
# Most copies that one pass starts; the others wait for the next.
MAX_COPIES_PER_PASS = 8


class CopyPlanner:
    """Plans copies of runs; times are monotonic seconds."""

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        planner: planner_module.Planner,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._planner = planner
        self._outcomes = scheduler_state.copy_outcomes
        self._checked_at = 0.0

    def plan(self, now: float, unix_now: float) -> None:
        """Start the copies that the running tasks call for.

        It follows a planning pass that has placed all that could start.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        wanted_by_service: dict[
            str, list[tuple[runs.Run, copies.CopyDecision]]
        ] = {}
        for job in self._scheduler_state.live_job_by_id.values():
            if job.speculative and not job.status.ended:
                wanted = list(self._wanted_copies(job, now))
                if wanted:
                    service = self._scheduler_state.service_of(job.job)
                    wanted_by_service.setdefault(service, []).extend(wanted)
        started = 0
        for service, wanted in wanted_by_service.items():
            if self._has_waiting_tasks(service, now, unix_now):
                continue
            runners = self._planner.accepting_runners((service,), now)
            for run, decision in wanted:
                if started >= MAX_COPIES_PER_PASS:
                    return
                if not self._still_wanted(run, now):
                    continue
                started += self._start_copy(
                    run, decision, runners.get(service, []), now
                )

    def _still_wanted(self, run: runs.Run, now: float) -> bool:
        """Whether a copy is wanted beside those that this pass started."""
        behaviour = run.job.job.behaviour_key(run.step)
        return self._runs_slowly(
            run.runner_id, now
        ) or self._outcomes.may_start(behaviour, now)

    def _wanted_copies(
        self, job: runs.JobState, now: float
    ) -> Iterator[tuple[runs.Run, copies.CopyDecision]]:
        for key, step_runs in job.runs_by_step.items():
            step = job.job.steps[key[1]]
            if not _may_copy(step) or not job.unfinished_by_step[key]:
                continue
            candidates = [run for run in step_runs if _is_candidate(run)]
            if not candidates:
                continue
            expected_s = self._scheduler_state.expected_run_s(job.job, step)
            progress_by_task = {
                run.name: run.progress()
                for run in step_runs
                if run.phase is runs.Phase.RUNNING and run.acknowledged_at
            }
            known = list(job.run_s_by_step.get(key, ()))
            known += [
                (progress.runner_id, foretold_s)
                for progress in progress_by_task.values()
                if (foretold_s := progress.foretold_run_s()) is not None
            ]
            last_useful_at = _last_useful_at(job, key[0])
            for run in candidates:
                typical = copies.typical_run(run.runner_id, known, expected_s)
                decision = copies.decide_copy(
                    progress_by_task[run.name], typical, last_useful_at, now
                )
                if decision is not None:
                    yield run, decision

    def _runs_slowly(self, runner_id: str, now: float) -> bool:
        """Whether tasks on a runner are slow because of the runner."""
        runner = self._scheduler_state.runner_by_id.get(runner_id)
        if runner is None:
            return False
        return runner.speed.slowness(now) > runner_speeds.SLOW

    def _has_waiting_tasks(
        self, service: str, now: float, unix_now: float
    ) -> bool:
        """Whether tasks wait that their team's limit lets start."""
        free_by_team = self._scheduler_state.free_capacity_by_team()
        for job in self._scheduler_state.live_job_by_id.values():
            if not job.waiting_count or job.status.ended:
                continue
            if self._scheduler_state.service_of(job.job) != service:
                continue
            free = free_by_team.get(job.job.team)
            for key in job.ready_steps(unix_now):
                step = job.job.steps[key[1]]
                if free is not None and not free.covers(step.need):
                    continue
                if any(
                    run.phase is runs.Phase.WAITING and run.not_before <= now
                    for run in job.runs_by_step[key]
                ):
                    return True
        return False

    def _start_copy(
        self,
        run: runs.Run,
        decision: copies.CopyDecision,
        runners: list[runner_state.RunnerState],
        now: float,
    ) -> bool:
        """Start a copy of a run if a runner has capacity for it."""
        key = run.name.occurrence, run.name.step
        request = self._planner.copy_request(run, key, now)
        others = [
            runner
            for runner in runners
            if runner.id != run.runner_id
            and runner.id not in run.failed_on
            and run.name not in runner.run_by_task
            and (run.name, run.attempt) not in runner.need_by_orphan
        ]
        own = self._scheduler_state.runner_by_id.get(run.runner_id)
        racks = [
            [
                r
                for r in others
                if own is None or r.entry.rack != own.entry.rack
            ],
            others,
        ]
        if run.step.data_rack:
            # Another rack than that of the data is slower for certain.
            racks = [others]
        free_by_team = self._scheduler_state.free_capacity_by_team()
        for candidates in racks:
            placements = task_placement.place_tasks(
                [request],
                [
                    planner_module.capacity_of(runner, now)
                    for runner in candidates
                ],
                free_by_team,
                1,
                isolation.find_starts(candidates, now),
            )
            if placements:
                self._assign_copy(run, placements[0], decision, now)
                return True
        return False

    def _assign_copy(
        self,
        run: runs.Run,
        placement: task_placement.TaskPlacement,
        decision: copies.CopyDecision,
        now: float,
    ) -> None:
        runner = self._scheduler_state.runner_by_id[placement.runner_id]
        copy = self._scheduler_state.start_copy(run, runner)
        if not self._runs_slowly(run.runner_id, now):
            # Its outcome shows whether a fresh run is faster at all.
            copy.fresh_run_s = decision.typical.run_s
            behaviour = run.job.job.behaviour_key(run.step)
            self._outcomes.record_start(behaviour, now)
        message = messages.StartTask(
            copy.name,
            copy.attempt,
            run.job.job.spec,
            copy.checkpoint if run.step.checkpointing else "",
            self._planner.advice_ticket(placement.request, runner.id),
        )
        self._scheduler_state.queue_command(
            commands.StartCommand(
                runner.id, copy, message, first_attempt=False
            )
        )
        remaining_s = decision.remaining_s
        catalogue.emit(
            logger,
            events.CopyStarted(
                str(copy.name),
                copy.attempt,
                runner.id,
                run.attempt,
                run.runner_id,
                decision.reason.value,
                round(decision.running_s, 3),
                None if remaining_s is None else round(remaining_s, 3),
                round(decision.typical.run_s, 3),
                run.percent,
                round(now - run.progress_at, 3) if run.progress_at else None,
            ),
        )


def _may_copy(step: job_models.Step) -> bool:
    return step.speculative and not (
        step.gang or step.long_running or step.fills
    )


def _is_candidate(run: runs.Run) -> bool:
    """Whether a run is under way and may get a copy."""
    return (
        run.phase is runs.Phase.RUNNING
        and bool(run.acknowledged_at)
        and run.pace == 100
        and run.name not in run.job.copy_by_task
        and run.last_attempt - run.attempt < copies.MAX_COPIES
        and len(run.failed_attempts) < run.job.job.attempts
        and not run.job.crash_history(run).suspected
    )


def _last_useful_at(job: runs.JobState, occurrence: int) -> float:
    """Return after which time the end of an occurrence is of no use."""
    due_s = max(job.job.due_at(occurrence) - job.job.accepted_at, 0.0)
    objective_s = job.objective_at - job.arrived_at
    return (
        job.arrived_at
        + due_s
        + job_order.USELESS_AFTER_OBJECTIVES * objective_s
    )
