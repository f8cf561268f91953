"""Workers that run tasks under leases, in memory."""

import dataclasses
from typing import Any

from twisted.internet import interfaces


@dataclasses.dataclass(frozen=True)
class RunningTask:
    """A task on a worker; ends by itself at ``ends_at``."""

    task_id: str
    epoch: int
    lease_until: float
    ends_at: float
    remaining_s: float


class MemoryWorker:
    """One worker: refuses any command with an older epoch."""

    def __init__(self, name: str, reactor: interfaces.IReactorTime) -> None:
        self.name = name
        self.fail_all = False
        self.started: list[str] = []
        self._reactor = reactor
        self._highest_epoch = 0
        self._running_by_task: dict[str, RunningTask] = {}
        self._ended: list[dict[str, Any]] = []

    def _admit(self, epoch: int) -> bool:
        if epoch < self._highest_epoch:
            return False
        self._highest_epoch = epoch
        return True

    def start(
        self, task_id: str, epoch: int, lease_s: float, run_s: float
    ) -> bool:
        """Start a task, unless the epoch is older than one seen."""
        if not self._admit(epoch):
            return False
        self.settle()
        if task_id in self._running_by_task:
            return True
        now = self._reactor.seconds()
        self.started.append(task_id)
        if self.fail_all:
            self._ended.append({"task": task_id, "outcome": "failed"})
            return True
        self._running_by_task[task_id] = RunningTask(
            task_id, epoch, now + lease_s, now + run_s, run_s
        )
        return True

    def renew(self, task_ids: list[str], lease_s: float) -> None:
        """Extend the leases of tasks that run here."""
        self.settle()
        until = self._reactor.seconds() + lease_s
        for task_id in task_ids:
            task = self._running_by_task.get(task_id)
            if task is not None:
                self._running_by_task[task_id] = dataclasses.replace(
                    task, lease_until=until
                )

    def stop(self, task_id: str, epoch: int) -> bool:
        """Checkpoint and stop a task; return whether it was admitted."""
        if not self._admit(epoch):
            return False
        self.settle()
        task = self._running_by_task.pop(task_id, None)
        if task is not None:
            self._end_at_checkpoint(task, self._reactor.seconds())
        return True

    def _end_at_checkpoint(self, task: RunningTask, at: float) -> None:
        self._ended.append(
            {
                "task": task.task_id,
                "outcome": "checkpointed",
                "remaining_s": max(task.ends_at - at, 0.0),
            }
        )

    def settle(self) -> None:
        """End the tasks whose run time or lease is over."""
        now = self._reactor.seconds()
        for task in list(self._running_by_task.values()):
            if min(task.ends_at, task.lease_until) > now:
                continue
            del self._running_by_task[task.task_id]
            if task.ends_at <= task.lease_until:
                self._ended.append(
                    {"task": task.task_id, "outcome": "finished"}
                )
            else:
                self._end_at_checkpoint(task, task.lease_until)

    def report(self) -> dict[str, Any]:
        """Return what runs and what has ended, oldest first."""
        self.settle()
        return {
            "worker": self.name,
            "running": [
                {"task": task.task_id, "epoch": task.epoch}
                for task in self._running_by_task.values()
            ],
            "ended": list(self._ended),
        }
