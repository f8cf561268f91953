"""Demand of each pool, as input for the sizing of pools."""

from collections.abc import Iterator
import dataclasses

from azurevane._internal.models import job as job_models
from azurevane._internal.models import site
from azurevane._internal.policy import host_packing
from azurevane._internal.policy import job_order
from azurevane._internal.policy import pool_sizing
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import busy_periods
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

# Tasks of jobs that can't end in time any more are spread over this time, as
# hosts fetched for all of them at once would come too late to be of use.
LATE_WORK_SPREAD_S = 1.0
# The same for jobs that are too late to be of any use.
USELESS_WORK_SPREAD_S = 4.0


@dataclasses.dataclass(slots=True)
class _WaitingTasks:
    """A service's waiting tasks.

    Attributes:
        largest: the needs of the tasks that need most of each resource.
    """

    ending: host_packing.Load = host_packing.Load()
    long_running: host_packing.Load = host_packing.Load()
    largest: dict[str, job_models.Capacity] = dataclasses.field(
        default_factory=dict
    )

    def add(self, step: job_models.Step, count: int, share: float) -> None:
        need = task_placement.capacity_needed(step)
        load = host_packing.Load(1, need.cpu, need.memory, need.gpu)
        if step.long_running:
            self.long_running += load.scaled(count)
        else:
            self.ending += load.scaled(count * share)
        for name in ("cpu", "memory", "gpu"):
            other = self.largest.get(name)
            if other is None or getattr(need, name) > getattr(other, name):
                self.largest[name] = need


@dataclasses.dataclass(slots=True)
class _Runners:
    """Runners of a service and their tasks.

    Attributes:
        running: tasks that end by themselves.
        capacities: capacity of each runner that takes tasks.
        room_by_runner: what long-running tasks leave of these runners, by
            the runner's position in ``capacities``.
    """

    running: host_packing.Load = host_packing.Load()
    capacities: list[job_models.Capacity] = dataclasses.field(
        default_factory=list
    )
    room_by_runner: dict[int, job_models.Capacity] = dataclasses.field(
        default_factory=dict
    )

    def fit(self, need: job_models.Capacity) -> bool:
        """Whether a need fits on a runner once its other tasks have ended."""
        return any(
            self.room_by_runner.get(number, capacity).covers(need)
            for number, capacity in enumerate(self.capacities)
        )


class DemandMeter:
    """Measures the demand of services; times are monotonic seconds.

    Args:
        lead_s: time from the command to move a host until it takes tasks.
        forecast: whether hosts are fetched before busy periods.
    """

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        lead_s: float,
        *,
        forecast: bool = False,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._busy_periods = busy_periods.BusyPeriods(
            lead_s, forecast=forecast
        )
        self._recorded_job_ids: set[str] = set()
        self._history_read = False

    def measure(
        self,
        hosts: list[site.Host],
        incoming_by_pool: dict[str, int],
        now: float,
    ) -> list[pool_sizing.PoolDemand]:
        """Return the demand of every pool that isn't a standby pool.

        Args:
            incoming_by_pool: number of hosts that will soon accept tasks.
        """
        config = self._scheduler_state.config
        if config is None:
            return []
        self._record_arrivals(now)
        waiting_by_service, min_hosts_by_service = self._measure_waiting(now)
        missing_labels_by_service = self._missing_labels(hosts)
        runners_by_service = self._runners()
        demands = []
        for service in config.service_by_name.values():
            if service.standby:
                continue
            demands.append(
                self._pool_demand(
                    service.name,
                    runners_by_service.get(service.name, _Runners()),
                    waiting_by_service.get(service.name, _WaitingTasks()),
                    min_hosts_by_service.get(service.name, 0),
                    incoming_by_pool.get(service.name, 0),
                    missing_labels_by_service.get(service.name, 0),
                    hosts,
                    now,
                )
            )
        return demands

    def wanted_labels(self) -> frozenset[str]:
        """Return the labels and racks that jobs with waiting tasks require."""
        labels: set[str] = set()
        for job in self._waiting_jobs():
            for step in job.job.steps:
                labels |= {step.required_label, step.data_rack}
        labels.discard("")
        return frozenset(labels)

    def _waiting_jobs(self) -> Iterator[runs.JobState]:
        for job in self._scheduler_state.live_job_by_id.values():
            if job.waiting_count and not job.status.ended:
                yield job

    def _missing_labels(self, hosts: list[site.Host]) -> dict[str, int]:
        """Return how many required labels each service lacks.

        Only labels that some host has are counted.
        """
        labels_by_service: dict[str, set[str]] = {}
        for job in self._waiting_jobs():
            needed = {step.required_label for step in job.job.steps} - {""}
            if needed:
                service = self._scheduler_state.service_of(job.job)
                labels_by_service.setdefault(service, set()).update(needed)
        if not labels_by_service:
            return {}
        host_labels = frozenset().union(*(host.labels for host in hosts))
        for runner in self._scheduler_state.runner_by_id.values():
            labels = labels_by_service.get(runner.entry.service)
            if (
                labels
                and runner.id not in self._scheduler_state.draining_runners
            ):
                labels -= runner.entry.labels
        return {
            service: len(labels & host_labels)
            for service, labels in labels_by_service.items()
        }

    def _runners(self) -> dict[str, _Runners]:
        runners_by_service: dict[str, _Runners] = {}
        draining = self._scheduler_state.draining_runners
        for runner in self._scheduler_state.runner_by_id.values():
            entry = runner.entry
            runners = runners_by_service.setdefault(entry.service, _Runners())
            capacity, free = entry.capacity, runner.free_capacity()
            room, long_running_count = capacity, 0
            for run in runner.run_by_task.values():
                need = task_placement.capacity_needed(run.step)
                if run.step.long_running:
                    room -= need
                    long_running_count += 1
            used = room - free
            runners.running += host_packing.Load(
                len(runner.run_by_task) - long_running_count,
                used.cpu,
                used.memory,
                used.gpu,
            )
            # An entry may name a runner that never existed.
            ever_reached = runner.reached or not runner.unreachable
            usable = runner.listed and not entry.draining and ever_reached
            if usable and runner.id not in draining:
                if long_running_count:
                    number = len(runners.capacities)
                    runners.room_by_runner[number] = room
                runners.capacities.append(capacity)
        return runners_by_service

    def _pool_demand(
        self,
        service: str,
        runners: _Runners,
        waiting: _WaitingTasks,
        min_hosts: int,
        incoming_hosts: int,
        missing_label_count: int,
        hosts: list[site.Host],
        now: float,
    ) -> pool_sizing.PoolDemand:
        host = host_packing.mean_capacity(
            runners.capacities
            or (host.capacity for host in hosts if host.capacity.cpu)
        )
        return pool_sizing.PoolDemand(
            name=service,
            host=host,
            ready_hosts=len(runners.capacities),
            incoming_hosts=incoming_hosts,
            min_hosts=min_hosts,
            rooms=tuple(runners.room_by_runner.values()),
            running=runners.running,
            waiting=waiting.ending,
            waiting_long_running=waiting.long_running,
            arriving=self._busy_periods.arriving(service, now),
            missing_label_count=missing_label_count,
            task_blocked=any(
                host.covers(need) and not runners.fit(need)
                for need in waiting.largest.values()
            ),
        )

    def _measure_waiting(
        self, now: float
    ) -> tuple[dict[str, _WaitingTasks], dict[str, int]]:
        """Return each service's waiting work and least number of hosts."""
        waiting_by_service: dict[str, _WaitingTasks] = {}
        min_hosts_by_service: dict[str, int] = {}
        for job in self._scheduler_state.live_job_by_id.values():
            if job.status.ended:
                continue
            service = self._scheduler_state.service_of(job.job)
            for step in job.job.steps:
                if step.long_running:
                    min_hosts = min_hosts_by_service.get(service, 0)
                    min_hosts_by_service[service] = max(
                        min_hosts, task_placement.spread_runner_count(step)
                    )
            if not job.waiting_count:
                continue
            waiting = waiting_by_service.setdefault(service, _WaitingTasks())
            self._add_waiting(job, waiting, now)
        return waiting_by_service, min_hosts_by_service

    def _record_arrivals(self, now: float) -> None:
        """Count the jobs that are new to this leader.

        At first these are all that the store has, also those that have ended.
        """
        jobs = self._scheduler_state.live_job_by_id
        if not self._history_read:
            jobs = self._scheduler_state.job_by_id
            self._history_read = True
        new_jobs = [
            job
            for job_id, job in jobs.items()
            if job_id not in self._recorded_job_ids and not job.long_running
        ]
        self._recorded_job_ids.intersection_update(
            self._scheduler_state.live_job_by_id
        )
        self._recorded_job_ids.update(job.job.id for job in new_jobs)
        self._busy_periods.record_arrivals(
            map(self._arrival, new_jobs),
            now,
            known_until=self._scheduler_state.write_overdue_since,
        )

    def _arrival(self, job: runs.JobState) -> busy_periods.Arrival:
        work = host_packing.Load()
        for step in job.job.steps:
            need = task_placement.capacity_needed(step)
            work += host_packing.Load(
                1, need.cpu, need.memory, need.gpu
            ).scaled(step.count * step.estimate_s)
        return busy_periods.Arrival(
            self._scheduler_state.service_of(job.job),
            job.arrived_at,
            work,
            job_order.critical_path_s(job.job.steps),
        )

    def _add_waiting(
        self, job: runs.JobState, waiting: _WaitingTasks, now: float
    ) -> None:
        spread_s = _work_spread_s(job, now)
        for key in job.ready_steps(float("inf")):
            step = job.job.steps[key[1]]
            count = sum(
                run.phase is runs.Phase.WAITING
                and run.not_before <= now
                and not job.crash_history(run).needs_trial
                for run in job.runs_by_step[key]
            )
            if not count:
                continue
            share = 1.0
            if spread_s:
                share = min(step.estimate_s / spread_s, 1.0)
            waiting.add(step, count, share)


def _work_spread_s(job: runs.JobState, now: float) -> float:
    """Return the time over which a job's waiting tasks are spread, or 0."""
    if job.long_running or job.job.repeats:
        return 0.0
    start_by = job.objective_at - job.remaining_s
    if now <= start_by:
        return 0.0
    objective_s = job.objective_at - job.arrived_at
    useless_s = (job_order.USELESS_AFTER_OBJECTIVES - 1) * objective_s
    if now <= start_by + useless_s:
        return LATE_WORK_SPREAD_S
    return USELESS_WORK_SPREAD_S
