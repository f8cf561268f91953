"""Planning pass: assigns waiting tasks to runners."""

from collections.abc import Collection, Sequence
import dataclasses
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.policy import job_order
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import advice_planner
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import isolation
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Runs on a draining runner are stopped this much earlier than the time that
# they need to save their state before it leaves.
DRAIN_STOP_MARGIN_S = 0.5
# A task waits this long for another runner than those on which it failed or
# stalled. After that it may use them again, since the others may be full for
# hours with long-running tasks.
MAX_AVOIDANCE_S = 2.0
# A task that one more crash gives up waits this long for another host if only
# one crashed under it. Below the time for which a long-running task may
# be without a run while there is room.
MAX_TRIAL_AVOIDANCE_S = 8.0
# A job that can't be planned is tried again after this time. Each try costs
# all others one planning pass.
SET_ASIDE_S = 10.0


class Planner:
    """Plans starts and stops of runs; times are monotonic seconds.

    Args:
        runner_stop_s: time that a run may take to save its state and stop.
    """

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        runner_stop_s: float,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._runner_stop_s = runner_stop_s
        self._advice_planner = advice_planner.AdvicePlanner(scheduler_state)
        self._passes = 0
        self._set_aside_until: dict[str, float] = {}
        # Attempt number and checkpoint shared by the members of a gang.
        self._gang_attempt_by_step: dict[
            tuple[str, int, int], tuple[int, str]
        ] = {}

    def plan(self, now: float, unix_now: float, max_starts: int) -> int:
        """Start the runs that can start and stop those on draining runners.

        Only services in which something changed are considered. Those that
        are left over because of the limit are considered in the next pass.

        Args:
            max_starts: largest number of runs to start; a gang may exceed
                it.

        Returns:
            The number of services left over.
        """
        if self._set_aside_until:
            self._bring_back_jobs(now)
        self._stop_draining_runs(now)
        self._gang_attempt_by_step.clear()
        waiting_by_service = self._waiting_jobs()
        # Each service is the first in its turn, as none is to take the whole
        # limit of several passes.
        services = sorted(waiting_by_service)
        self._passes += 1
        turn = self._passes % len(services) if services else 0
        runners_by_service = self.accepting_runners(services, now)
        left_over = 0
        for service in services[turn:] + services[:turn]:
            if max_starts <= 0:
                left_over += 1
                self._scheduler_state.request_service_plan(service)
                continue
            started = self._plan_service(
                service,
                waiting_by_service[service],
                runners_by_service.get(service, []),
                max_starts,
                now,
                unix_now,
            )
            max_starts -= started
            if max_starts <= 0:
                left_over += 1
                self._scheduler_state.request_service_plan(service)
        return left_over

    def set_aside_failing_jobs(self, now: float, unix_now: float) -> None:
        """Leave out for a while the jobs that can't be planned alone.

        One such job would keep all others from being planned. Its runs go on.
        If most jobs fail, the fault isn't theirs, and they all stay.
        """
        live_jobs = self._scheduler_state.live_job_by_id
        error_by_job: dict[str, str] = {}
        for job in live_jobs.values():
            try:
                job_order.order_key(job.order_input(), now)
                for occurrence, index in job.ready_steps(unix_now):
                    self._step_request(job, occurrence, index, now)
            except Exception as error:
                error_by_job[job.job.id] = repr(error)
        if len(error_by_job) > max(len(live_jobs) // 2, 1):
            return
        for job_id, text in error_by_job.items():
            del live_jobs[job_id]
            self._set_aside_until[job_id] = now + SET_ASIDE_S
            catalogue.emit(logger, events.JobSetAside(job_id, text))

    def _bring_back_jobs(self, now: float) -> None:
        """Plan jobs again that were set aside, unless they have ended."""
        state = self._scheduler_state
        for job_id, until in list(self._set_aside_until.items()):
            if now < until:
                continue
            del self._set_aside_until[job_id]
            job = state.job_by_id.get(job_id)
            if job is not None and not job.status.ended:
                state.live_job_by_id[job_id] = job

    def _waiting_jobs(self) -> dict[str, list[runs.JobState]]:
        """Return the jobs with waiting tasks of the services to plan."""
        services = self._scheduler_state.take_services_to_plan()
        jobs_by_service: dict[str, list[runs.JobState]] = {}
        if services is not None and not services:
            return jobs_by_service
        for job in self._scheduler_state.live_job_by_id.values():
            if not job.waiting_count or job.status.ended:
                continue
            service = self._scheduler_state.service_of(job.job)
            if services is None or service in services:
                jobs_by_service.setdefault(service, []).append(job)
        if services is None:
            self._scheduler_state.advice.keep_services(jobs_by_service)
        return jobs_by_service

    def _plan_service(
        self,
        service: str,
        jobs: list[runs.JobState],
        runners: list[runner_state.RunnerState],
        max_starts: int,
        now: float,
        unix_now: float,
    ) -> int:
        """Start runs of one service; return how many."""
        if not runners:
            self._scheduler_state.advice.set_requests(service, ())
            return 0
        capacities = [capacity_of(runner, now) for runner in runners]
        requests = self._step_requests(jobs, capacities, now, unix_now)
        isolated = None
        if self._scheduler_state.has_suspected_tasks():
            isolated = isolation.find_starts(runners, now)
        placements = task_placement.place_tasks(
            requests,
            capacities,
            self._scheduler_state.free_capacity_by_team(),
            max_starts,
            isolated,
        )
        for placement in placements:
            self._assign_task(placement, now)
        if isolated is not None and len(placements) < max_starts:
            placed = {placement.request.step_key for placement in placements}
            isolation.reserve_runners(
                [
                    request
                    for request in requests
                    if request.step_key not in placed
                    and isolation.on_trial(
                        self._scheduler_state.live_job_by_id[request.job_id],
                        request,
                    )
                ],
                runners,
                now,
            )
        if any(job.job.advised for job in jobs):
            self._advice_planner.plan_requests(
                service,
                _without_placed(requests, placements),
                runners,
                [capacity_of(runner, now) for runner in runners],
                now,
            )
        return len(placements)

    def _stop_draining_runs(self, now: float) -> None:
        margin_s = self._runner_stop_s + DRAIN_STOP_MARGIN_S
        for runner in self._scheduler_state.runner_by_id.values():
            if runner.drain_deadline is None:
                continue
            deadline_near = now >= runner.drain_deadline - margin_s
            for run in list(runner.run_by_task.values()):
                if run.phase is not runs.Phase.RUNNING:
                    continue
                if deadline_near or run.step.long_running:
                    self._scheduler_state.stop_run(
                        run, "runner is draining", now
                    )

    def accepting_runners(
        self, services: Collection[str], now: float
    ) -> dict[str, list[runner_state.RunnerState]]:
        """Return the runners that may start tasks, by service."""
        usable_by_service: dict[str, list[runner_state.RunnerState]] = {}
        if not services:
            return usable_by_service
        for runner in self._scheduler_state.runner_by_id.values():
            service = runner.entry.service
            if service in services and self._accepts_tasks(runner, now):
                usable_by_service.setdefault(service, []).append(runner)
        for service, usable in usable_by_service.items():
            healthy = [
                runner
                for runner in usable
                if now >= runner.health.paused_until
            ]
            if 2 * len(healthy) >= len(usable):
                # Otherwise most runners are unhealthy, so the jobs rather
                # than the runners are at fault.
                usable_by_service[service] = healthy
        return usable_by_service

    def _accepts_tasks(
        self, runner: runner_state.RunnerState, now: float
    ) -> bool:
        return (
            self._scheduler_state.is_open_for_tasks(runner)
            and runner.entry_current
            and runner.fenced
            and now >= runner.not_before
            and runner.is_reachable(now)
        )

    def _step_requests(
        self,
        jobs: list[runs.JobState],
        capacities: Sequence[task_placement.RunnerCapacity],
        now: float,
        unix_now: float,
    ) -> list[task_placement.StepRequest]:
        """Return the waiting steps of jobs, in scheduling order.

        Steps whose tasks fit no runner are left out.
        """
        most_cpu = max(capacity.free.cpu for capacity in capacities)
        most_memory = max(capacity.free.memory for capacity in capacities)
        requests_by_job: dict[str, list[task_placement.StepRequest]] = {}
        for job in jobs:
            requests = requests_by_job[job.job.id] = []
            for occurrence, index in job.ready_steps(unix_now):
                step = job.job.steps[index]
                cpu = 0 if step.fills else step.need.cpu
                fits = cpu <= most_cpu and step.need.memory <= most_memory
                if (
                    not fits
                    and not job.job.advised
                    and not job.crash_history_by_task
                ):
                    continue
                request = self._step_request(job, occurrence, index, now)
                if request is not None and job.job.advised:
                    request = self._with_advice(request, now)
                if request is not None:
                    requests += isolation.split_request(job, request, now)
        waiting = [job for job in jobs if requests_by_job[job.job.id]]
        self._sort_jobs(waiting, now)
        # Runners that are kept for suspected tasks go to the likeliest first.
        waiting.sort(key=lambda job: not job.awaits_trial(now))
        return [
            request
            for job in waiting
            for request in requests_by_job[job.job.id]
        ]

    @staticmethod
    def _sort_jobs(jobs: list[runs.JobState], now: float) -> None:
        inputs = [job.order_input() for job in jobs]
        for index in job_order.overdue_jobs(inputs, now):
            inputs[index] = dataclasses.replace(inputs[index], overdue=True)
        keys = [job_order.order_key(item, now) for item in inputs]
        order = sorted(range(len(jobs)), key=keys.__getitem__)
        jobs[:] = [jobs[index] for index in order]

    def _step_request(
        self, job: runs.JobState, occurrence: int, index: int, now: float
    ) -> task_placement.StepRequest | None:
        step_runs = job.runs_by_step[occurrence, index]
        waiting = tuple(
            run.name.index
            for run in step_runs
            if run.phase is runs.Phase.WAITING
            and run.not_before <= now
            and not run.maybe_started
        )
        step = job.job.steps[index]
        if not waiting or (step.gang and len(waiting) < step.count):
            return None
        count_by_runner: dict[str, int] = {}
        if len(waiting) < step.count:
            count_by_runner = self._scheduler_state.task_count_by_runner(
                job, (occurrence, index)
            )
        return task_placement.StepRequest(
            job_id=job.job.id,
            occurrence=occurrence,
            step_index=index,
            team=job.job.team,
            step=step,
            waiting_indexes=waiting,
            task_count_by_runner=count_by_runner,
            avoided_runners_by_index={
                index: avoided
                for index in waiting
                if (avoided := self._avoided_runners(step_runs[index], now))
            },
        )

    def _avoided_runners(self, run: runs.Run, now: float) -> frozenset[str]:
        """Return the runners on which a task isn't started if it can wait."""
        avoided: frozenset[str] = frozenset()
        if run.failed_on and now < run.not_before + MAX_AVOIDANCE_S:
            avoided |= run.failed_on
        if (
            len(run.crashed_at) == 1
            and run.job.crash_history(run).needs_trial
            and now < run.waiting_since + MAX_TRIAL_AVOIDANCE_S
        ):
            # That host may be at fault rather than the task.
            avoided |= {
                runner.id
                for runner in self._scheduler_state.runner_by_id.values()
                if runner.entry.address in run.crashed_at
            }
        return avoided

    def _with_advice(
        self,
        request: task_placement.StepRequest,
        now: float,
    ) -> task_placement.StepRequest:
        """Limit a step to the runners for which it has valid tickets."""
        service = self._service_of(request)
        name = advice_planner.step_name_of(request)
        allowed = self._advice_planner.allowed_runners(service, name, now)
        return dataclasses.replace(request, allowed_runners=allowed)

    def _service_of(self, request: task_placement.StepRequest) -> str:
        job = self._scheduler_state.live_job_by_id[request.job_id]
        return self._scheduler_state.service_of(job.job)

    def _assign_task(
        self, placement: task_placement.TaskPlacement, now: float
    ) -> None:
        request = placement.request
        job = self._scheduler_state.live_job_by_id[request.job_id]
        key = request.occurrence, request.step_index
        run = job.runs_by_step[key][placement.index]
        runner = self._scheduler_state.runner_by_id[placement.runner_id]
        first_attempt = not run.last_attempt
        attempt, checkpoint = run.last_attempt + 1, run.checkpoint
        if request.step.gang:
            attempt, checkpoint = self._gang_attempt(job, key)
        if not request.step.checkpointing:
            checkpoint = ""
        free_cpu = runner.free_capacity().cpu
        self._scheduler_state.assign_run(run, runner, attempt)
        ticket, ticket_valid_until = self._ticket(request, runner, now)
        message = messages.StartTask(
            run.name, attempt, job.job.spec, checkpoint, ticket
        )
        self._scheduler_state.queue_command(
            commands.StartCommand(
                runner.id, run, message, first_attempt, ticket_valid_until
            )
        )
        catalogue.emit(
            logger,
            events.RunAssigned(
                str(run.name),
                attempt,
                runner.id,
                free_cpu,
                round(now - job.arrived_at, 3),
            ),
        )

    def _gang_attempt(
        self, job: runs.JobState, key: tuple[int, int]
    ) -> tuple[int, str]:
        """Return the attempt number and checkpoint of a gang's next run."""
        name = job.job.id, *key
        if name not in self._gang_attempt_by_step:
            members = job.runs_by_step[key]
            self._gang_attempt_by_step[name] = (
                1 + max(member.attempt for member in members),
                max(member.checkpoint for member in members),
            )
        return self._gang_attempt_by_step[name]

    def _ticket(
        self,
        request: task_placement.StepRequest,
        runner: runner_state.RunnerState,
        now: float,
    ) -> tuple[str, float]:
        """Return the advisor's ticket for a placement, and its last use."""
        if request.allowed_runners is None:
            return "", float("inf")
        advice = self._scheduler_state.advice.find(
            self._service_of(request),
            advice_planner.step_name_of(request),
            runner,
            now,
        )
        if advice is None:
            raise LookupError(f"no advice on a placement on {runner.id}")
        return advice.ticket, advice.valid_until


def _without_placed(
    requests: Sequence[task_placement.StepRequest],
    placements: Sequence[task_placement.TaskPlacement],
) -> list[task_placement.StepRequest]:
    """Return the requests with the tasks that weren't placed."""
    placed = {(each.request.step_key, each.index) for each in placements}
    waiting = []
    for request in requests:
        indexes = tuple(
            index
            for index in request.waiting_indexes
            if (request.step_key, index) not in placed
        )
        if indexes:
            waiting.append(
                dataclasses.replace(request, waiting_indexes=indexes)
            )
    return waiting


def capacity_of(
    runner: runner_state.RunnerState, now: float
) -> task_placement.RunnerCapacity:
    """Return a runner as the placement of tasks sees it."""
    return task_placement.RunnerCapacity(
        runner.id,
        runner.entry.rack,
        runner.entry.labels,
        runner.free_capacity(),
        _max_starts(runner, now),
    )


def _max_starts(runner: runner_state.RunnerState, now: float) -> int:
    """Return how many starts a runner may get beside those not sent yet."""
    limit = runner.command_window.available(task_placement.NO_LIMIT, now)
    if limit == task_placement.NO_LIMIT:
        return limit
    unsent = sum(
        run.phase is runs.Phase.ASSIGNED and not run.sent_at
        for run in runner.run_by_task.values()
    )
    return max(limit - unsent, 0)
