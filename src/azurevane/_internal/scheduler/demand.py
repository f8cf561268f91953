"""Demand of each pool, as input for the sizing of pools."""

from collections.abc import Iterator
import dataclasses

from azurevane._internal.models import site
from azurevane._internal.policy import arrival_rate
from azurevane._internal.policy import job_order
from azurevane._internal.policy import pool_sizing
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

# Tasks of jobs that can't end in time any more are spread over this time, as
# hosts fetched for all of them at once would come too late to be of use.
LATE_WORK_SPREAD_S = 3.0


@dataclasses.dataclass(slots=True)
class _WaitingWork:
    """CPU of a service's waiting tasks, in total and of the largest one."""

    cpu: float = 0.0
    largest_cpu: int = 0


@dataclasses.dataclass(slots=True)
class _RunnerTotals:
    """Runners of a service and the CPU of their tasks."""

    ready: int = 0
    busy_cpu: int = 0
    long_running_cpu: int = 0
    host_cpu: int = 0
    most_room_cpu: int = 0


class DemandMeter:
    """Measures the demand of services; times are monotonic seconds.

    Args:
        lead_s: time from the command to move a host until it takes tasks.
    """

    def __init__(
        self, scheduler_state: state_module.SchedulerState, lead_s: float
    ) -> None:
        self._scheduler_state = scheduler_state
        self._lead_s = lead_s
        self._arrivals_by_service: dict[str, arrival_rate.ArrivalRate] = {}
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
        totals_by_service = self._runner_totals()
        demands = []
        for service in config.service_by_name.values():
            if service.standby:
                continue
            demands.append(
                self._pool_demand(
                    service.name,
                    totals_by_service.get(service.name, _RunnerTotals()),
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

    def _runner_totals(self) -> dict[str, _RunnerTotals]:
        totals_by_service: dict[str, _RunnerTotals] = {}
        draining = self._scheduler_state.draining_runners
        for runner in self._scheduler_state.runner_by_id.values():
            entry = runner.entry
            totals = totals_by_service.setdefault(
                entry.service, _RunnerTotals()
            )
            totals.busy_cpu += entry.capacity.cpu - runner.free_capacity().cpu
            # Copies use capacity that is there; no host is fetched for them.
            totals.busy_cpu -= sum(
                run.step.need.cpu
                for run in runner.run_by_task.values()
                if run.is_copy
            )
            long_running_here = sum(
                run.step.need.cpu
                for run in runner.run_by_task.values()
                if run.step.long_running and not run.step.fills
            )
            totals.long_running_cpu += long_running_here
            usable = runner.listed and not entry.draining
            if usable and runner.id not in draining:
                totals.ready += 1
                totals.host_cpu = max(totals.host_cpu, entry.capacity.cpu)
                totals.most_room_cpu = max(
                    totals.most_room_cpu,
                    entry.capacity.cpu - long_running_here,
                )
        return totals_by_service

    def _pool_demand(
        self,
        service: str,
        totals: _RunnerTotals,
        waiting: _WaitingWork,
        min_hosts: int,
        incoming_hosts: int,
        missing_label_count: int,
        hosts: list[site.Host],
        now: float,
    ) -> pool_sizing.PoolDemand:
        host_cpu = totals.host_cpu
        if not host_cpu:
            host_cpu = max((host.capacity.cpu for host in hosts), default=0)
        arrivals = self._arrivals_by_service.get(service)
        arriving_cpu = 0.0
        if arrivals is not None:
            arriving_cpu = arrivals.arriving_cpu(now, self._lead_s)
        return pool_sizing.PoolDemand(
            name=service,
            host_cpu=host_cpu,
            ready_hosts=totals.ready,
            incoming_hosts=incoming_hosts,
            busy_cpu=totals.busy_cpu,
            waiting_cpu=round(waiting.cpu),
            long_running_cpu=totals.long_running_cpu,
            arriving_cpu=arriving_cpu,
            min_hosts=min_hosts,
            missing_label_count=missing_label_count,
            task_blocked=(
                totals.most_room_cpu < waiting.largest_cpu <= host_cpu
            ),
        )

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
            self._add_waiting(job, waiting, now)
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
            service, arrival_rate.ArrivalRate()
        )
        arrivals.count_job(
            job.arrived_at, work, job_order.critical_path_s(job.job.steps)
        )

    def _add_waiting(
        self, job: runs.JobState, waiting: _WaitingWork, now: float
    ) -> None:
        in_time = (
            job.long_running
            or bool(job.job.repeats)
            or now <= job.objective_at - job.remaining_s
        )
        for key in job.ready_steps(float("inf")):
            step = job.job.steps[key[1]]
            if step.fills:
                continue
            count = sum(
                run.phase is runs.Phase.WAITING and run.not_before <= now
                for run in job.runs_by_step[key]
            )
            if not count:
                continue
            cpu = step.need.cpu
            waiting.largest_cpu = max(waiting.largest_cpu, cpu)
            share = 1.0
            if not in_time:
                run_s = self._scheduler_state.expected_run_s(job.job, step)
                share = min(run_s / LATE_WORK_SPREAD_S, 1.0)
            waiting.cpu += count * cpu * share
