"""Follows a table of the store: reads it whole, then its changes."""

from collections.abc import Callable, Sequence
import logging
import random
import traceback
from typing import Any

from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.platform import store

logger = logging.getLogger(__name__)

# Pause before a failed read is retried; a random share is added so that the
# hosts don't all return to the store at the same time.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5
# Longest pause after an unexpected error, which may come again each time that
# the table is read.
MAX_UNEXPECTED_DELAY_S = 5.0


class TableFollower:
    """Keeps a reader up to date with one table.

    Args:
        partitions: all partitions that the table may have.
        pause_s: pause between two reads, so that one read returns more
            changes.
        on_snapshot: called with all rows after the whole table was read.
        on_changes: called with rows that changed since.
        on_confirmed: called with the latest time at which the rows passed
            on so far are known to have been up to date.
        on_outage: called with True when reads begin to fail, and with False
            when they succeed again.
        deliver_after: fires when the first rows may be passed on; they may be
            read before.

    Attributes:
        wait_s: how long the store may hold a request until a row changes.
        snapshot_began_at: when the latest read of the whole table began.
    """

    def __init__(
        self,
        reactor: Any,
        client: store.StoreClient,
        table: str,
        *,
        wait_s: float,
        on_snapshot: Callable[[Sequence[store.Row]], None],
        on_changes: Callable[[Sequence[store.Row]], None],
        on_confirmed: Callable[[float], None] = lambda sent_at: None,
        on_outage: Callable[[bool], None] = lambda failing: None,
        deliver_after: "defer.Deferred[None] | None" = None,
        partitions: Sequence[str] = ("",),
        pause_s: float = 0.0,
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._table = table
        self.wait_s = wait_s
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_confirmed = on_confirmed
        self._on_outage = on_outage
        self._deliver_after = deliver_after
        self._ranges = [
            store.RowRange(table, partition) for partition in partitions
        ]
        self._pause_s = pause_s
        self.snapshot_began_at = float("-inf")
        self._version: int | None = None
        self._failing_since: float | None = None
        self._stopped = False

    def stop(self) -> None:
        """Stop reading the table."""
        self._stopped = True

    async def run(self) -> None:
        """Follow the table until stopped."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        unexpected_delay_s = MAX_RETRY_DELAY_S
        while not self._stopped:
            sent_at = self._reactor.seconds()
            try:
                await self._read_next(sent_at)
            except exceptions.StoreHistoryLost:
                self._version = None
                continue
            except exceptions.CallFailed as failure:
                self._handle_read_failure(str(failure))
                pause_s = retry_delay_s * random.uniform(1.0, 1.5)
                await twisted_task.deferLater(
                    self._reactor, pause_s, lambda: None
                )
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            except Exception as error:
                catalogue.emit(
                    logger,
                    events.StepFailed(
                        f"follow {self._table}",
                        repr(error),
                        traceback.format_exc(),
                    ),
                )
                # The rows that were passed on may have been applied in part.
                self._version = None
                await twisted_task.deferLater(
                    self._reactor, unexpected_delay_s, lambda: None
                )
                unexpected_delay_s = min(
                    unexpected_delay_s * 2, MAX_UNEXPECTED_DELAY_S
                )
                continue
            retry_delay_s = INITIAL_RETRY_DELAY_S
            self._handle_read_success()
            if self._pause_s:
                await twisted_task.deferLater(
                    self._reactor, self._pause_s, lambda: None
                )

    async def _read_next(self, sent_at: float) -> None:
        if self._version is None:
            await self._read_snapshot(sent_at)
            return
        # After a failure the store isn't asked to wait for a change, so that
        # its response shows at once that it works again.
        wait_s = self.wait_s if self._failing_since is None else 0.0
        changes = await self._client.wait_for_changes(
            self._table, self._version, wait_s
        )
        if self._stopped:
            return
        self._version = max(self._version, changes.version)
        if changes.rows:
            self._on_changes(changes.rows)
            self._on_confirmed(sent_at)
            return
        # No row changed while the store held the request.
        held_until = min(sent_at + wait_s, self._reactor.seconds())
        self._on_confirmed(held_until)

    async def _read_snapshot(self, sent_at: float) -> None:
        reads = await self._client.read_ranges(self._ranges)
        if self._deliver_after is not None:
            await self._deliver_after
        if self._stopped:
            return
        rows = [row for read in reads for row in read.rows]
        # The changes since the first read include those of rows that were
        # read later.
        version = min(read.version for read in reads)
        self._version = version
        catalogue.emit(
            logger, events.TableReadAnew(self._table, len(rows), version)
        )
        self.snapshot_began_at = sent_at
        self._on_snapshot(rows)
        self._on_confirmed(sent_at)

    def _handle_read_failure(self, error: str) -> None:
        if self._failing_since is None:
            self._failing_since = self._reactor.seconds()
            self._on_outage(True)
            catalogue.emit(
                logger, events.StoreLost(f"follow {self._table}", error)
            )

    def _handle_read_success(self) -> None:
        if self._failing_since is None:
            return
        lost_s = self._reactor.seconds() - self._failing_since
        self._failing_since = None
        self._on_outage(False)
        catalogue.emit(
            logger,
            events.StoreRegained(f"follow {self._table}", round(lost_s, 3)),
        )


def log_unreadable_row(row: store.Row, error: Exception) -> None:
    """Log a row that can't be decoded and is ignored."""
    catalogue.emit(
        logger,
        events.RowUnreadable(row.row_key.table, row.row_key.key, str(error)),
    )
