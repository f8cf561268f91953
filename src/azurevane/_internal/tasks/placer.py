"""Owns the queue of a pool: places, moves and ends its tasks."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from azurevane._internal.models import control as control_models
from azurevane._internal.models import rows as row_models
from azurevane._internal.models import task as task_models
from azurevane._internal.models import worker as worker_models
from azurevane._internal.policy import task_sizes
from azurevane._internal.tasks import controller_lease
from azurevane._internal.tasks import report_merger
from azurevane._internal.tasks import start_planner
from azurevane._internal.tasks import task_control
from azurevane._internal.tasks import task_ledger
from azurevane._internal.tasks import task_registry
from azurevane._internal.tasks import worker_registry

WRITE_RETRY_S = 0.6
SIZES_INTERVAL_S = 60.0
# After a takeover workers get this long to be fenced and to report.
SETTLE_S = 0.6


class Placer:
    """Places the tasks of one pool under one epoch of its lease."""

    def __init__(
        self,
        pool: str,
        held: controller_lease.HeldLease,
        ledger: task_ledger.TaskLedger,
        new_token: Callable[[], str],
    ) -> None:
        self.control = task_control.TaskControl(pool, held.epoch, ledger)
        self._fence_version = held.fence_version
        self._new_token = new_token
        self._planner = start_planner.StartPlanner(self.control)
        self._merger = report_merger.ReportMerger(self.control)
        self._loaded_at: float | None = None
        self._holding = False
        self._number = 0
        self._batch: row_models.WriteBatch | None = None
        self._batch_retry_at: float | None = None
        self._batch_lost = False
        self._sizes_due_at = 0.0
        self._checked_at = 0.0

    @property
    def epoch(self) -> int:
        """Epoch of the lease that it acts under."""
        return self.control.epoch

    @property
    def awaits_reports(self) -> bool:
        """Whether the next reports decide about starts."""
        return bool(
            not self._all_reported()
            or self.control.workers.worker_by_reservation
        )

    def configure(
        self, now: float, view: control_models.PoolView
    ) -> list[task_control.Effect]:
        """Follow a new view of the pool."""
        self.control.view = view
        for worker in self.control.workers.configure(now, view):
            for record in list(self.control.tasks.running()):
                if record.task.worker == worker:
                    record.act_again_at = now
        self._planner.stop_impossible(now)
        return self._take()

    def load(
        self,
        now: float,
        tasks: Iterable[row_models.StoredRow],
        learned: Any,
        uncertain: bool,
    ) -> list[task_control.Effect]:
        """Take over the records of the pool.

        Args:
            uncertain: whether the last controller may have started tasks
                during an outage without recording them.
        """
        self.control.estimate_by_kind = msgspec.convert(
            learned or {}, type=dict[str, task_sizes.SizeEstimate]
        )
        for row in tasks:
            task = msgspec.convert(row.value, type=task_models.Task)
            record = task_registry.TaskRecord(
                task, self.control.size_of(task), row.version, now
            )
            if task.phase == "running":
                record.sent = True
                record.sent_at = now
                self.control.tasks.unconfirmed.add(task.task_id)
                # Whether the last controller sent the start isn't known;
                # sending it again does no harm.
                record.act_again_at = now + task_control.RESEND_S
                self.control.ledger.started(task.team)
            elif uncertain:
                record.hold_until = now + worker_registry.LOST_AFTER_S
            self.control.tasks.add(record)
            if task.phase == "running":
                self.control.workers.commit(now, task, record.size)
        self._loaded_at = now
        self._holding = uncertain
        self._fence_all()
        self._planner.stop_impossible(now)
        return self._take()

    def submitted(
        self, now: float, row: row_models.StoredRow, inbox_row: str
    ) -> list[task_control.Effect]:
        """Take a task whose record was written by an entry host."""
        task = msgspec.convert(row.value, type=task_models.Task)
        self.control.tasks.inbox_done.add(inbox_row)
        if task.task_id not in self.control.tasks.record_by_id:
            record = task_registry.TaskRecord(
                task, self.control.size_of(task), row.version, now
            )
            if task.phase == "queued":
                self.control.tasks.add(record)
                self._planner.stop_impossible(now, [record])
        return self._take()

    def cancel(
        self, now: float, inbox_row_by_task: dict[str, str]
    ) -> list[task_control.Effect]:
        """Cancel a wave of tasks in one pass."""
        self.control.tasks.inbox_done.update(inbox_row_by_task.values())
        waiting = set()
        for task_id in inbox_row_by_task:
            record = self.control.tasks.record_by_id.get(task_id)
            if record is None:
                continue
            if record.task.phase == "queued":
                waiting.add(task_id)
            elif record.task.phase == "running":
                self._cancel_running(now, record)
        self.control.tasks.drop_waiting(waiting)
        for task_id in waiting:
            self.control.end(
                now,
                self.control.tasks.record_by_id[task_id],
                "cancelled",
                "cancelled",
            )
        return self._take()

    def reports(
        self, now: float, reports: Iterable[worker_models.WorkerReport]
    ) -> list[task_control.Effect]:
        """Merge the reports of workers."""
        for report in reports:
            if report.worker not in self.control.workers.state_by_worker:
                continue
            if report.epoch > self.epoch:
                self.control.effects.append(
                    task_control.Superseded(report.epoch)
                )
                break
            if self.control.workers.advance(now, report):
                self._merger.merge(now, report)
        return self._take()

    def start_answered(
        self, now: float, task_id: str, attempt: int, admitted: bool | None
    ) -> list[task_control.Effect]:
        """Take the answer to a start; None if there was none."""
        record = self.control.tasks.record_by_id.get(task_id)
        if record is None or record.task.attempts != attempt:
            return []
        if record.task.phase != "running":
            return []
        if admitted:
            self.control.confirm(now, record)
        elif admitted is None:
            record.act_again_at = now + task_control.RESEND_S
        else:
            worker = self.control.workers.state_by_worker.get(
                record.task.worker
            )
            if worker is not None:
                worker.epoch = 0
            self.control.requeue(now, record, "start refused by the worker")
        return self._take()

    def write_answered(
        self,
        now: float,
        number: int,
        applied: bool | None,
        version_by_row: dict[str, int],
    ) -> list[task_control.Effect]:
        """Take the answer to a write; None if there was none."""
        batch = self._batch
        if batch is None or batch.number != number:
            return []
        if applied is None:
            # The same write again: if the first took effect, the second
            # fails its checks, and the token shows which it was.
            self._batch_lost = True
            self._batch_retry_at = now + WRITE_RETRY_S
        elif applied:
            self._batch_done(now, version_by_row)
        elif self._batch_lost:
            self.control.effects.append(
                row_models.ReadRows(number, tuple(batch.value_by_row))
            )
        else:
            self.control.effects.append(task_control.Reload())
        return self._take()

    def rows_read(
        self, now: float, number: int, rows: list[row_models.StoredRow] | None
    ) -> list[task_control.Effect]:
        """Take rows that settle a write; None if they weren't read."""
        batch = self._batch
        if batch is None or batch.number != number:
            return []
        if rows is None:
            self._batch_retry_at = now + WRITE_RETRY_S
        elif self.control.tasks.written_by(batch, rows):
            self._batch_done(now, {row.name: row.version for row in rows})
        else:
            self.control.effects.append(task_control.Reload())
        return self._take()

    def tick(self, now: float, store_down: bool) -> list[task_control.Effect]:
        """Decide what is due; call whenever anything has changed."""
        self.control.store_down = store_down
        if self._loaded_at is None:
            return []
        if now - self._checked_at >= 1.0:
            self._checked_at = now
            self.control.workers.refresh_all(now)
            self._lose_silent(now)
        self._repeat_starts(now)
        self._leave_closed_hosts(now)
        if self._settled(now) and self.control.view.fresh:
            self._planner.place(now)
        self._write(now)
        return self._take()

    def close(self) -> None:
        """Give the pool up; what is under way is settled by the next."""
        for record in self.control.tasks.running():
            self.control.ledger.ended(record.task.team)
        self.control.tasks = task_registry.TaskRegistry()
        self._loaded_at = None

    def _take(self) -> list[task_control.Effect]:
        effects, self.control.effects = self.control.effects, []
        return effects

    def _fence_all(self) -> None:
        for name, state in self.control.workers.state_by_worker.items():
            if state.epoch < self.epoch:
                self.control.fence(name)

    def _all_reported(self) -> bool:
        return all(
            state.epoch == self.control.epoch
            for state in self.control.workers.state_by_worker.values()
        )

    def _settled(self, now: float) -> bool:
        assert self._loaded_at is not None
        reported = self._all_reported()
        if reported and self._holding:
            # Every worker has shown what it runs, so nothing that waits
            # can run already.
            self._holding = False
            for record in self.control.tasks.record_by_id.values():
                record.hold_until = 0.0
        return reported or now - self._loaded_at >= SETTLE_S

    def _cancel_running(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        if record.sent:
            self.control.stop(now, record, "cancel", ("cancelled",))
            return
        self.control.release(now, record)
        self.control.end(
            now, record, "cancelled", "cancelled before it started"
        )

    def _repeat_starts(self, now: float) -> None:
        """Send starts again until the worker or its reports answer."""
        for task_id in list(self.control.tasks.unconfirmed):
            record = self.control.tasks.record_by_id[task_id]
            # A worker that restarted has forgotten its attempts, so an
            # at-most-once start is never sent twice.
            if (
                now < record.act_again_at
                or record.stop
                or record.task.at_most_once
            ):
                continue
            if self.control.workers.startable(now, record.task.worker):
                self.control.send_start(now, record)
        if not self.control.store_down:
            return
        for record in self.control.tasks.running():
            if not record.sent and not record.task.at_most_once:
                self.control.send_written(now, record)

    def _leave_closed_hosts(self, now: float) -> None:
        """Checkpoint what runs in zones out and on draining hosts."""
        if not (self.control.view.zones_out or self.control.view.draining):
            return
        for name, state in self.control.workers.state_by_worker.items():
            if not state.size_by_task or self.control.view.open_to_work(
                state.host
            ):
                continue
            for task_id in list(state.size_by_task):
                record = self.control.tasks.record_by_id[task_id]
                if not record.sent:
                    self.control.requeue(now, record, "host closed")
                elif not record.stop:
                    self.control.stop(
                        now, record, "checkpoint", ("host closed", name)
                    )

    def _lose_silent(self, now: float) -> None:
        for name in self.control.workers.lost(now):
            state = self.control.workers.state_by_worker[name]
            for task_id in list(state.size_by_task):
                self.control.lose(
                    now,
                    self.control.tasks.record_by_id[task_id],
                    f"worker {name} is silent and its leases have lapsed",
                )
        for record in list(self.control.tasks.running()):
            # A host that left the pool: its tasks stop at their leases.
            if record.task.worker in self.control.workers.state_by_worker:
                continue
            if record.act_again_at + worker_registry.LOST_AFTER_S < now:
                self.control.lose(now, record, "worker left the pool")

    def _write(self, now: float) -> None:
        if self._batch is not None:
            if (
                self._batch_retry_at is not None
                and now >= self._batch_retry_at
            ):
                self._batch_retry_at = None
                self.control.effects.append(self._batch)
            return
        if now >= self._sizes_due_at and not self.control.store_down:
            self._sizes_due_at = now + SIZES_INTERVAL_S
            if self.control.estimate_by_kind:
                self.control.tasks.extra_by_row[
                    task_control.sizes_row(self.control.pool)
                ] = msgspec.to_builtins(self.control.estimate_by_kind)
        self._number += 1
        self._batch = self.control.tasks.next_batch(
            self._number,
            self._new_token(),
            controller_lease.fence_row(self.control.pool),
            self._fence_version,
        )
        self._batch_lost = False
        if self._batch is not None:
            self.control.effects.append(self._batch)

    def _batch_done(self, now: float, version_by_row: dict[str, int]) -> None:
        self._batch = None
        self._batch_retry_at = None
        for record in self.control.tasks.applied(version_by_row):
            self.control.send_written(now, record)
