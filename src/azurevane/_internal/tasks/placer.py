"""Starts, stops and ends the tasks of a pool, and writes their records."""

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

WRITE_RETRY_INTERVAL_S = 0.6
SIZES_WRITE_INTERVAL_S = 60.0
# After a takeover, tasks start only once every worker has been fenced and has
# reported, or after this long.
MAX_REPORT_WAIT_S = 0.6


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
        self._delays_starts = False
        self._last_batch_number = 0
        self._batch: row_models.WriteBatch | None = None
        self._batch_retry_at: float | None = None
        self._batch_result_unknown = False
        self._sizes_due_at = 0.0
        self._workers_checked_at = 0.0

    @property
    def epoch(self) -> int:
        """Epoch of the controller lease under which the placer acts."""
        return self.control.epoch

    @property
    def awaits_reports(self) -> bool:
        """Whether starts depend on the next reports of the workers."""
        return bool(
            not self._all_reported()
            or self.control.workers.reserved_worker_by_task
        )

    def are_starts_known(self, now: float) -> bool:
        """Whether all starts of previous controllers have records.

        Each worker has reported what it runs, and the records are written;
        or the leases of starts without a record have expired.
        """
        if self._loaded_at is None:
            return False
        if now - self._loaded_at > worker_registry.WORKER_LOST_AFTER_S:
            return True
        written = (
            self._batch is None and not self.control.tasks.unwritten_count
        )
        return written and not self._delays_starts

    def configure(
        self, now: float, view: control_models.PoolView
    ) -> list[task_control.Effect]:
        """Apply a new view of the pool."""
        self.control.view = view
        for worker in self.control.workers.configure(now, view):
            for record in list(self.control.tasks.running_records()):
                if record.task.worker == worker:
                    record.retry_at = now
        self._planner.fail_impossible_tasks(now)
        return self._take_effects()

    def set_fresh_until(self, fresh_until: float) -> None:
        """Set until when work may start under the view of the pool."""
        self.control.fresh_until = fresh_until

    def load_records(
        self,
        now: float,
        tasks: Iterable[row_models.StoredRow],
        stored_estimates: Any,
        uncertain: bool,
    ) -> list[task_control.Effect]:
        """Load the records of the pool after a takeover.

        Args:
            tasks: rows of the live tasks.
            stored_estimates: size estimates by ``size_key``, as stored;
                None if there are none.
            uncertain: whether the previous controller may have started
                tasks during an outage without recording them.
        """
        self.control.estimate_by_kind = msgspec.convert(
            stored_estimates or {}, type=dict[str, task_sizes.SizeEstimate]
        )
        for row in tasks:
            task = msgspec.convert(row.value, type=task_models.Task)
            record = task_registry.TaskRecord(
                task, self.control.expected_size(task), row.version, now
            )
            if task.phase == "running":
                record.start_sent = True
                record.start_sent_at = now
                self.control.tasks.unconfirmed.add(task.task_id)
                # It isn't known whether the previous controller sent the
                # start; sending it again does no harm.
                record.retry_at = now + task_control.RESEND_INTERVAL_S
                self.control.ledger.record_start(task.team)
            elif uncertain:
                record.start_not_before = (
                    now + worker_registry.WORKER_LOST_AFTER_S
                )
            self.control.tasks.add_record(record)
            if task.phase == "running":
                self.control.workers.set_task_size(now, task, record.size)
        self._loaded_at = now
        self._delays_starts = uncertain
        self._fence_all()
        self._planner.fail_impossible_tasks(now)
        return self._take_effects()

    def handle_submission(
        self, now: float, row: row_models.StoredRow, inbox_row: str
    ) -> list[task_control.Effect]:
        """Add a task whose record was written by an entry host."""
        task = msgspec.convert(row.value, type=task_models.Task)
        self.control.tasks.processed_inbox_rows.add(inbox_row)
        if task.task_id not in self.control.tasks.record_by_id:
            record = task_registry.TaskRecord(
                task, self.control.expected_size(task), row.version, now
            )
            if task.phase == "queued":
                self.control.tasks.add_record(record)
                self._planner.fail_impossible_tasks(now, [record])
        return self._take_effects()

    def cancel_tasks(
        self, now: float, inbox_row_by_task: dict[str, str]
    ) -> list[task_control.Effect]:
        """Cancel many tasks in one pass."""
        self.control.tasks.processed_inbox_rows.update(
            inbox_row_by_task.values()
        )
        waiting = set()
        for task_id in inbox_row_by_task:
            record = self.control.tasks.record_by_id.get(task_id)
            if record is None:
                continue
            if record.task.phase == "queued":
                waiting.add(task_id)
            elif record.task.phase == "running":
                self._cancel_running(now, record)
        self.control.tasks.dequeue_many(waiting)
        for task_id in waiting:
            self.control.end_task(
                now,
                self.control.tasks.record_by_id[task_id],
                "cancelled",
                "cancelled",
            )
        return self._take_effects()

    def merge_reports(
        self, now: float, reports: Iterable[worker_models.WorkerReport]
    ) -> list[task_control.Effect]:
        """Merge reports of workers.

        If one shows a higher epoch, the pool is to be given up instead.
        """
        for report in reports:
            if report.worker not in self.control.workers.state_by_worker:
                continue
            if report.epoch > self.epoch:
                self.control.effects.append(
                    task_control.Superseded(report.epoch)
                )
                break
            if self.control.workers.record_report(now, report):
                self._merger.merge_report(now, report)
        return self._take_effects()

    def handle_start_result(
        self, now: float, task_id: str, attempt: int, admitted: bool | None
    ) -> list[task_control.Effect]:
        """Process a worker's answer to a start.

        Args:
            admitted: None if no answer arrived.
        """
        record = self.control.tasks.record_by_id.get(task_id)
        if record is None or record.task.attempts != attempt:
            return []
        if record.task.phase != "running":
            return []
        if admitted:
            self.control.confirm_attempt(now, record)
        elif admitted is None:
            record.retry_at = now + task_control.RESEND_INTERVAL_S
        else:
            worker = self.control.workers.state_by_worker.get(
                record.task.worker
            )
            if worker is not None:
                worker.epoch = 0
            self.control.requeue_task(
                now, record, "start refused by the worker"
            )
        return self._take_effects()

    def handle_write_result(
        self,
        now: float,
        number: int,
        applied: bool | None,
        version_by_row: dict[str, int],
    ) -> list[task_control.Effect]:
        """Process the answer to a write.

        Args:
            applied: False if a check failed; None if no answer arrived.
        """
        batch = self._batch
        if batch is None or batch.number != number:
            return []
        if applied is None:
            # Repeat the same write: if the first one was applied, the
            # second fails its checks, and the token in the rows shows it.
            self._batch_result_unknown = True
            self._batch_retry_at = now + WRITE_RETRY_INTERVAL_S
        elif applied:
            self._handle_batch_applied(now, version_by_row)
        elif self._batch_result_unknown:
            self.control.effects.append(
                row_models.ReadRows(number, tuple(batch.value_by_row))
            )
        else:
            self.control.effects.append(task_control.ReloadRecords())
        return self._take_effects()

    def handle_rows_read(
        self, now: float, number: int, rows: list[row_models.StoredRow] | None
    ) -> list[task_control.Effect]:
        """Process rows read back to find out whether a write was applied.

        Args:
            rows: None if they couldn't be read.
        """
        batch = self._batch
        if batch is None or batch.number != number:
            return []
        if rows is None:
            self._batch_retry_at = now + WRITE_RETRY_INTERVAL_S
        elif self.control.tasks.is_batch_applied(batch, rows):
            self._handle_batch_applied(
                now, {row.name: row.version for row in rows}
            )
        else:
            self.control.effects.append(task_control.ReloadRecords())
        return self._take_effects()

    def tick(self, now: float, store_down: bool) -> list[task_control.Effect]:
        """Return the effects that are due; call after every change."""
        self.control.store_down = store_down
        if self._loaded_at is None:
            return []
        if now - self._workers_checked_at >= 1.0:
            self._workers_checked_at = now
            self.control.workers.refresh_all(now)
            self._handle_lost_workers(now)
        self._repeat_starts(now)
        self._drain_hosts(now)
        if self._may_start_tasks(now) and now < self.control.fresh_until:
            self._planner.start_waiting_tasks(now)
        self._write_changes(now)
        return self._take_effects()

    def close(self) -> None:
        """Give up the pool; the next controller takes over its tasks."""
        for record in self.control.tasks.running_records():
            self.control.ledger.record_end(record.task.team)
        self.control.tasks = task_registry.TaskRegistry()
        self._loaded_at = None

    def _take_effects(self) -> list[task_control.Effect]:
        effects, self.control.effects = self.control.effects, []
        return effects

    def _fence_all(self) -> None:
        for name, state in self.control.workers.state_by_worker.items():
            if state.epoch < self.epoch:
                self.control.fence_worker(name)

    def _all_reported(self) -> bool:
        return all(
            state.epoch == self.control.epoch
            for state in self.control.workers.state_by_worker.values()
        )

    def _may_start_tasks(self, now: float) -> bool:
        assert self._loaded_at is not None
        reported = self._all_reported()
        if reported and self._delays_starts:
            # Every worker has reported what it runs, so no queued task
            # can be running already.
            self._delays_starts = False
            for record in self.control.tasks.record_by_id.values():
                record.start_not_before = 0.0
        return reported or now - self._loaded_at >= MAX_REPORT_WAIT_S

    def _cancel_running(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        if record.start_sent:
            self.control.stop_task(now, record, "cancel", ("cancelled",))
            return
        self.control.release_capacity(now, record)
        self.control.end_task(
            now, record, "cancelled", "cancelled before it started"
        )

    def _repeat_starts(self, now: float) -> None:
        """Resend starts until the worker answers or reports the task."""
        for task_id in list(self.control.tasks.unconfirmed):
            record = self.control.tasks.record_by_id[task_id]
            # A restarted worker has forgotten its attempts, so the start
            # of an at-most-once task is never sent twice.
            if (
                now < record.retry_at
                or record.stop_kind
                or record.task.at_most_once
            ):
                continue
            if self.control.workers.can_start(now, record.task.worker):
                self.control.send_start(now, record)
        if not self.control.store_down:
            return
        for record in self.control.tasks.running_records():
            if not record.start_sent and not record.task.at_most_once:
                self.control.send_recorded_start(now, record)

    def _drain_hosts(self, now: float) -> None:
        """Checkpoint tasks in zones that are out and on draining hosts.

        Tasks whose start hasn't been sent yet are queued again instead.
        """
        if not (self.control.view.zones_out or self.control.view.draining):
            return
        for name, state in self.control.workers.state_by_worker.items():
            if not state.size_by_task or self.control.view.accepts_work(
                state.host
            ):
                continue
            for task_id in list(state.size_by_task):
                record = self.control.tasks.record_by_id[task_id]
                if not record.start_sent:
                    self.control.requeue_task(now, record, "host closed")
                elif not record.stop_kind:
                    self.control.stop_task(
                        now, record, "checkpoint", ("host closed", name)
                    )

    def _handle_lost_workers(self, now: float) -> None:
        for name in self.control.workers.find_lost(now):
            state = self.control.workers.state_by_worker[name]
            for task_id in list(state.size_by_task):
                self.control.handle_lost_task(
                    now,
                    self.control.tasks.record_by_id[task_id],
                    f"worker {name} is silent and its leases have lapsed",
                )
        for record in list(self.control.tasks.running_records()):
            # The host has left the pool: its tasks stop when their leases
            # expire.
            if record.task.worker in self.control.workers.state_by_worker:
                continue
            if record.retry_at + worker_registry.WORKER_LOST_AFTER_S < now:
                self.control.handle_lost_task(
                    now, record, "worker left the pool"
                )

    def _write_changes(self, now: float) -> None:
        if self._batch is not None:
            if (
                self._batch_retry_at is not None
                and now >= self._batch_retry_at
            ):
                self._batch_retry_at = None
                self.control.effects.append(self._batch)
            return
        if now >= self._sizes_due_at and not self.control.store_down:
            self._sizes_due_at = now + SIZES_WRITE_INTERVAL_S
            if self.control.estimate_by_kind:
                self.control.tasks.extra_value_by_row[
                    task_control.sizes_row(self.control.pool)
                ] = msgspec.to_builtins(self.control.estimate_by_kind)
        self._last_batch_number += 1
        self._batch = self.control.tasks.next_batch(
            self._last_batch_number,
            self._new_token(),
            controller_lease.fence_row(self.control.pool),
            self._fence_version,
        )
        self._batch_result_unknown = False
        if self._batch is not None:
            self.control.effects.append(self._batch)

    def _handle_batch_applied(
        self, now: float, version_by_row: dict[str, int]
    ) -> None:
        self._batch = None
        self._batch_retry_at = None
        for record in self.control.tasks.handle_batch_applied(version_by_row):
            self.control.send_recorded_start(now, record)
