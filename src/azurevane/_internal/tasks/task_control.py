"""State of a pool's tasks and workers, and its transitions."""

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
RESEND_INTERVAL_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class EmitEvent:
    """Log a numbered event."""

    event: catalogue.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Give up the pool: another controller holds it under a higher epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadRecords:
    """Read the pool's records again: they differ from those kept here."""


Effect: TypeAlias = (
    worker_models.Command
    | row_models.WriteBatch
    | row_models.ReadRows
    | EmitEvent
    | Superseded
    | ReloadRecords
)


class TaskControl:
    """Owns a pool's tasks and workers, and the effects to carry out.

    A start is written before it is sent, so that the next controller
    knows of it. While the store is down, starts are sent first and
    written later, except those of at-most-once tasks.
    """

    def __init__(
        self, pool: str, epoch: int, ledger: task_ledger.TaskLedger
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self.ledger = ledger
        self.view = control_models.PoolView(pool)
        # Monotonic seconds until which work may start under the view.
        self.fresh_until = float("-inf")
        self.tasks = task_registry.TaskRegistry()
        self.workers = worker_registry.WorkerRegistry(epoch)
        self.estimate_by_kind: dict[str, task_sizes.SizeEstimate] = {}
        self.store_down = False
        self.effects: list[Effect] = []

    def expected_size(self, task: task_models.Task) -> task_models.Need:
        """Return the expected size of a task, for placing it."""
        return task_sizes.expected_need(
            self.estimate_by_kind.get(size_key(task)),
            task.declared,
            self.view.largest_capacity,
        )

    def start_task(
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
        self.workers.drop_reservation(now, record.task.task_id)
        record.start_sent = False
        record.confirmed_at = None
        record.stop_kind = ""
        record.missing_reports = 0
        self.tasks.update_task(
            record,
            phase="running",
            worker=worker,
            attempts=record.task.attempts + 1,
            detail=" ".join(reasons),
        )
        self.ledger.record_start(record.task.team)
        self.workers.set_task_size(now, record.task, record.size)
        if self.store_down and not record.task.at_most_once:
            self.send_start(now, record)

    def confirm_attempt(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Record that a worker runs or has run the current attempt."""
        self.tasks.unconfirmed.discard(record.task.task_id)
        if record.confirmed_at is None:
            record.confirmed_at = now

    def stop_task(
        self,
        now: float,
        record: task_registry.TaskRecord,
        kind: str,
        reasons: tuple[str, ...],
    ) -> None:
        """Ask a worker to stop a task.

        Args:
            kind: ``checkpoint`` or ``cancel``; a checkpoint does not
                replace an earlier cancellation.
        """
        task = record.task
        if record.stop_kind != "cancel":
            record.stop_kind = kind
        record.retry_at = now + RESEND_INTERVAL_S
        checkpoint = record.stop_kind == "checkpoint"
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
            EmitEvent(
                task_events.TaskMoved(
                    task.task_id, task.worker, checkpoint, reasons
                )
            )
        )

    def release_capacity(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Free a running task's capacity on its worker and for its team."""
        assert record.task.phase == "running", "release of a waiting task"
        self.workers.remove_task(now, record.task.worker, record.task.task_id)
        self.ledger.record_end(record.task.team)
        self.tasks.unconfirmed.discard(record.task.task_id)

    def count_adopted_task(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Count a task that a previous controller started."""
        task = record.task
        self.ledger.record_start(task.team)
        self.workers.set_task_size(now, task, record.size)

    def requeue_task(
        self,
        now: float,
        record: task_registry.TaskRecord,
        detail: str,
        **changes: Any,
    ) -> None:
        """Queue a running task again, or end it if it was cancelled.

        Args:
            changes: further fields of the task to change.
        """
        self.release_capacity(now, record)
        if record.stop_kind == "cancel":
            self.end_task(now, record, "cancelled", detail)
            return
        record.size = self.expected_size(record.task)
        record.stop_kind = ""
        self.tasks.update_task(
            record, phase="queued", worker="", detail=detail, **changes
        )
        self.tasks.enqueue(record)

    def end_task(
        self,
        now: float,
        record: task_registry.TaskRecord,
        phase: str,
        reason: str,
    ) -> None:
        """Move a task to a final phase and drop its reservation."""
        task = record.task
        assert task.phase in task_models.LIVE_PHASES, "a task ended twice"
        if task.phase == "queued":
            self.tasks.dequeue(record)
        self.workers.drop_reservation(now, task.task_id)
        self.tasks.unconfirmed.discard(task.task_id)
        self.tasks.update_task(record, phase=phase, detail=reason)
        if phase != "finished":
            self.effects.append(
                EmitEvent(
                    task_events.TaskStopped(
                        task.task_id, task.team, phase, reason
                    )
                )
            )

    def handle_lost_task(
        self, now: float, record: task_registry.TaskRecord, reason: str
    ) -> None:
        """Requeue a task that its worker no longer runs.

        An at-most-once task whose start was sent ends as ``unknown``
        instead.
        """
        if record.task.at_most_once and record.start_sent:
            self.release_capacity(now, record)
            self.end_task(now, record, "unknown", reason)
        else:
            self.requeue_task(now, record, reason)

    def send_recorded_start(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Send a start that has been written, if it is still to be sent.

        The task is requeued if its worker no longer accepts work.
        """
        if record.task.phase != "running" or record.start_sent:
            return
        fresh = now < self.fresh_until
        if fresh and self.workers.can_start(now, record.task.worker):
            self.send_start(now, record)
        else:
            self.requeue_task(now, record, "worker closed before the start")

    def send_start(self, now: float, record: task_registry.TaskRecord) -> None:
        """Send the start of the current attempt to its worker."""
        task = record.task
        record.start_sent = True
        record.start_sent_at = now
        record.retry_at = now + 2 * RESEND_INTERVAL_S
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

    def fence_worker(self, worker: str) -> None:
        """Make a worker refuse commands of previous controllers."""
        self.effects.append(
            worker_models.FenceWorker(
                worker,
                self.pool,
                self.epoch,
                self.view.assignment_by_host.get(worker, 0),
            )
        )


def size_key(task: task_models.Task) -> str:
    """Return the key of the size estimate for tasks like this one."""
    return f"{task.team}/{task.kind}"


def sizes_row(pool: str) -> str:
    """Return the name of the row with a pool's size estimates."""
    return f"sizes/{pool}"
