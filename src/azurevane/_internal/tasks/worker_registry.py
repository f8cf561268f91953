"""State of each worker of a pool, as its placer knows it."""

import dataclasses

from azurevane._internal.models import control as control_models
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import task as task_models
from azurevane._internal.models import worker as worker_models
from azurevane._internal.policy import worker_index
from azurevane._internal.policy import worker_placement

# A worker without a new report for this long gets no new work until it
# reports again.
WORKER_SILENT_AFTER_S = 5.0
# A task lease lasts 60 s. Another control daemon may have renewed it up to
# 20 s after the last report seen here; 5 s allow for delays and differing
# clock rates.
WORKER_LOST_AFTER_S = 85.0
# Fraction of a worker's cores that may be reserved beyond its capacity. It
# fills gaps too small for the next task and slows tasks down by at most this
# fraction.
CPU_OVERCOMMIT_RATIO = 0.1

_NOTHING = task_models.Need(0.0, 0.0, 0.0)


@dataclasses.dataclass(slots=True)
class WorkerState:
    """A worker's reported state, reserved capacity and health.

    Attributes:
        committed: sum of the sizes of the tasks on the worker.
        sequence: number of its last report; -1 before the first.
        last_report_at: monotonic seconds at which its last new report
            arrived.
        epoch: highest epoch that the worker has reported.
        reserved_for: id of the only task that may start on it; empty if
            it isn't reserved.
    """

    host: manifest_models.Host
    capacity: task_models.Need
    committed: task_models.Need = _NOTHING
    size_by_task: dict[str, task_models.Need] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = -1
    last_report_at: float = 0.0
    epoch: int = 0
    health: worker_placement.WorkerHealth = dataclasses.field(
        default_factory=worker_placement.WorkerHealth
    )
    reserved_for: str = ""

    @property
    def free(self) -> task_models.Need:
        """Capacity not committed; components may be negative."""
        return self.capacity.minus(self.committed)


def _capacity(host: manifest_models.Host) -> task_models.Need:
    return task_models.Need(host.cores, host.memory_gb, host.accelerators)


class WorkerRegistry:
    """Owns the workers' states and the index of those open to new work.

    Attributes:
        version: incremented with each change that may affect placement.
        used_by_team: sum of the sizes of each team's tasks.
        reserved_worker_by_task: worker reserved for a task, by task id.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._view = control_models.PoolView("")
        self.state_by_worker: dict[str, WorkerState] = {}
        self.version = 0
        self.used_by_team: dict[str, task_models.Need] = {}
        self._team_by_task: dict[str, str] = {}
        self.reserved_worker_by_task: dict[str, str] = {}
        self.index = worker_index.WorkerIndex()

    def configure(
        self, now: float, view: control_models.PoolView
    ) -> list[str]:
        """Apply a new view; return the workers that left the pool."""
        self._view = view
        removed = [
            name
            for name in self.state_by_worker
            if name not in view.host_by_name
        ]
        for name in removed:
            for task_id in list(self.state_by_worker[name].size_by_task):
                self.remove_task(now, name, task_id)
            self.index.remove(name)
            del self.state_by_worker[name]
        for host in view.hosts:
            state = self.state_by_worker.get(host.name)
            if state is None:
                state = WorkerState(host, _capacity(host), last_report_at=now)
                self.state_by_worker[host.name] = state
            state.host = host
            state.capacity = _capacity(host)
            self.refresh(now, host.name)
        return removed

    def record_report(
        self, now: float, report: worker_models.WorkerReport
    ) -> bool:
        """Record a report; return False if it isn't a new one."""
        state = self.state_by_worker.get(report.worker)
        if state is None or report.sequence == state.sequence:
            return False
        state.sequence = report.sequence
        state.last_report_at = now
        indexed = report.worker in self.index
        if not indexed or state.epoch != report.epoch:
            state.epoch = report.epoch
            self.refresh(now, report.worker)
        return True

    def can_start(self, now: float, worker: str) -> bool:
        """Whether tasks may start on a worker now."""
        state = self.state_by_worker.get(worker)
        return (
            state is not None
            and self._view.accepts_work(state.host)
            and state.epoch == self._epoch
            and now - state.last_report_at <= WORKER_SILENT_AFTER_S
        )

    def refresh(self, now: float, worker: str) -> None:
        """Add a worker to the index, update or remove it."""
        state = self.state_by_worker[worker]
        health = state.health
        takes_work = (
            not state.reserved_for
            and now >= health.quarantined_until
            and not (health.on_trial and state.size_by_task)
            and self.can_start(now, worker)
        )
        self.version += 1
        if takes_work:
            extra = task_models.Need(
                CPU_OVERCOMMIT_RATIO * state.capacity.cores, 0.0
            )
            self.index.set_free_capacity(
                worker, state.free.plus(extra), state.capacity
            )
        else:
            self.index.remove(worker)

    def refresh_all(self, now: float) -> None:
        """Update the index for workers that fell silent or left quarantine."""
        for name, state in self.state_by_worker.items():
            silent = now - state.last_report_at > WORKER_SILENT_AFTER_S
            if silent == (name in self.index) or state.health.on_trial:
                self.refresh(now, name)

    def set_task_size(
        self, now: float, task: task_models.Task, size: task_models.Need
    ) -> None:
        """Reserve capacity for a task, or adjust it to a changed size."""
        state = self.state_by_worker.get(task.worker)
        if state is None:
            return
        before = state.size_by_task.get(task.task_id, _NOTHING)
        if size == before:
            return
        state.size_by_task[task.task_id] = size
        change = size.minus(before)
        state.committed = state.committed.plus(change)
        self._team_by_task[task.task_id] = task.team
        self._add_usage(task.team, change)
        self.refresh(now, task.worker)

    def remove_task(self, now: float, worker: str, task_id: str) -> None:
        """Free the capacity that was reserved for a task."""
        state = self.state_by_worker.get(worker)
        if state is None or task_id not in state.size_by_task:
            return
        size = state.size_by_task.pop(task_id)
        # Rounding errors add up in the sum, so reset it when no task is left.
        state.committed = (
            state.committed.minus(size) if state.size_by_task else _NOTHING
        )
        self._add_usage(self._team_by_task.pop(task_id), _NOTHING.minus(size))
        self.refresh(now, worker)

    def _add_usage(self, team: str, change: task_models.Need) -> None:
        used = self.used_by_team.get(team, _NOTHING)
        self.used_by_team[team] = used.plus(change)

    def reserve_worker(self, now: float, worker: str, task_id: str) -> None:
        """Reserve the capacity that becomes free on a worker for a task."""
        self.state_by_worker[worker].reserved_for = task_id
        self.reserved_worker_by_task[task_id] = worker
        self.refresh(now, worker)

    def drop_reservation(self, now: float, task_id: str) -> None:
        """Drop the reservation of a task, if it has one."""
        worker = self.reserved_worker_by_task.pop(task_id, None)
        if worker in self.state_by_worker:
            self.state_by_worker[worker].reserved_for = ""
            self.refresh(now, worker)

    def record_outcome(
        self, now: float, worker: str, task_id: str, failed: bool
    ) -> tuple[str, ...] | None:
        """Update the health of a worker after a task has ended on it.

        Returns:
            The tasks whose failures are attributed to the worker, if
            this failure put it into quarantine; else None.
        """
        state = self.state_by_worker.get(worker)
        if state is None:
            return None
        if not failed:
            state.health = worker_placement.WorkerHealth()
            return None
        blamed = (*state.health.failed_task_ids, task_id)
        state.health = worker_placement.health_after_failure(
            state.health, now, task_id
        )
        self.refresh(now, worker)
        return blamed if state.health.on_trial else None

    def find_lost(self, now: float) -> list[str]:
        """Return workers with tasks whose leases must have expired."""
        return [
            name
            for name, state in self.state_by_worker.items()
            if state.size_by_task
            and now - state.last_report_at > WORKER_LOST_AFTER_S
        ]
