"""Stores the leader's rows, on condition that it still leads.

A write without an answer may take effect later, so each row is written on
condition of its version: an older write of the same row then fails. The
row of the leader is part of every condition.
"""

from collections.abc import Awaitable, Callable, Collection
import logging
from typing import Any, Protocol

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.platform import store

logger = logging.getLogger(__name__)

# Each row is an entry of the condition and one of the change.
BATCH_ROWS = (store.MAX_TRANSACTION_ENTRIES - 1) // 2
# Half of the store's bound on a transaction's bytes.
BATCH_BYTES = 512 * 1024
# Pause before a failed write is repeated.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5


class Store(Protocol):
    """What the journal needs of the store."""

    def transact(
        self,
        expected_by_row_key: dict[store.RowKey, int],
        value_by_row_key: dict[store.RowKey, bytes],
        deletions: Any = (),
    ) -> Awaitable[store.Committed | store.Conflict]:
        """Write rows on condition of versions."""


class Deposed(exceptions.AzurevaneError):
    """Raised when another host leads, so that nothing was stored."""


Encoder = Callable[[], bytes | None]


class Journal:
    """Writes dirty rows in the background, many in a transaction.

    Args:
        leader: place of the leader's row and its version.
        sleep: waits a number of seconds.
        committed: called with a write that took effect and the time at
            which it was sent, which proves that this host led then.
        deposed: called once when another host leads.

    Attributes:
        turned_away: whether the store rejected the last write, or cut its
            connection.
    """

    def __init__(
        self,
        client: Store,
        leader: tuple[store.RowKey, int],
        *,
        seconds: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        committed: Callable[
            [float, store.Committed, Collection[store.RowKey]], None
        ],
        deposed: Callable[[], None],
    ) -> None:
        self._client = client
        self._leader_row_key, self._leader_version = leader
        self._seconds = seconds
        self._sleep = sleep
        self._committed = committed
        self._deposed = deposed
        self._version_by_row_key: dict[store.RowKey, int] = {}
        self._dirty: dict[store.RowKey, Encoder] = {}
        self._waiting: list[defer.Deferred[None]] = []
        self._running = False
        self.closed = False
        self.turned_away = False

    def adopt(self, row: store.Row) -> None:
        """Take in the version of a row that was read."""
        self._version_by_row_key[row.row_key] = row.version

    def write(self, row_key: store.RowKey, encoder: Encoder) -> None:
        """Have a row written; None from the encoder deletes it."""
        self._dirty[row_key] = encoder

    def stored(self) -> "defer.Deferred[None]":
        """Return a Deferred that fires when all writes so far are stored.

        It fails with ``Deposed`` when another host leads.
        """
        if self.closed:
            return defer.fail(Deposed("the journal is closed"))
        done: defer.Deferred[None] = defer.Deferred()
        self._waiting.append(done)
        if not self._running:
            self._running = True
            defer.ensureDeferred(self._run())
        return done

    def close(self) -> None:
        """Write nothing more."""
        self.closed = True
        self._fail_waiting()

    def _fail_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for done in waiting:
            done.errback(Deposed("another host leads"))

    async def _run(self) -> None:
        try:
            while self._waiting and not self.closed:
                waiting, self._waiting = self._waiting, []
                dirty, self._dirty = self._dirty, {}
                stored = await self._write_all(dirty)
                if not stored:
                    self._waiting = waiting + self._waiting
                    break
                for done in waiting:
                    done.callback(None)
        finally:
            self._running = False
        if self.closed:
            self._fail_waiting()

    async def _write_all(self, dirty: dict[store.RowKey, Encoder]) -> bool:
        values = {row_key: encoder() for row_key, encoder in dirty.items()}
        while values:
            batch = _first_batch(values)
            if not await self._write_batch(batch):
                return False
            for row_key in batch:
                del values[row_key]
        return True

    async def _write_batch(
        self, batch: dict[store.RowKey, bytes | None]
    ) -> bool:
        """Write until it is stored; False when another host leads."""
        retry_s = FIRST_RETRY_S
        while not self.closed:
            sent_at = self._seconds()
            expected = {self._leader_row_key: self._leader_version}
            for row_key in batch:
                if row_key != self._leader_row_key:
                    expected[row_key] = self._version_by_row_key.get(
                        row_key, 0
                    )
            try:
                outcome = await self._client.transact(
                    expected,
                    {k: v for k, v in batch.items() if v is not None},
                    [
                        row_key
                        for row_key, value in batch.items()
                        if value is None and expected.get(row_key)
                    ],
                )
            except exceptions.CallFailed as failure:
                self.turned_away = not failure.timed_out
                catalogue.emit(
                    logger,
                    events.WriteFailed(
                        len(batch), failure.verdict.value, str(failure)
                    ),
                )
                await self._sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            self.turned_away = False
            if isinstance(outcome, store.Committed):
                self._note_committed(batch, outcome, sent_at)
                return True
            if not self._still_leads(outcome):
                self.closed = True
                self._deposed()
                return False
            # An earlier write of this leader took effect unheard.
            for row in outcome.row_by_row_key.values():
                self._version_by_row_key[row.row_key] = row.version
        return False

    def _note_committed(
        self,
        batch: dict[store.RowKey, bytes | None],
        outcome: store.Committed,
        sent_at: float,
    ) -> None:
        for row_key, value in batch.items():
            version = 0 if value is None else outcome.version
            self._version_by_row_key[row_key] = version
        self._committed(sent_at, outcome, batch)

    def _still_leads(self, conflict: store.Conflict) -> bool:
        row = conflict.row_by_row_key.get(self._leader_row_key)
        return row is not None and row.version == self._leader_version


def _first_batch(
    values: dict[store.RowKey, bytes | None],
) -> dict[store.RowKey, bytes | None]:
    batch: dict[store.RowKey, bytes | None] = {}
    size = 0
    for row_key, value in values.items():
        size += len(value or b"") * 4 // 3 + 200
        if batch and (len(batch) >= BATCH_ROWS or size > BATCH_BYTES):
            break
        batch[row_key] = value
    return batch
