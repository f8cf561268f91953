"""Merges workers' reports into the records of the placer."""

from azurevane._internal.events import task_events
from azurevane._internal.models import task as task_models
from azurevane._internal.models import worker as worker_models
from azurevane._internal.policy import placement
from azurevane._internal.policy import task_sizes
from azurevane._internal.tasks import task_control
from azurevane._internal.tasks import task_registry

# A report made before a start arrived can come after the start's answer.
ABSENT_AFTER_S = 10.0
ABSENT_REPORTS = 2


class ReportMerger:
    """Compares what a worker reports with what it should run."""

    def __init__(self, control: task_control.TaskControl) -> None:
        self._control = control

    def merge(self, now: float, report: worker_models.WorkerReport) -> None:
        """Merge one new report."""
        control = self._control
        state = control.workers.state_by_worker[report.worker]
        if report.epoch < control.epoch:
            control.fence(report.worker)
        shown = set()
        for running in report.running:
            shown.add(running.task_id)
            self._merge_running(now, report, running)
        forget: dict[str, int] = {}
        for ended in report.ended:
            shown.add(ended.task_id)
            self._merge_ended(now, report, ended)
            if not control.tasks.is_dirty(ended.task_id):
                forget[ended.task_id] = ended.attempt
        if forget:
            control.effects.append(
                worker_models.ForgetEnded(report.worker, forget)
            )
        for task_id in set(state.size_by_task) - shown:
            self._merge_absent(now, control.tasks.record_by_id[task_id])
        if state.reserved_for not in control.tasks.record_by_id:
            control.workers.unreserve(now, state.reserved_for)

    def _merge_running(
        self,
        now: float,
        report: worker_models.WorkerReport,
        running: worker_models.RunningReport,
    ) -> None:
        control = self._control
        record = control.tasks.record_by_id.get(running.task_id)
        if record is not None and self._unrecorded(record, running.attempt):
            self._adopt(now, record, report.worker, running.attempt)
        if record is None or not _same(record, report.worker, running.attempt):
            self._stop_stale(report.worker, running)
            return
        record.absent = 0
        control.confirm(now, record)
        if running.used is not None:
            self._measure(now, record, running.used)
        if record.stop and now >= record.act_again_at:
            control.stop(now, record, record.stop, ("repeated",))

    def _unrecorded(
        self, record: task_registry.TaskRecord, attempt: int
    ) -> bool:
        """Whether an earlier controller started this and couldn't write."""
        return record.task.phase == "queued" and attempt > record.task.attempts

    def _adopt(
        self,
        now: float,
        record: task_registry.TaskRecord,
        worker: str,
        attempt: int,
    ) -> None:
        control = self._control
        control.tasks.dequeue(record)
        control.workers.unreserve(now, record.task.task_id)
        record.sent = True
        record.confirmed_at = now
        record.stop = ""
        control.tasks.change(
            record, phase="running", worker=worker, attempts=attempt
        )
        control.adopted(now, record)

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
                ("not in force",),
            )
        )

    def _measure(
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
        key = task_control.kind_key(record.task)
        control.estimate_by_kind[key] = task_sizes.add_measurement(
            control.estimate_by_kind.get(key, task_sizes.SizeEstimate()),
            used,
            record.task.declared,
        )
        record.size = size
        control.workers.commit(now, record.task, size)

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
        if self._unrecorded(record, ended.attempt):
            self._adopt(now, record, report.worker, ended.attempt)
        if not _same(record, report.worker, ended.attempt):
            return
        control.confirm(now, record)
        if ended.outcome == "finished":
            control.workers.ended(now, report.worker, ended.task_id, False)
            control.release(now, record)
            control.end(now, record, "finished", "")
        elif ended.outcome == "failed":
            self._fail(now, record)
        elif ended.outcome == "cancelled" and record.stop != "cancel":
            control.lose(now, record, "stopped on its worker")
        else:
            control.requeue(
                now,
                record,
                "checkpointed",
                remaining_s=ended.remaining_s,
            )

    def _fail(self, now: float, record: task_registry.TaskRecord) -> None:
        control = self._control
        task = record.task
        state = control.workers.state_by_worker[task.worker]
        on_trial = state.health.on_trial
        blamed = control.workers.ended(now, task.worker, task.task_id, True)
        failed = (*task.failed_workers, task.worker)
        if blamed is not None:
            self._note_quarantine(now, task.worker)
            self._absolve(task.worker, blamed)
        if blamed is not None or on_trial:
            failed = task.failed_workers
        if task.at_most_once:
            control.release(now, record)
            control.end(now, record, "failed", f"failed on {task.worker}")
        elif placement.is_failure_limit_reached(
            failed, len(control.view.hosts)
        ):
            control.release(now, record)
            control.tasks.change(record, failed_workers=failed)
            control.end(
                now,
                record,
                "failed",
                f"failed on {len(failed)} workers: {', '.join(failed)}",
            )
        else:
            control.requeue(now, record, "failed", failed_workers=failed)

    def _note_quarantine(self, now: float, worker: str) -> None:
        health = self._control.workers.state_by_worker[worker].health
        self._control.effects.append(
            task_control.Note(
                task_events.WorkerQuarantined(
                    worker, health.quarantined_until - now
                )
            )
        )

    def _absolve(self, worker: str, task_ids: tuple[str, ...]) -> None:
        """Don't count failures that were the worker's fault."""
        for task_id in task_ids:
            record = self._control.tasks.record_by_id.get(task_id)
            if record is None or worker not in record.task.failed_workers:
                continue
            if record.task.phase in task_models.LIVE_PHASES:
                self._control.tasks.change(
                    record,
                    failed_workers=tuple(
                        name
                        for name in record.task.failed_workers
                        if name != worker
                    ),
                )

    def _merge_absent(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Settle a task that a worker should run and doesn't show."""
        if not record.sent:
            return
        control = self._control
        record.absent += 1
        since = record.confirmed_at
        if since is None:
            repeated = (
                not record.stop
                and not record.task.at_most_once
                and control.workers.startable(now, record.task.worker)
            )
            if repeated:
                return
            since = record.sent_at
        if record.absent >= ABSENT_REPORTS and now - since > ABSENT_AFTER_S:
            control.lose(now, record, f"worker {record.task.worker} lost it")


def _same(record: task_registry.TaskRecord, worker: str, attempt: int) -> bool:
    task = record.task
    return (
        task.phase == "running"
        and task.worker == worker
        and task.attempts == attempt
    )
