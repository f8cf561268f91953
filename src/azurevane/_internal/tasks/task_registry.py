"""The live tasks of a pool and their changes that aren't written yet."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

from azurevane._internal.models import rows as row_models
from azurevane._internal.models import task as task_models

MAX_BATCH_ROWS = 500
MAX_UNWRITTEN_CHANGES = 10_000


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """A live task and the state of its current attempt.

    Attributes:
        size: resources reserved for it on its worker, or to be reserved.
        generation: incremented with each change; shows whether a change
            was part of a write.
        start_sent: whether the start of the current attempt was sent.
        confirmed_at: monotonic seconds at which the worker first
            confirmed the attempt; None before.
        retry_at: monotonic seconds at which to repeat a command that has
            had no effect.
        stop_kind: ``checkpoint`` or ``cancel`` once a stop was requested.
        missing_reports: consecutive new reports of the worker that
            didn't list the task.
        start_not_before: monotonic seconds before which it may not
            start, because it may be running already.
    """

    task: task_models.Task
    size: task_models.Need
    row_version: int
    arrived_at: float
    generation: int = 0
    start_sent: bool = False
    start_sent_at: float = 0.0
    confirmed_at: float | None = None
    retry_at: float = 0.0
    stop_kind: str = ""
    missing_reports: int = 0
    start_not_before: float = 0.0


class TaskRegistry:
    """Owns the records of a pool's live tasks.

    Attributes:
        waiting_by_team, waiting_urgent: submission time and id of queued
            tasks, sorted.
        version: incremented whenever a task is queued.
        unconfirmed: ids of tasks whose start a worker has yet to confirm.
        processed_inbox_rows: inbox rows to delete with the next batch.
        extra_value_by_row: other rows to write with the next batch.
    """

    def __init__(self) -> None:
        self.record_by_id: dict[str, TaskRecord] = {}
        self.waiting_by_team: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self.waiting_urgent: list[tuple[float, str]] = []
        self.version = 0
        self.unconfirmed: set[str] = set()
        self.processed_inbox_rows: set[str] = set()
        self.extra_value_by_row: dict[str, Any] = {}
        self._unwritten: dict[str, None] = {}
        self._generation_in_batch: dict[str, int] = {}
        self._inbox_in_batch: set[str] = set()

    @property
    def unwritten_count(self) -> int:
        """Number of records with a change that isn't in a batch yet."""
        return len(self._unwritten)

    def has_unwritten_change(self, task_id: str) -> bool:
        """Whether the latest change of a task may not be stored yet."""
        return (
            task_id in self._unwritten or task_id in self._generation_in_batch
        )

    def add_record(self, record: TaskRecord) -> None:
        """Add a task, and put it into its queue if it is queued."""
        task = record.task
        self.record_by_id[task.task_id] = record
        if task.phase == "queued":
            self.enqueue(record)

    def enqueue(self, record: TaskRecord) -> None:
        """Insert a task into its queue by submission time."""
        task = record.task
        entry = (task.submitted_at, task.task_id)
        self.version += 1
        if task.urgent:
            bisect.insort(self.waiting_urgent, entry)
        else:
            bisect.insort(self.waiting_by_team[task.team], entry)

    def dequeue(self, record: TaskRecord) -> None:
        """Remove a task from its queue, if it is there."""
        task = record.task
        waiting = (
            self.waiting_urgent
            if task.urgent
            else self.waiting_by_team[task.team]
        )
        entry = (task.submitted_at, task.task_id)
        position = bisect.bisect_left(waiting, entry)
        if position < len(waiting) and waiting[position] == entry:
            del waiting[position]

    def dequeue_many(self, task_ids: set[str]) -> None:
        """Remove many tasks from their queues in one pass."""
        self.waiting_urgent = [
            e for e in self.waiting_urgent if e[1] not in task_ids
        ]
        for team, waiting in self.waiting_by_team.items():
            self.waiting_by_team[team] = [
                entry for entry in waiting if entry[1] not in task_ids
            ]

    def update_task(self, record: TaskRecord, **changes: Any) -> None:
        """Change a task; the change is written with the next batch."""
        record.task = dataclasses.replace(record.task, **changes)
        record.generation += 1
        self._unwritten[record.task.task_id] = None

    def running_records(self) -> Iterator[TaskRecord]:
        """Yield the records of the tasks known to be running."""
        return (
            record
            for record in self.record_by_id.values()
            if record.task.phase == "running"
        )

    def next_batch(
        self,
        number: int,
        token: str,
        fence_row: str,
        fence_version: int,
    ) -> row_models.WriteBatch | None:
        """Return a batch of the changes that aren't written yet.

        It applies only if the epoch row and the records are unchanged.
        Returns None if there is nothing to write.
        """
        if not (
            self._unwritten
            or self.processed_inbox_rows
            or self.extra_value_by_row
        ):
            return None
        checks = {fence_row: fence_version}
        values: dict[str, Any] = dict(self.extra_value_by_row)
        self.extra_value_by_row = {}
        for task_id in list(self._unwritten)[:MAX_BATCH_ROWS]:
            record = self.record_by_id[task_id]
            del self._unwritten[task_id]
            self._generation_in_batch[task_id] = record.generation
            task = dataclasses.replace(record.task, token=token)
            row = task_models.task_row(task.queue, task_id)
            checks[row] = record.row_version
            value = msgspec.to_builtins(task)
            if task.phase in task_models.LIVE_PHASES:
                values[row] = value
            else:
                values[row] = None
                values[task_models.ended_row(task.queue, task_id)] = value
        self._inbox_in_batch = set(
            list(self.processed_inbox_rows)[:MAX_BATCH_ROWS]
        )
        values.update(dict.fromkeys(self._inbox_in_batch))
        return row_models.WriteBatch(number, token, checks, values)

    def handle_batch_applied(
        self, version_by_row: dict[str, int]
    ) -> list[TaskRecord]:
        """Record that the batch was applied.

        Returns:
            The written records that haven't changed since the batch was
            built.
        """
        written = []
        for task_id, generation in self._generation_in_batch.items():
            record = self.record_by_id[task_id]
            task = record.task
            row = task_models.task_row(task.queue, task_id)
            record.row_version = version_by_row.get(row, 0)
            if record.generation == generation:
                written.append(record)
                if task.phase not in task_models.LIVE_PHASES:
                    del self.record_by_id[task_id]
        self._generation_in_batch = {}
        self.processed_inbox_rows -= self._inbox_in_batch
        self._inbox_in_batch = set()
        return written

    def is_batch_applied(
        self, batch: row_models.WriteBatch, rows: list[row_models.StoredRow]
    ) -> bool:
        """Whether rows read back show that a batch was applied."""
        return any(
            row.value is not None and row.value.get("token") == batch.token
            for row in rows
        )
