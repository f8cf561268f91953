"""Inbox rows, by which entry hosts notify the controller of a pool."""

from collections.abc import Collection, Iterable
import dataclasses

from azurevane._internal.daemons import lease_service
from azurevane._internal.models import rows as row_models
from azurevane._internal.models import task as task_models
from azurevane._internal.table_service import table

# Above this many new tasks of a queue one read of all its live tasks is
# cheaper than a read of each.
MAX_SINGLE_READS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class InboxEntry:
    """One row of the inbox: ``submit`` or ``cancel``."""

    row_name: str
    kind: str
    task_id: str
    queue: str


def list_new_entries(
    pool: str, rows: Iterable[table.Row], processed_names: Collection[str]
) -> list[InboxEntry]:
    """Return the entries of a pool that haven't been processed yet."""
    entries = []
    for row in rows:
        _, row_pool, kind, task_id = row.name.split("/", 3)
        if row_pool == pool and row.name not in processed_names:
            entries.append(
                InboxEntry(row.name, kind, task_id, row.value["queue"])
            )
    return entries


async def read_submitted_tasks(
    client: lease_service.Table, entries: Iterable[InboxEntry]
) -> dict[str, row_models.StoredRow]:
    """Return the records of those submitted tasks that are live, by id.

    Raises:
        StoreUnavailable: the table service gave no usable answer.
    """
    ids_by_queue: dict[str, list[str]] = {}
    for entry in entries:
        if entry.kind == "submit":
            ids_by_queue.setdefault(entry.queue, []).append(entry.task_id)
    found: dict[str, row_models.StoredRow] = {}
    for queue, task_ids in ids_by_queue.items():
        if len(task_ids) <= MAX_SINGLE_READS:
            names = [
                task_models.task_row(queue, task_id) for task_id in task_ids
            ]
            rows = tuple([await client.read(name) for name in names])
        else:
            rows = await client.read_prefix(f"task/{queue}/")
        for row in lease_service.to_stored_rows(rows):
            if row.value is not None:
                found[row.name.rsplit("/", 1)[1]] = row
    return found
