"""Demand of each pool, as input for the sizing of pools."""

import collections
from collections.abc import Iterator
import dataclasses

from azurevane._internal.models import site
from azurevane._internal.policy import job_order
from azurevane._internal.policy import pool_sizing
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

# Arriving work is averaged over a window as long as a job's critical path,
# smoothed over jobs, within these bounds. The window is short compared to a
# burst, and long compared to the time between two jobs in a burst.
MIN_WINDOW_S = 1.0
MAX_WINDOW_S = 5.0
# Weight of the newest job in the smoothed length of critical paths.
CRITICAL_PATH_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class _WaitingWork:
    """CPU of a service's waiting tasks, in total and of the largest one."""

    cpu: int = 0
    largest_cpu: int = 0


class DemandMeter:
    """Measures the demand of services; times are monotonic seconds."""

    def __init__(self, scheduler_state: state_module.SchedulerState) -> None:
        self._scheduler_state = scheduler_state
        # Time of each arrival, and its work in thousandths of a core-second.
        self._arrivals_by_service: dict[
            str, collections.deque[tuple[float, float]]
        ] = {}
        self._critical_path_by_service: dict[str, float] = {}
        self._recorded_job_ids: set[str] = set()

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
        waiting_by_service, min_hosts_by_service = self._measure_waiting(now)
        missing_labels_by_service = self._missing_labels(hosts)
        demands = []
        for service in config.service_by_name.values():
            if service.standby:
                continue
            demands.append(
                self._pool_demand(
                    service.name,
                    waiting_by_service.get(service.name, _WaitingWork()),
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

    def _pool_demand(
        self,
        service: str,
        waiting: _WaitingWork,
        min_hosts: int,
        incoming_hosts: int,
        missing_label_count: int,
        hosts: list[site.Host],
        now: float,
    ) -> pool_sizing.PoolDemand:
        ready, busy_cpu, long_running_cpu, host_cpu = 0, 0, 0, 0
        most_room_cpu = 0
        for runner in self._scheduler_state.runner_by_id.values():
            if runner.entry.service != service:
                continue
            busy_cpu += runner.entry.capacity.cpu - runner.free_capacity().cpu
            # Copies use capacity that is there; no host is fetched for them.
            busy_cpu -= sum(
                run.step.need.cpu
                for run in runner.run_by_task.values()
                if run.is_copy
            )
            long_running_here = sum(
                run.step.need.cpu
                for run in runner.run_by_task.values()
                if run.step.long_running and not run.step.fills
            )
            long_running_cpu += long_running_here
            usable = runner.listed and not runner.entry.draining
            if (
                usable
                and runner.id not in self._scheduler_state.draining_runners
            ):
                ready += 1
                capacity_cpu = runner.entry.capacity.cpu
                host_cpu = max(host_cpu, capacity_cpu)
                room_cpu = capacity_cpu - long_running_here
                most_room_cpu = max(most_room_cpu, room_cpu)
        if not host_cpu:
            host_cpu = max((host.capacity.cpu for host in hosts), default=0)
        return pool_sizing.PoolDemand(
            name=service,
            host_cpu=host_cpu,
            ready_hosts=ready,
            incoming_hosts=incoming_hosts,
            busy_cpu=busy_cpu,
            waiting_cpu=waiting.cpu,
            long_running_cpu=long_running_cpu,
            arriving_cpu=self._arriving_cpu(service, now),
            min_hosts=min_hosts,
            missing_label_count=missing_label_count,
            task_blocked=most_room_cpu < waiting.largest_cpu <= host_cpu,
        )

    def _arriving_cpu(self, service: str, now: float) -> float:
        arrivals = self._arrivals_by_service.get(service)
        if arrivals is None:
            return 0.0
        critical_path_s = self._critical_path_by_service.get(
            service, MIN_WINDOW_S
        )
        window_s = min(max(critical_path_s, MIN_WINDOW_S), MAX_WINDOW_S)
        while arrivals and arrivals[0][0] < now - window_s:
            arrivals.popleft()
        return sum(work for _, work in arrivals) / window_s

    def _measure_waiting(
        self, now: float
    ) -> tuple[dict[str, _WaitingWork], dict[str, int]]:
        """Return each service's waiting work and least number of hosts."""
        waiting_by_service: dict[str, _WaitingWork] = {}
        min_hosts_by_service: dict[str, int] = {}
        for job in self._scheduler_state.live_job_by_id.values():
            if job.status.ended:
                continue
            service = self._scheduler_state.service_of(job.job)
            self._record_arrival(job, service)
            for step in job.job.steps:
                if step.long_running:
                    min_hosts = min_hosts_by_service.get(service, 0)
                    min_hosts_by_service[service] = max(
                        min_hosts, task_placement.spread_runner_count(step)
                    )
            if not job.waiting_count:
                continue
            waiting = waiting_by_service.setdefault(service, _WaitingWork())
            for cpu in _waiting_cpus(job, now):
                waiting.cpu += cpu
                waiting.largest_cpu = max(waiting.largest_cpu, cpu)
        self._recorded_job_ids.intersection_update(
            self._scheduler_state.live_job_by_id
        )
        return waiting_by_service, min_hosts_by_service

    def _record_arrival(self, job: runs.JobState, service: str) -> None:
        if job.long_running or job.job.id in self._recorded_job_ids:
            return
        self._recorded_job_ids.add(job.job.id)
        work = sum(
            step.count
            * step.need.cpu
            * self._scheduler_state.expected_run_s(job.job, step)
            for step in job.job.steps
            if not step.fills
        )
        arrivals = self._arrivals_by_service.setdefault(
            service, collections.deque()
        )
        arrivals.append((job.arrived_at, work))
        critical_path_s = job_order.critical_path_s(job.job.steps)
        smoothed_s = self._critical_path_by_service.get(
            service, critical_path_s
        )
        self._critical_path_by_service[service] = (
            smoothed_s + CRITICAL_PATH_WEIGHT * (critical_path_s - smoothed_s)
        )


def _waiting_cpus(job: runs.JobState, now: float) -> Iterator[int]:
    for key in job.ready_steps(float("inf")):
        for run in job.runs_by_step[key]:
            if run.phase is runs.Phase.WAITING and run.not_before <= now:
                yield 0 if run.step.fills else run.step.need.cpu
