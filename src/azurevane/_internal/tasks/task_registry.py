"""The live tasks of a pool and the writes that they wait for."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

from azurevane._internal.models import rows as row_models
from azurevane._internal.models import task as task_models

BATCH_ROWS = 500
PENDING_LIMIT = 10_000


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """A live task and what is under way for it.

    Attributes:
        size: what it counts on its worker, or would count.
        generation: grows with each change; tells whether a change was
            part of a write.
        sent: whether the start of the attempt in force was sent.
        confirmed_at: monotonic seconds at which the worker confirmed it;
            None before.
        act_again_at: monotonic seconds; when to repeat a command that
            had no effect yet.
        stop: ``checkpoint`` or ``cancel`` once asked for.
        absent: new reports in a row that didn't show it.
        hold_until: monotonic seconds before which it may not start,
            because it may run already.
    """

    task: task_models.Task
    size: task_models.Need
    row_version: int
    arrived_at: float
    generation: int = 0
    sent: bool = False
    sent_at: float = 0.0
    confirmed_at: float | None = None
    act_again_at: float = 0.0
    stop: str = ""
    absent: int = 0
    hold_until: float = 0.0


class TaskRegistry:
    """Owns the records of a pool's live tasks."""

    def __init__(self) -> None:
        self.record_by_id: dict[str, TaskRecord] = {}
        self.waiting_by_team: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self.urgent: list[tuple[float, str]] = []
        self.version = 0
        self.unconfirmed: set[str] = set()
        self.inbox_done: set[str] = set()
        self.extra_by_row: dict[str, Any] = {}
        self._dirty: dict[str, None] = {}
        self._in_batch: dict[str, int] = {}
        self._inbox_in_batch: set[str] = set()

    @property
    def pending(self) -> int:
        """Number of records whose latest change isn't written."""
        return len(self._dirty)

    def is_dirty(self, task_id: str) -> bool:
        """Whether the latest change of a task isn't written yet."""
        return task_id in self._dirty or task_id in self._in_batch

    def add(self, record: TaskRecord) -> None:
        """Take a task over."""
        task = record.task
        self.record_by_id[task.task_id] = record
        if task.phase == "queued":
            self.enqueue(record)

    def enqueue(self, record: TaskRecord) -> None:
        """Let a task wait, in the order of arrival."""
        task = record.task
        entry = (task.submitted_at, task.task_id)
        self.version += 1
        if task.urgent:
            bisect.insort(self.urgent, entry)
        else:
            bisect.insort(self.waiting_by_team[task.team], entry)

    def dequeue(self, record: TaskRecord) -> None:
        """Let a task wait no longer."""
        task = record.task
        waiting = (
            self.urgent if task.urgent else self.waiting_by_team[task.team]
        )
        entry = (task.submitted_at, task.task_id)
        position = bisect.bisect_left(waiting, entry)
        if position < len(waiting) and waiting[position] == entry:
            del waiting[position]

    def drop_waiting(self, task_ids: set[str]) -> None:
        """Remove many tasks from the queue in one pass."""
        self.urgent = [e for e in self.urgent if e[1] not in task_ids]
        for team, waiting in self.waiting_by_team.items():
            self.waiting_by_team[team] = [
                entry for entry in waiting if entry[1] not in task_ids
            ]

    def change(self, record: TaskRecord, **changes: Any) -> None:
        """Change a task; the change is written with the next batch."""
        record.task = dataclasses.replace(record.task, **changes)
        record.generation += 1
        self._dirty[record.task.task_id] = None

    def running(self) -> Iterator[TaskRecord]:
        """Return the tasks that run, as far as is known."""
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
        """Return the writes that wait, conditional on the epoch."""
        if not (self._dirty or self.inbox_done or self.extra_by_row):
            return None
        checks = {fence_row: fence_version}
        values: dict[str, Any] = dict(self.extra_by_row)
        self.extra_by_row = {}
        for task_id in list(self._dirty)[:BATCH_ROWS]:
            record = self.record_by_id[task_id]
            del self._dirty[task_id]
            self._in_batch[task_id] = record.generation
            task = dataclasses.replace(record.task, token=token)
            row = task_models.task_row(task.queue, task_id)
            checks[row] = record.row_version
            value = msgspec.to_builtins(task)
            if task.phase in task_models.LIVE_PHASES:
                values[row] = value
            else:
                values[row] = None
                values[task_models.ended_row(task.queue, task_id)] = value
        self._inbox_in_batch = set(list(self.inbox_done)[:BATCH_ROWS])
        values.update(dict.fromkeys(self._inbox_in_batch))
        return row_models.WriteBatch(number, token, checks, values)

    def applied(self, version_by_row: dict[str, int]) -> list[TaskRecord]:
        """Note that the batch took effect; return its records."""
        written = []
        for task_id, generation in self._in_batch.items():
            record = self.record_by_id[task_id]
            task = record.task
            row = task_models.task_row(task.queue, task_id)
            record.row_version = version_by_row.get(row, 0)
            if record.generation == generation:
                written.append(record)
                if task.phase not in task_models.LIVE_PHASES:
                    del self.record_by_id[task_id]
        self._in_batch = {}
        self.inbox_done -= self._inbox_in_batch
        self._inbox_in_batch = set()
        return written

    def written_by(
        self, batch: row_models.WriteBatch, rows: list[row_models.StoredRow]
    ) -> bool:
        """Whether rows read back show that a batch took effect."""
        return any(
            row.value is not None and row.value.get("token") == batch.token
            for row in rows
        )
