"""Writes the leader's rows, on condition that this host still leads.

A write without a response may take effect later. Each row is therefore written
on condition of its version, so that an older write of the same row fails. A
write that includes the renewal row has this condition for that row alone: it
changes with each such write, and the others' versions with every write.
Every condition also includes the version of the leader's row.
"""

from collections.abc import Awaitable, Callable, Collection
import logging
from typing import Any, Protocol

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.platform import store
from azurevane._internal.scheduler import background

logger = logging.getLogger(__name__)

# Each row takes two entries of a transaction, one in its condition and one in
# its change; one more entry is the condition on the leader's row.
MAX_BATCH_ROWS = (store.MAX_TRANSACTION_ENTRIES - 1) // 2
# Beside the renewal row each row takes one entry.
MAX_ROWS_WITH_FIRST = store.MAX_TRANSACTION_ENTRIES - 2
# Half of the store's limit on the size of a transaction.
MAX_BATCH_BYTES = 512 * 1024
# A write waits for further changes for this part of the time that the last one
# took, and no longer than the maximum. In a slow store they would otherwise
# wait for a whole further write.
GATHERING_SHARE = 0.05
MAX_GATHERING_S = 0.05
# Delay before a failed write is repeated; it doubles up to the maximum.
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5


class Store(Protocol):
    """Interface of the store that the row writer needs."""

    def transact(
        self,
        expected_by_row_key: dict[store.RowKey, int],
        value_by_row_key: dict[store.RowKey, bytes],
        deletions: Any = (),
    ) -> Awaitable[store.Committed | store.Conflict]:
        """Write and delete rows on condition of row versions."""


class NotLeader(exceptions.AzurevaneError):
    """Raised when a write isn't stored because another host leads."""


RowEncoder = Callable[[], bytes | None]


class RowWriter:
    """Writes dirty rows in the background, in batches.

    Args:
        leader_row: key of the leader's row, and its version.
        seconds: returns the monotonic time in seconds.
        sleep: waits a number of seconds.
        on_committed: called with the time at which a committed write was
            sent, its result and the keys of its rows. The write confirms
            that this host led at that time.
        on_leadership_lost: called once when another host leads.
        first_row: row that is written before all others, also before those
            of a flush that has begun, and its encoder. In a slow store every
            write has it, since the next one will come late.
        last_write_s: how long the last write took, in seconds.

    Attributes:
        closed: whether nothing is written any more.
        rejected_by_store: whether the store rejected the last write or closed
            its connection.
        write_began_at: when the write that isn't stored yet was first sent,
            or None while there is none.
    """

    def __init__(
        self,
        client: Store,
        leader_row: tuple[store.RowKey, int],
        *,
        seconds: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        on_committed: Callable[
            [float, store.Committed, Collection[store.RowKey]], None
        ],
        on_leadership_lost: Callable[[], None],
        first_row: "tuple[store.RowKey, RowEncoder] | None" = None,
        last_write_s: float = 0.0,
    ) -> None:
        self._client = client
        self._leader_row_key, self._leader_version = leader_row
        self._seconds = seconds
        self._sleep = sleep
        self._on_committed = on_committed
        self._on_leadership_lost = on_leadership_lost
        self._first_row = first_row
        self._first_row_key = None if first_row is None else first_row[0]
        self._version_by_row_key: dict[store.RowKey, int] = {}
        self._dirty: dict[store.RowKey, RowEncoder] = {}
        self._waiting_flushes: list[defer.Deferred[None]] = []
        self._running = False
        self.closed = False
        self.rejected_by_store = False
        self.write_began_at: float | None = None
        self._last_write_s = last_write_s

    def record_version(self, row: store.Row) -> None:
        """Record the version of a row that was read."""
        self._version_by_row_key[row.row_key] = row.version

    def schedule_write(
        self, row_key: store.RowKey, encoder: RowEncoder
    ) -> None:
        """Mark a row to be written; None from the encoder deletes it.

        Args:
            encoder: returns the row's value at the time of the write.
        """
        self._dirty[row_key] = encoder

    def flush(self) -> "defer.Deferred[None]":
        """Return a Deferred that fires once all scheduled writes are stored.

        It fails with ``NotLeader`` when another host leads.
        """
        if self.closed:
            return defer.fail(NotLeader("the row writer is closed"))
        done: defer.Deferred[None] = defer.Deferred()
        self._waiting_flushes.append(done)
        if not self._running:
            self._running = True
            defer.ensureDeferred(self._write_until_flushed())
        return done

    def close(self) -> None:
        """Write nothing more and fail all waiting flushes."""
        self.closed = True
        self._fail_waiting_flushes()

    def _fail_waiting_flushes(self) -> None:
        waiting, self._waiting_flushes = self._waiting_flushes, []
        for done in waiting:
            done.errback(NotLeader("another host leads"))

    async def _write_until_flushed(self) -> None:
        try:
            while self._waiting_flushes and not self.closed:
                await self._gather_changes()
                waiting, self._waiting_flushes = self._waiting_flushes, []
                dirty, self._dirty = self._dirty, {}
                try:
                    stored = await self._write_all(dirty)
                except Exception as error:
                    # Nothing may count as stored that isn't. Unless a renewal
                    # can be stored, another host takes over.
                    background.log_step_failure("write rows", error)
                    self._dirty = {**dirty, **self._dirty}
                    self._waiting_flushes = waiting + self._waiting_flushes
                    await self._sleep(MAX_RETRY_DELAY_S)
                    continue
                if not stored:
                    self._waiting_flushes = waiting + self._waiting_flushes
                    break
                for done in waiting:
                    done.callback(None)
        finally:
            self._running = False
        if self.closed:
            self._fail_waiting_flushes()

    @property
    def _slow(self) -> bool:
        return self._last_write_s > store.SLOW_WRITE_S

    async def _gather_changes(self) -> None:
        """Wait a little for further changes if the last write was slow."""
        if self._first_row_key in self._dirty or not self._slow:
            return
        gathering_s = GATHERING_SHARE * self._last_write_s
        await self._sleep(min(gathering_s, MAX_GATHERING_S))

    async def _write_all(self, dirty: dict[store.RowKey, RowEncoder]) -> bool:
        values = {row_key: encoder() for row_key, encoder in dirty.items()}
        while values:
            values = self._with_first_row(values)
            batch = _first_batch(
                values,
                MAX_ROWS_WITH_FIRST
                if self._first_row_key in values
                else MAX_BATCH_ROWS,
            )
            self.write_began_at = self._seconds()
            try:
                if not await self._write_batch(batch):
                    return False
            finally:
                self.write_began_at = None
            for row_key in batch:
                del values[row_key]
        return True

    def _with_first_row(
        self, values: dict[store.RowKey, bytes | None]
    ) -> dict[store.RowKey, bytes | None]:
        if self._first_row is None:
            return values
        key, encoder = self._first_row
        due = self._dirty.pop(key, None) is not None or key in values
        if not due and not self._slow:
            return values
        others = {other: values[other] for other in values if other != key}
        return {key: encoder(), **others}

    async def _write_batch(
        self, batch: dict[store.RowKey, bytes | None]
    ) -> bool:
        """Write a batch until it is stored; False if it can't be any more."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while not self.closed:
            sent_at = self._seconds()
            expected = self._conditions(batch)
            try:
                outcome = await self._client.transact(
                    expected,
                    {k: v for k, v in batch.items() if v is not None},
                    [
                        row_key
                        for row_key, value in batch.items()
                        if value is None and self._version(row_key)
                    ],
                )
            except exceptions.CallFailed as failure:
                self.rejected_by_store = not failure.timed_out
                catalogue.emit(
                    logger,
                    events.WriteFailed(
                        len(batch), failure.verdict.value, str(failure)
                    ),
                )
                await self._sleep(retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            self.rejected_by_store = False
            self._last_write_s = self._seconds() - sent_at
            if isinstance(outcome, store.Committed):
                self._handle_committed(batch, outcome, sent_at)
                return True
            if not self._still_leads(outcome):
                self.closed = True
                self._on_leadership_lost()
                return False
            # A previous write of this leader took effect although its
            # response was lost.
            for row in outcome.row_by_row_key.values():
                self._version_by_row_key[row.row_key] = row.version
        return False

    def _version(self, row_key: store.RowKey) -> int:
        return self._version_by_row_key.get(row_key, 0)

    def _conditions(
        self, batch: Collection[store.RowKey]
    ) -> dict[store.RowKey, int]:
        """Return the rows on whose versions a write depends."""
        first = self._first_row_key
        conditional = (
            batch if first is None or first not in batch else (first,)
        )
        versions = {key: self._version(key) for key in conditional}
        return {**versions, self._leader_row_key: self._leader_version}

    def _handle_committed(
        self,
        batch: dict[store.RowKey, bytes | None],
        outcome: store.Committed,
        sent_at: float,
    ) -> None:
        for row_key, value in batch.items():
            version = 0 if value is None else outcome.version
            self._version_by_row_key[row_key] = version
        self._on_committed(sent_at, outcome, batch)

    def _still_leads(self, conflict: store.Conflict) -> bool:
        row = conflict.row_by_row_key.get(self._leader_row_key)
        return row is not None and row.version == self._leader_version


def _first_batch(
    values: dict[store.RowKey, bytes | None], max_rows: int
) -> dict[store.RowKey, bytes | None]:
    batch: dict[store.RowKey, bytes | None] = {}
    size = 0
    for row_key, value in values.items():
        size += len(value or b"") * 4 // 3 + 200
        if batch and (len(batch) >= max_rows or size > MAX_BATCH_BYTES):
            break
        batch[row_key] = value
    return batch
