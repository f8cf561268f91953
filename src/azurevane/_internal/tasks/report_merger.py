"""Merges workers' reports into a placer's task records."""

from azurevane._internal.events import task_events
from azurevane._internal.models import task as task_models
from azurevane._internal.models import worker as worker_models
from azurevane._internal.policy import task_sizes
from azurevane._internal.policy import worker_placement
from azurevane._internal.tasks import task_control
from azurevane._internal.tasks import task_registry

# A task counts as lost once this many consecutive reports omit it and this
# long has passed since it was confirmed, or since its start was sent if it
# wasn't. A report made before a start arrived may be received after the
# answer to the start.
MISSING_AFTER_S = 10.0
MISSING_REPORTS_LIMIT = 2


class ReportMerger:
    """Reconciles what workers report with what they should run."""

    def __init__(self, control: task_control.TaskControl) -> None:
        self._control = control

    def merge_report(
        self, now: float, report: worker_models.WorkerReport
    ) -> None:
        """Merge a new report of a worker."""
        control = self._control
        state = control.workers.state_by_worker[report.worker]
        if report.epoch < control.epoch:
            control.fence_worker(report.worker)
        reported = set()
        for running in report.running:
            reported.add(running.task_id)
            self._merge_running(now, report, running)
        forget: dict[str, int] = {}
        for ended in report.ended:
            reported.add(ended.task_id)
            self._merge_ended(now, report, ended)
            if not control.tasks.has_unwritten_change(ended.task_id):
                forget[ended.task_id] = ended.attempt
        if forget:
            control.effects.append(
                worker_models.ForgetEnded(report.worker, forget)
            )
        for task_id in set(state.size_by_task) - reported:
            self._handle_missing_task(now, control.tasks.record_by_id[task_id])
        if state.reserved_for not in control.tasks.record_by_id:
            control.workers.drop_reservation(now, state.reserved_for)

    def _merge_running(
        self,
        now: float,
        report: worker_models.WorkerReport,
        running: worker_models.RunningReport,
    ) -> None:
        control = self._control
        record = control.tasks.record_by_id.get(running.task_id)
        if record is not None and self._is_unrecorded_start(
            record, running.attempt
        ):
            self._adopt_start(now, record, report.worker, running.attempt)
        if record is None or not _is_current_attempt(
            record, report.worker, running.attempt
        ):
            self._stop_stale(report.worker, running)
            return
        record.missing_reports = 0
        control.confirm_attempt(now, record)
        if running.used is not None:
            self._record_usage(now, record, running.used)
        if record.stop_kind and now >= record.retry_at:
            control.stop_task(now, record, record.stop_kind, ("repeated",))

    def _is_unrecorded_start(
        self, record: task_registry.TaskRecord, attempt: int
    ) -> bool:
        """Whether a previous controller started it without recording it."""
        return record.task.phase == "queued" and attempt > record.task.attempts

    def _adopt_start(
        self,
        now: float,
        record: task_registry.TaskRecord,
        worker: str,
        attempt: int,
    ) -> None:
        control = self._control
        control.tasks.dequeue(record)
        control.workers.drop_reservation(now, record.task.task_id)
        record.start_sent = True
        record.confirmed_at = now
        record.stop_kind = ""
        control.tasks.update_task(
            record, phase="running", worker=worker, attempts=attempt
        )
        control.count_adopted_task(now, record)

    def _stop_stale(
        self, worker: str, running: worker_models.RunningReport
    ) -> None:
        control = self._control
        control.effects.append(
            worker_models.StopTask(
                worker,
                control.pool,
                control.epoch,
                running.task_id,
                running.attempt,
                False,
                ("not the current attempt",),
            )
        )

    def _record_usage(
        self,
        now: float,
        record: task_registry.TaskRecord,
        used: task_models.Need,
    ) -> None:
        control = self._control
        size = task_models.Need(
            used.cores, used.memory_gb, record.task.accelerators
        )
        if size == record.size:
            return
        key = task_control.size_key(record.task)
        control.estimate_by_kind[key] = task_sizes.add_measurement(
            control.estimate_by_kind.get(key, task_sizes.SizeEstimate()),
            used,
            record.task.declared,
        )
        record.size = size
        control.workers.set_task_size(now, record.task, size)

    def _merge_ended(
        self,
        now: float,
        report: worker_models.WorkerReport,
        ended: worker_models.EndedReport,
    ) -> None:
        control = self._control
        record = control.tasks.record_by_id.get(ended.task_id)
        if record is None:
            return
        if self._is_unrecorded_start(record, ended.attempt):
            self._adopt_start(now, record, report.worker, ended.attempt)
        if not _is_current_attempt(record, report.worker, ended.attempt):
            return
        control.confirm_attempt(now, record)
        if ended.outcome == "finished":
            control.workers.record_outcome(
                now, report.worker, ended.task_id, False
            )
            control.release_capacity(now, record)
            control.end_task(now, record, "finished", "")
        elif ended.outcome == "failed":
            self._handle_task_failure(now, record)
        elif ended.outcome == "cancelled" and record.stop_kind != "cancel":
            control.handle_lost_task(now, record, "stopped on its worker")
        else:
            control.requeue_task(
                now,
                record,
                "checkpointed",
                remaining_s=ended.remaining_s,
            )

    def _handle_task_failure(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        control = self._control
        task = record.task
        state = control.workers.state_by_worker[task.worker]
        on_trial = state.health.on_trial
        blamed = control.workers.record_outcome(
            now, task.worker, task.task_id, True
        )
        failed = (*task.failed_workers, task.worker)
        if blamed is not None:
            self._log_quarantine(now, task.worker)
            self._remove_failures(task.worker, blamed)
        if blamed is not None or on_trial:
            failed = task.failed_workers
        if task.at_most_once:
            control.release_capacity(now, record)
            control.end_task(now, record, "failed", f"failed on {task.worker}")
        elif worker_placement.is_failure_limit_reached(
            failed, len(control.view.hosts)
        ):
            control.release_capacity(now, record)
            control.tasks.update_task(record, failed_workers=failed)
            control.end_task(
                now,
                record,
                "failed",
                f"failed on {len(failed)} workers: {', '.join(failed)}",
            )
        else:
            control.requeue_task(now, record, "failed", failed_workers=failed)

    def _log_quarantine(self, now: float, worker: str) -> None:
        health = self._control.workers.state_by_worker[worker].health
        self._control.effects.append(
            task_control.EmitEvent(
                task_events.WorkerQuarantined(
                    worker, health.quarantined_until - now
                )
            )
        )

    def _remove_failures(self, worker: str, task_ids: tuple[str, ...]) -> None:
        """Remove failures attributed to a worker from the tasks' records."""
        for task_id in task_ids:
            record = self._control.tasks.record_by_id.get(task_id)
            if record is None or worker not in record.task.failed_workers:
                continue
            if record.task.phase in task_models.LIVE_PHASES:
                self._control.tasks.update_task(
                    record,
                    failed_workers=tuple(
                        name
                        for name in record.task.failed_workers
                        if name != worker
                    ),
                )

    def _handle_missing_task(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Handle a task that is missing from its worker's report."""
        if not record.start_sent:
            return
        control = self._control
        record.missing_reports += 1
        since = record.confirmed_at
        if since is None:
            start_is_repeated = (
                not record.stop_kind
                and not record.task.at_most_once
                and control.workers.can_start(now, record.task.worker)
            )
            if start_is_repeated:
                return
            since = record.start_sent_at
        if (
            record.missing_reports >= MISSING_REPORTS_LIMIT
            and now - since > MISSING_AFTER_S
        ):
            control.handle_lost_task(
                now,
                record,
                f"worker {record.task.worker} lost it",
            )


def _is_current_attempt(
    record: task_registry.TaskRecord, worker: str, attempt: int
) -> bool:
    task = record.task
    return (
        task.phase == "running"
        and task.worker == worker
        and task.attempts == attempt
    )
