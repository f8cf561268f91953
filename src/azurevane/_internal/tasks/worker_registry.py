"""What the placer knows of each worker of its pool."""

import dataclasses

from azurevane._internal.models import control as control_models
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import task as task_models
from azurevane._internal.models import worker as worker_models
from azurevane._internal.policy import placement
from azurevane._internal.policy import worker_index

# No new report for this long: no new work, until one comes.
SILENT_AFTER_S = 5.0
# A lease lasts 60 s. Some control daemon may have renewed it up to 20 s
# after the last report that was seen; 5 s are for lag and clock rates.
LOST_AFTER_S = 85.0
# Part of a worker's processors that may be promised beyond all of them:
# gaps too small for the next task are filled, and tasks slow down by no
# more than this.
OVERCOMMIT = 0.1

_NOTHING = task_models.Need(0.0, 0.0, 0.0)


@dataclasses.dataclass(slots=True)
class WorkerState:
    """One worker: reports, commitments, health."""

    host: manifest_models.Host
    capacity: task_models.Need
    committed: task_models.Need = _NOTHING
    size_by_task: dict[str, task_models.Need] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = -1
    advanced_at: float = 0.0
    epoch: int = 0
    health: placement.WorkerHealth = dataclasses.field(
        default_factory=placement.WorkerHealth
    )
    reserved_for: str = ""

    @property
    def free(self) -> task_models.Need:
        """Capacity that isn't committed; parts may be below zero."""
        return self.capacity.minus(self.committed)


def _capacity(host: manifest_models.Host) -> task_models.Need:
    return task_models.Need(host.cores, host.memory_gb, host.accelerators)


class WorkerRegistry:
    """Owns the workers' states and the index of those that take work."""

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._view = control_models.PoolView("")
        self.state_by_worker: dict[str, WorkerState] = {}
        self.version = 0
        self.used_by_team: dict[str, task_models.Need] = {}
        self._team_by_task: dict[str, str] = {}
        self.worker_by_reservation: dict[str, str] = {}
        self.index = worker_index.WorkerIndex()

    def configure(
        self, now: float, view: control_models.PoolView
    ) -> list[str]:
        """Follow a new view; return the workers that left the pool."""
        self._view = view
        left = [
            name
            for name in self.state_by_worker
            if name not in view.host_by_name
        ]
        for name in left:
            for task_id in list(self.state_by_worker[name].size_by_task):
                self.release(now, name, task_id)
            self.index.remove(name)
            del self.state_by_worker[name]
        for host in view.hosts:
            state = self.state_by_worker.get(host.name)
            if state is None:
                state = WorkerState(host, _capacity(host), advanced_at=now)
                self.state_by_worker[host.name] = state
            state.host = host
            state.capacity = _capacity(host)
            self.refresh(now, host.name)
        return left

    def advance(self, now: float, report: worker_models.WorkerReport) -> bool:
        """Take a report; False if it is no newer than the last one."""
        state = self.state_by_worker.get(report.worker)
        if state is None or report.sequence == state.sequence:
            return False
        state.sequence = report.sequence
        state.advanced_at = now
        listed = report.worker in self.index
        if not listed or state.epoch != report.epoch:
            state.epoch = report.epoch
            self.refresh(now, report.worker)
        return True

    def startable(self, now: float, worker: str) -> bool:
        """Whether work may start on a worker now."""
        state = self.state_by_worker.get(worker)
        return (
            state is not None
            and self._view.open_to_work(state.host)
            and state.epoch == self._epoch
            and now - state.advanced_at <= SILENT_AFTER_S
        )

    def refresh(self, now: float, worker: str) -> None:
        """Put a worker into the index, or take it out."""
        state = self.state_by_worker[worker]
        health = state.health
        offered = (
            not state.reserved_for
            and now >= health.quarantined_until
            and not (health.on_trial and state.size_by_task)
            and self.startable(now, worker)
        )
        self.version += 1
        if offered:
            extra = task_models.Need(OVERCOMMIT * state.capacity.cores, 0.0)
            self.index.set_free_capacity(
                worker, state.free.plus(extra), state.capacity
            )
        else:
            self.index.remove(worker)

    def refresh_all(self, now: float) -> None:
        """Follow what changes with time: silence and quarantine."""
        for name, state in self.state_by_worker.items():
            silent = now - state.advanced_at > SILENT_AFTER_S
            if silent == (name in self.index) or state.health.on_trial:
                self.refresh(now, name)

    def commit(
        self, now: float, task: task_models.Task, size: task_models.Need
    ) -> None:
        """Count a task, or its changed size, on its worker."""
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
        self._use(task.team, change)
        self.refresh(now, task.worker)

    def release(self, now: float, worker: str, task_id: str) -> None:
        """Count a task no longer."""
        state = self.state_by_worker.get(worker)
        if state is None or task_id not in state.size_by_task:
            return
        size = state.size_by_task.pop(task_id)
        # Sums of floats drift, so an empty worker is set to nothing.
        state.committed = (
            state.committed.minus(size) if state.size_by_task else _NOTHING
        )
        self._use(self._team_by_task.pop(task_id), _NOTHING.minus(size))
        self.refresh(now, worker)

    def _use(self, team: str, change: task_models.Need) -> None:
        used = self.used_by_team.get(team, _NOTHING)
        self.used_by_team[team] = used.plus(change)

    def reserve(self, now: float, worker: str, task_id: str) -> None:
        """Keep what gets free on a worker for one task."""
        self.state_by_worker[worker].reserved_for = task_id
        self.worker_by_reservation[task_id] = worker
        self.refresh(now, worker)

    def unreserve(self, now: float, task_id: str) -> None:
        """Drop the reservation of a task, if it has one."""
        worker = self.worker_by_reservation.pop(task_id, None)
        if worker in self.state_by_worker:
            self.state_by_worker[worker].reserved_for = ""
            self.refresh(now, worker)

    def ended(
        self, now: float, worker: str, task_id: str, failed: bool
    ) -> tuple[str, ...] | None:
        """Follow the health of a worker; returns tasks not to blame.

        Returns:
            The tasks whose failures were the worker's fault, if this
            failure put it into quarantine; else None.
        """
        state = self.state_by_worker.get(worker)
        if state is None:
            return None
        if not failed:
            state.health = placement.WorkerHealth()
            return None
        blamed = (*state.health.failed_task_ids, task_id)
        state.health = placement.health_after_failure(
            state.health, now, task_id
        )
        self.refresh(now, worker)
        return blamed if state.health.on_trial else None

    def lost(self, now: float) -> list[str]:
        """Return workers with tasks whose leases have surely lapsed."""
        return [
            name
            for name, state in self.state_by_worker.items()
            if state.size_by_task and now - state.advanced_at > LOST_AFTER_S
        ]
