"""Computes the estimate by which the entry hosts admit jobs."""

import collections
from collections.abc import Iterable

from msgspec import structs

from azurevane._internal.models import admission
from azurevane._internal.models import job as job_models
from azurevane._internal.models import site
from azurevane._internal.policy import admission as admission_policy
from azurevane._internal.policy import pool_sizing
from azurevane._internal.scheduler import admission_backlog
from azurevane._internal.scheduler import host_table
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

# A queue is published once its backlog lasts this long; below, even a job
# with little slack has room.
MIN_BACKLOG_S = 0.25
# If more than this share of a pool's runners have room for a task that waits,
# the tasks wait for something else, such as their team's cap or a label.
MAX_FREE_FRACTION = 0.1
# Two renewals closer to each other carry the same estimate.
MIN_INTERVAL_S = 0.3
# What is left on average of the run times of tasks that are running.
RUNNING_FRACTION = 0.5
# A moved host's runner accepts tasks about this long after the move.
REGISTRATION_S = 0.5
# Hosts that accepted a job of the last seconds get a share of the room.
RECENT_JOBS_S = 10.0
# Bounds on what a renewal carries.
MAX_HOSTS = 100
MAX_TEAMS = 50


class AdmissionEstimator:
    """Makes the estimates of one term; times are monotonic seconds.

    Args:
        hosts: table of the fleet's hosts, if the leader manages them.
        move_s: how long the move of a host takes.
    """

    def __init__(
        self,
        token: int,
        scheduler_state: state_module.SchedulerState,
        hosts: host_table.HostTable | None,
        move_s: float,
    ) -> None:
        self._token = token
        self._scheduler_state = scheduler_state
        self._hosts = hosts
        self._move_s = move_s
        self._number = 0
        self._made_at = float("-inf")
        self._latest: admission.AdmissionEstimate | None = None
        self._known_by_job: dict[str, admission_backlog.KnownJob] = {}

    def estimate(
        self, now: float, max_bytes: float
    ) -> admission.AdmissionEstimate | None:
        """Return what to publish now; None if no queue has a backlog.

        Args:
            max_bytes: largest size of its published form. Queues for which
                it doesn't suffice are left out, so that all of their jobs
                are accepted.
        """
        if now - self._made_at >= MIN_INTERVAL_S:
            self._made_at = now
            self._number += 1
            self._latest = _bound_size(self._make_estimate(now), max_bytes)
        return self._latest

    def _make_estimate(self, now: float) -> admission.AdmissionEstimate | None:
        config = self._scheduler_state.config
        if config is None:
            return None
        jobs = [
            job
            for job in self._scheduler_state.live_job_by_id.values()
            if not (job.status.ended or job.long_running or job.job.repeats)
        ]
        if not any(job.waiting_count for job in jobs):
            return None
        backlog_by_key = self._measure_backlogs(jobs, now)
        live = self._scheduler_state.live_job_by_id
        for job_id in self._known_by_job.keys() - live.keys():
            del self._known_by_job[job_id]
        capacities = _Capacities(
            self._scheduler_state, self._hosts, self._move_s, now
        )
        estimates: list[admission.QueueEstimate] = []
        index_by_queue: dict[str, int] = {}
        index_by_key: dict[tuple[str, int], int | None] = {}
        for queue in config.queue_by_name.values():
            key = queue.service, queue.priority
            if key not in index_by_key:
                estimate = _estimate_queue(queue, backlog_by_key, capacities)
                index_by_key[key] = None
                if estimate is not None:
                    index_by_key[key] = len(estimates)
                    estimates.append(estimate)
            index = index_by_key[key]
            if index is not None:
                index_by_queue[queue.name] = index
        if not estimates:
            return None
        return admission.AdmissionEstimate(
            admission.VERSION,
            self._token,
            self._number,
            tuple(estimates),
            index_by_queue,
            admission_policy.divide_shares(_recent_hosts(jobs, now)),
            _teams_beyond_share(jobs),
        )

    def _measure_backlogs(
        self, jobs: Iterable[runs.JobState], now: float
    ) -> dict[tuple[str, int], admission_backlog.Backlog]:
        """Measure the services in which tasks wait."""
        backlog_by_key: dict[tuple[str, int], admission_backlog.Backlog] = {}
        waiting = {
            self._scheduler_state.service_of(job.job)
            for job in jobs
            if job.waiting_count
        }
        for job in jobs:
            service = self._scheduler_state.service_of(job.job)
            if service not in waiting:
                continue
            key = service, job.job.priority
            backlog = backlog_by_key.get(key)
            if backlog is None:
                backlog = backlog_by_key[key] = admission_backlog.Backlog()
            known = self._known_job(job.job)
            backlog.add_job(job, known, self._remaining_work(job), now)
        return backlog_by_key

    def _known_job(self, job: job_models.Job) -> admission_backlog.KnownJob:
        known = self._known_by_job.get(job.id)
        if known is None:
            needs = [step.need for step in job.steps if not step.fills]
            known = self._known_by_job[job.id] = admission_backlog.KnownJob(
                admission_policy.measure_job(job),
                min(needs, key=lambda need: need.cpu, default=None),
            )
        return known

    def _remaining_work(self, job: runs.JobState) -> tuple[float, float]:
        """Return the work of a job's unfinished tasks: CPU and memory.

        Counted by step rather than by task, so that the cost doesn't grow
        with the tasks.
        """
        cpu = memory = 0.0
        unfinished_count = 0
        for (_, index), count in job.unfinished_by_step.items():
            if not count:
                continue
            step = job.job.steps[index]
            unfinished_count += count
            run_s = step.estimate_s
            cpu += 0.0 if step.fills else count * run_s * step.need.cpu
            memory += count * run_s * step.need.memory
        if not unfinished_count:
            return 0.0, 0.0
        running = unfinished_count - job.waiting_count
        left = 1.0 - (1.0 - RUNNING_FRACTION) * running / unfinished_count
        return cpu * left, memory * left


class _Capacities:
    """Capacity of each service, ready and to come."""

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        hosts: host_table.HostTable | None,
        move_s: float,
        now: float,
    ) -> None:
        self.move_s = move_s
        self.ready_by_service: dict[str, admission.Amount] = {}
        self.coming_by_service: dict[str, admission.Amount] = {}
        self._idle_by_service: dict[str, admission.Amount] = {}
        self._free_by_service: dict[str, list[job_models.Capacity]] = {}
        self._standby = admission.Amount()
        host_count_by_service: dict[str, int] = collections.Counter()
        idle_hosts: list[tuple[str, admission.Amount]] = []
        for runner in scheduler_state.runner_by_id.values():
            if not scheduler_state.is_open_for_tasks(runner):
                continue
            service = runner.entry.service
            self._free_by_service.setdefault(service, []).append(
                runner.free_capacity()
            )
            host_count_by_service[service] += 1
            whole = runner.entry.capacity
            amount = admission.Amount(whole.cpu, whole.memory)
            if not runner.run_by_task:
                idle_hosts.append((service, amount))
            for run in runner.run_by_task.values():
                if run.step.long_running:
                    cpu = 0 if run.step.fills else run.step.need.cpu
                    used = admission.Amount(-cpu, -run.step.need.memory)
                    amount = amount.plus(used)
            _add(self.ready_by_service, service, amount)
        self._add_idle(idle_hosts, host_count_by_service)
        if hosts is not None:
            self._add_hosts(hosts, now)

    def _add_idle(
        self,
        idle_hosts: list[tuple[str, admission.Amount]],
        host_count_by_service: dict[str, int],
    ) -> None:
        for service, amount in idle_hosts:
            host_count_by_service[service] -= 1
            if (
                host_count_by_service[service]
                >= pool_sizing.MIN_HOSTS_PER_POOL
            ):
                _add(self._idle_by_service, service, amount)

    def _add_hosts(self, hosts: host_table.HostTable, now: float) -> None:
        typical = admission.Amount()
        for host in hosts.host_by_name.values():
            amount = admission.Amount(host.capacity.cpu, host.capacity.memory)
            typical = max(typical, amount, key=lambda each: each.cpu)
            if host.up and hosts.is_standby_pool(host.pool):
                self._standby = self._standby.plus(amount)
        for pool, count in hosts.incoming_by_pool(now).items():
            _add(self.coming_by_service, pool, typical.times(count))

    def free_fraction(self, service: str, need: job_models.Capacity) -> float:
        """Return the share of a service's runners with room for a task."""
        free = self._free_by_service.get(service, [])
        if not free:
            return 0.0
        fitting = sum(
            each.cpu >= need.cpu and each.memory >= need.memory
            for each in free
        )
        return fitting / len(free)

    def reserve(
        self, service: str, work_by_service: dict[str, float]
    ) -> admission.Amount:
        """Return a service's part of the standby and idle hosts.

        Services with a backlog share them in proportion to it.
        """
        idle = self._standby
        for other, amount in self._idle_by_service.items():
            if other != service:
                idle = idle.plus(amount)
        total = sum(work_by_service.values())
        own = work_by_service.get(service, 0.0)
        return idle.times(own / total if total else 1.0)


def _estimate_queue(
    queue: site.Queue,
    backlog_by_key: dict[tuple[str, int], admission_backlog.Backlog],
    capacities: _Capacities,
) -> admission.QueueEstimate | None:
    before = admission_backlog.Backlog()
    for (service, priority), backlog in backlog_by_key.items():
        if service == queue.service and priority <= queue.priority:
            before.add_all(backlog)
    need = before.least_need
    if not before.waiting or need is None:
        return None
    if capacities.free_fraction(queue.service, need) > MAX_FREE_FRACTION:
        return None
    ready = capacities.ready_by_service.get(queue.service, admission.Amount())
    backlog_cpu = before.useful.total_cpu + before.excess_useful.total_cpu
    if backlog_cpu < ready.cpu * MIN_BACKLOG_S:
        return None
    size = before.typical_size()
    coming = capacities.coming_by_service.get(queue.service)
    reserve = capacities.reserve(queue.service, _waiting_work(backlog_by_key))
    estimate = admission.QueueEstimate(
        ready.rounded(),
        (coming or admission.Amount()).rounded(),
        # Halfway through their moves on average.
        round(capacities.move_s / 2, 2),
        reserve.rounded(),
        round(capacities.move_s + REGISTRATION_S, 2),
        before.in_time.to_deadlines(),
        before.useful.to_deadlines(),
        before.excess_in_time.to_deadlines(),
        before.excess_useful.to_deadlines(),
        0.0,
        False,
        round(size.work.cpu),
    )
    return admission_policy.add_room(
        estimate, size, leadership.RENEWAL_INTERVAL_S
    )


def _bound_size(
    estimate: admission.AdmissionEstimate | None, max_bytes: float
) -> admission.AdmissionEstimate | None:
    """Leave out queues until the published form is small enough."""
    while estimate is not None and (
        len(bytes(admission.encode_estimate(estimate))) > max_bytes
    ):
        # Half of them at a time, as their sizes differ little.
        kept = len(estimate.queues) // 2
        if not kept:
            return None
        estimate = structs.replace(
            estimate,
            queues=estimate.queues[:kept],
            index_by_queue={
                name: index
                for name, index in estimate.index_by_queue.items()
                if index < kept
            },
        )
    return estimate


def _waiting_work(
    backlog_by_key: dict[tuple[str, int], admission_backlog.Backlog],
) -> dict[str, float]:
    """Return the work of the services in which tasks wait."""
    work_by_service: dict[str, float] = {}
    for (service, _), backlog in backlog_by_key.items():
        if backlog.waiting:
            work = work_by_service.get(service, 0.0)
            work_by_service[service] = work + backlog.job_cpu
    return work_by_service


def _add(
    amount_by_name: dict[str, admission.Amount],
    name: str,
    amount: admission.Amount,
) -> None:
    amount_by_name[name] = amount_by_name.get(name, admission.Amount()).plus(
        amount
    )


def _recent_hosts(jobs: Iterable[runs.JobState], now: float) -> dict[str, int]:
    """Return how many of the live jobs each host accepted recently."""
    counts = collections.Counter(
        job.job.accepted_by
        for job in jobs
        if job.job.accepted_by and now - job.arrived_at < RECENT_JOBS_S
    )
    return dict(counts.most_common(MAX_HOSTS))


def _teams_beyond_share(jobs: Iterable[runs.JobState]) -> tuple[str, ...]:
    teams = {
        job.job.team
        for job in jobs
        if job.beyond_share and job.waiting_count and job.job.team
    }
    return tuple(sorted(teams)[:MAX_TEAMS])
