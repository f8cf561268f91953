"""Stops runs for urgent tasks of queues of priority 0 that have no room.

What a stopped run held is free only once its end is confirmed, as with any
stop. Long-running and urgent tasks come first in the order of jobs, so the
next planning pass, also that of a new leader, gives them what has become
free. Nothing of it is stored.
"""

from collections.abc import Iterator
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import preemption
from azurevane._internal.scheduler import availability
from azurevane._internal.scheduler import planner as planner_module
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Room is made for at most one task in this time, in seconds, which bounds the
# stops to 16 a second.
INTERVAL_S = 0.25
# A long-running task gets this long to find room that becomes free by itself,
# in seconds. It must run again within 6 s of its last run; a stop and a start
# take about 2 s of them, or 3 s if a new leader has to take over.
LONG_RUNNING_WAIT_S = 1.5
# A short job is urgent once so little time is left before it must start, in
# seconds: about what a stop takes.
URGENT_S = 0.5
# Room isn't made again for the same task until its stops have taken effect or
# failed, in seconds: a lease and the time to stop.
PENDING_S = 6.0


class Preemptor:
    """Makes room; times are monotonic seconds.

    Args:
        checkpoint_s: interval at which tasks save their state.
        now: when this leader took over.
    """

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        planner: planner_module.Planner,
        checkpoint_s: float,
        now: float,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._planner = planner
        self._checkpoint_s = checkpoint_s
        self._began_at = now
        self._next_at = now
        self._stopped_at_by_task: dict[str, float] = {}
        self._pending_until_by_task: dict[str, float] = {}

    def preempt(self, now: float) -> None:
        """Stop runs for the first urgent task that has no room, if any."""
        if now < self._next_at:
            return
        self._next_at = now + INTERVAL_S
        for run in self._urgent_runs(now):
            if self._make_room(run, now):
                return

    def _urgent_runs(self, now: float) -> Iterator[runs.Run]:
        """Return one waiting task of each urgent job."""
        for job in self._scheduler_state.live_job_by_id.values():
            if job.job.priority or job.job.advised or job.status.ended:
                continue
            if not job.waiting_count or not self._is_urgent(job, now):
                continue
            for key in job.ready_steps(0.0):
                for run in job.runs_by_step[key]:
                    if self._waits_too_long(run, now):
                        yield run
                        break

    @staticmethod
    def _is_urgent(job: runs.JobState, now: float) -> bool:
        if job.long_running:
            return True
        left_s = job.objective_at - job.remaining_s - now
        return not job.beyond_share and 0.0 <= left_s < URGENT_S

    def _waits_too_long(self, run: runs.Run, now: float) -> bool:
        if run.phase is not runs.Phase.WAITING or now < run.not_before:
            return False
        if run.step.gang or run.step.fills:
            return False
        if run.job.crash_history(run).suspected:
            return False
        if now < self._pending_until_by_task.get(str(run.name), 0.0):
            return False
        waited_s = now - run.not_serving_since
        return not run.step.long_running or waited_s >= LONG_RUNNING_WAIT_S

    def _make_room(self, run: runs.Run, now: float) -> bool:
        need = run.step.need
        free = self._scheduler_state.free_capacity_by_team()
        team_free = free.get(run.job.job.team)
        if team_free is not None and not _covers(team_free, need):
            return False
        service = self._scheduler_state.service_of(run.job.job)
        runners = [
            runner
            for runner in self._planner.accepting_runners((service,), now).get(
                service, []
            )
            if self._may_run(run, runner)
        ]
        if any(_covers(runner.free_capacity(), need) for runner in runners):
            return False
        rooms = [self._room(runner, now) for runner in runners]
        chosen = preemption.choose_victims(
            need,
            run.job.job.priority,
            rooms,
            now,
            long_running=run.step.long_running,
        )
        if chosen is None:
            return False
        self._pending_until_by_task[str(run.name)] = now + PENDING_S
        self._stop_victims(run, *chosen, now)
        return True

    @staticmethod
    def _may_run(run: runs.Run, runner: runner_state.RunnerState) -> bool:
        label = run.step.required_label
        if label and label not in runner.entry.labels:
            return False
        if not run.step.max_per_runner:
            return True
        members = run.job.runs_by_step[run.name.occurrence, run.name.step]
        here = sum(
            member.occupies_capacity and member.runner_id == runner.id
            for member in members
        )
        return here < run.step.max_per_runner

    def _room(
        self, runner: runner_state.RunnerState, now: float
    ) -> preemption.Room:
        return preemption.Room(
            runner.id,
            runner.free_capacity(),
            tuple(
                self._candidate(run, now)
                for run in runner.run_by_task.values()
                if run.phase is runs.Phase.RUNNING
            ),
        )

    def _candidate(self, run: runs.Run, now: float) -> preemption.Candidate:
        step = run.step
        lost_s = now - (run.acknowledged_at or self._began_at)
        if step.checkpointing and run.checkpoint:
            lost_s = min(lost_s, self._checkpoint_s)
        stopped_at = self._stopped_at_by_task.get(str(run.name))
        if stopped_at is None:
            # A run after the first may have been stopped by an earlier leader.
            stopped_at = self._began_at if run.attempt > 1 else float("-inf")
        return preemption.Candidate(
            str(run.name),
            run.job.job.priority,
            step.fills,
            step.long_running,
            job_models.Capacity(
                0 if step.fills else step.need.cpu,
                step.need.memory,
                step.need.gpu,
            ),
            0.0 if step.long_running else lost_s * step.need.cpu,
            not step.gang
            and not run.is_copy
            and availability.may_stop(run, now),
            stopped_at,
        )

    def _stop_victims(
        self,
        run: runs.Run,
        runner_id: str,
        victims: tuple[preemption.Candidate, ...],
        now: float,
    ) -> None:
        self._forget_old(now)
        stopped_by_name = {
            str(other.name): other
            for other in self._scheduler_state.runner_by_id[
                runner_id
            ].run_by_task.values()
        }
        for victim in victims:
            stopped = stopped_by_name[victim.task]
            if not availability.may_stop(stopped, now):
                # Another one of the same step was stopped just before.
                continue
            self._stopped_at_by_task[victim.task] = now
            catalogue.emit(
                logger,
                events.RunPreempted(
                    victim.task,
                    stopped.attempt,
                    runner_id,
                    victim.priority,
                    victim.fills,
                    round(victim.lost_core_s / 1000, 2),
                    str(run.name),
                    run.job.job.queue,
                    round(now - run.job.arrived_at, 3),
                    len(victims),
                ),
            )
            self._scheduler_state.stop_run(
                stopped, f"makes room for {run.name}", now
            )

    def _forget_old(self, now: float) -> None:
        self._stopped_at_by_task = {
            task: at
            for task, at in self._stopped_at_by_task.items()
            if now - at < preemption.NOT_AGAIN_S
        }
        self._pending_until_by_task = {
            task: until
            for task, until in self._pending_until_by_task.items()
            if now < until
        }


def _covers(free: job_models.Capacity, need: job_models.Capacity) -> bool:
    return (
        free.cpu >= need.cpu
        and free.memory >= need.memory
        and free.gpu >= need.gpu
    )
