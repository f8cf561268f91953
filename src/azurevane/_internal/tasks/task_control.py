"""The tasks and workers of a pool, and the steps that change them."""

import dataclasses
from typing import Any, TypeAlias

from azurevane._internal.events import catalogue
from azurevane._internal.events import task_events
from azurevane._internal.models import control as control_models
from azurevane._internal.models import rows as row_models
from azurevane._internal.models import task as task_models
from azurevane._internal.models import worker as worker_models
from azurevane._internal.policy import task_sizes
from azurevane._internal.tasks import task_ledger
from azurevane._internal.tasks import task_registry
from azurevane._internal.tasks import worker_registry

TASK_LEASE_S = 60.0
RESEND_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A numbered event to log."""

    event: catalogue.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another controller acts for the pool, under a higher epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """The records must be read again."""


Effect: TypeAlias = (
    worker_models.Command
    | row_models.WriteBatch
    | row_models.ReadRows
    | Note
    | Superseded
    | Reload
)


class TaskControl:
    """Owns a pool's tasks and workers, and what is to be done for them.

    A start is written before it is sent, so that the next controller
    knows of it. While the store is down starts are sent first, except
    those of at-most-once tasks, and written later.
    """

    def __init__(
        self, pool: str, epoch: int, ledger: task_ledger.TaskLedger
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self.ledger = ledger
        self.view = control_models.PoolView(pool, fresh=False)
        self.tasks = task_registry.TaskRegistry()
        self.workers = worker_registry.WorkerRegistry(epoch)
        self.estimate_by_kind: dict[str, task_sizes.SizeEstimate] = {}
        self.store_down = False
        self.effects: list[Effect] = []

    def size_of(self, task: task_models.Task) -> task_models.Need:
        """Return the size to plan a task with."""
        return task_sizes.expected_need(
            self.estimate_by_kind.get(kind_key(task)),
            task.declared,
            self.view.largest,
        )

    def start(
        self,
        now: float,
        record: task_registry.TaskRecord,
        worker: str,
        reasons: tuple[str, ...],
    ) -> None:
        """Start a queued task on a worker."""
        host = self.view.host_by_name[worker]
        assert host.zone not in self.view.zones_out, "start in a zone out"
        assert host.name not in self.view.draining, "start on draining host"
        assert record.task.phase == "queued", "start of a task that runs"
        self.tasks.dequeue(record)
        self.workers.unreserve(now, record.task.task_id)
        record.sent = False
        record.confirmed_at = None
        record.stop = ""
        record.absent = 0
        self.tasks.change(
            record,
            phase="running",
            worker=worker,
            attempts=record.task.attempts + 1,
            detail=" ".join(reasons),
        )
        self.ledger.started(record.task.team)
        self.workers.commit(now, record.task, record.size)
        if self.store_down and not record.task.at_most_once:
            self.send_start(now, record)

    def confirm(self, now: float, record: task_registry.TaskRecord) -> None:
        """Note that a worker runs, or ran, the attempt in force."""
        self.tasks.unconfirmed.discard(record.task.task_id)
        if record.confirmed_at is None:
            record.confirmed_at = now

    def stop(
        self,
        now: float,
        record: task_registry.TaskRecord,
        kind: str,
        reasons: tuple[str, ...],
    ) -> None:
        """Ask a worker to stop a task: ``checkpoint`` or ``cancel``."""
        task = record.task
        if record.stop != "cancel":
            record.stop = kind
        record.act_again_at = now + RESEND_S
        checkpoint = record.stop == "checkpoint"
        self.effects.append(
            worker_models.StopTask(
                task.worker,
                self.pool,
                self.epoch,
                task.task_id,
                task.attempts,
                checkpoint,
                reasons,
            )
        )
        self.effects.append(
            Note(
                task_events.TaskMoved(
                    task.task_id, task.worker, checkpoint, reasons
                )
            )
        )

    def release(self, now: float, record: task_registry.TaskRecord) -> None:
        """Count a task on its worker and for its team no longer."""
        assert record.task.phase == "running", "release of a waiting task"
        self.workers.release(now, record.task.worker, record.task.task_id)
        self.ledger.ended(record.task.team)
        self.tasks.unconfirmed.discard(record.task.task_id)

    def adopted(self, now: float, record: task_registry.TaskRecord) -> None:
        """Count a task that an earlier controller started."""
        task = record.task
        self.ledger.started(task.team)
        self.workers.commit(now, task, record.size)

    def requeue(
        self,
        now: float,
        record: task_registry.TaskRecord,
        detail: str,
        **changes: Any,
    ) -> None:
        """Let a task that ran wait again."""
        self.release(now, record)
        if record.stop == "cancel":
            self.end(now, record, "cancelled", detail)
            return
        record.size = self.size_of(record.task)
        record.stop = ""
        self.tasks.change(
            record, phase="queued", worker="", detail=detail, **changes
        )
        self.tasks.enqueue(record)

    def end(
        self,
        now: float,
        record: task_registry.TaskRecord,
        phase: str,
        reason: str,
    ) -> None:
        """End a task for good; it counts nowhere any more."""
        task = record.task
        assert task.phase in task_models.LIVE_PHASES, "a task ended twice"
        if task.phase == "queued":
            self.tasks.dequeue(record)
        self.workers.unreserve(now, task.task_id)
        self.tasks.unconfirmed.discard(task.task_id)
        self.tasks.change(record, phase=phase, detail=reason)
        if phase != "finished":
            self.effects.append(
                Note(
                    task_events.TaskStopped(
                        task.task_id, task.team, phase, reason
                    )
                )
            )

    def lose(
        self, now: float, record: task_registry.TaskRecord, reason: str
    ) -> None:
        """Settle a task whose worker doesn't run it any more."""
        if record.task.at_most_once and record.sent:
            self.release(now, record)
            self.end(now, record, "unknown", reason)
        else:
            self.requeue(now, record, reason)

    def send_written(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        if record.task.phase != "running" or record.sent:
            return
        if self.view.fresh and self.workers.startable(now, record.task.worker):
            self.send_start(now, record)
        else:
            self.requeue(now, record, "worker closed before the start")

    def send_start(self, now: float, record: task_registry.TaskRecord) -> None:
        task = record.task
        record.sent = True
        record.sent_at = now
        record.act_again_at = now + 2 * RESEND_S
        self.tasks.unconfirmed.add(task.task_id)
        self.effects.append(
            worker_models.StartTask(
                task.worker,
                self.pool,
                self.epoch,
                task,
                TASK_LEASE_S,
                task.run_s,
                (task.detail,),
            )
        )

    def fence(self, worker: str) -> None:
        """Make a worker refuse earlier controllers."""
        self.effects.append(
            worker_models.FenceWorker(
                worker,
                self.pool,
                self.epoch,
                self.view.assignment_by_host.get(worker, 0),
            )
        )


def kind_key(task: task_models.Task) -> str:
    """Return the name under which a task's size is learned."""
    return f"{task.team}/{task.kind}"


def sizes_row(pool: str) -> str:
    """Return the name of the row of a pool's learned sizes."""
    return f"sizes/{pool}"
