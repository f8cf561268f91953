"""Client of the platform's row store: transactions, reads, change feed."""

import base64
from collections.abc import Callable, Sequence
import dataclasses
import functools
import logging
from typing import Any
from urllib import parse

import msgspec
from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import verdict
from azurevane._internal.platform import http_client
from azurevane._internal.utils import json_decoding
from azurevane._internal.utils import latency
from azurevane._internal.utils import repeated_call

logger = logging.getLogger(__name__)

# The store usually answers within about 10 ms. A slow store takes about 50
# times as long.
CALL_TIMEOUT_S = 1.5
# Time of a transaction and a round trip while the store is healthy; the
# estimate of the write latency starts from it.
TYPICAL_WRITE_S = 0.015
# Time of a read while the store is healthy, without a transaction.
TYPICAL_READ_S = 0.01
# Ten times the usual time, also across availability zones.
SLOW_WRITE_S = 0.15
# The protocol allows five times as many rows per page, but a page of that
# size would take seconds on a slow link.
PAGE_ROWS = 100
# Covers a page of the largest usual rows on a slow link.
READ_TIMEOUT_S = 4.0
# Largest usual page, in megabits. So many of them are read side by side as
# arrive within READ_TIMEOUT_S.
_USUAL_PAGE_MBIT = 2.0
# Ranges of all tables that a new leader reads.
MAX_PARALLEL_READS = 40
# A range of rows that is always empty.
_PROBED_TABLE, _PROBED_END = "azurevane-probe", "-"
# Limit of the platform's protocol; conditions count as entries too.
MAX_TRANSACTION_ENTRIES = 100


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies a row; a transaction is limited to one partition."""

    table: str
    partition: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RowRange:
    """Rows of a partition whose keys lie in a range.

    Attributes:
        first: smallest key; empty for no bound.
        end: key before which the range ends; empty for no bound.
    """

    table: str
    partition: str
    first: str = ""
    end: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as stored, or the absence of one.

    Attributes:
        version: number of the transaction that wrote it; 0 if it doesn't
            exist.
        value: None if it doesn't exist.
    """

    row_key: RowKey
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Rows of a read or of the change feed.

    Attributes:
        version: store version that the rows are as new as.
        more: whether the read has further pages.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A committed transaction.

    Attributes:
        version: store version that it created.
        store_time_s: the store's monotonic clock.
    """

    version: int
    store_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction that wrote nothing: a row had an unexpected version.

    Attributes:
        row_by_row_key: current rows of the transaction's conditions.
    """

    row_by_row_key: dict[RowKey, Row]


class _Row(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str | None = None
    # Number of the store-wide transaction that wrote the row; not a count
    # of the row's own changes.
    version: int = msgspec.field(name="schemaVersion", default=0)
    deleted: bool = False


class _Answer(msgspec.Struct):
    """Body of a response; each kind of request uses only some fields."""

    rows: list[_Row] = []
    version: int = msgspec.field(name="schemaVersion", default=0)
    more: bool = msgspec.field(name="hasMore", default=False)
    # The store's monotonic clock, not the time of day.
    now_ms: float = msgspec.field(name="nowMs", default=0.0)


def _decode_row(row: _Row) -> Row:
    row_key = RowKey(row.table, row.part, row.key)
    if row.deleted or row.value is None:
        return Row(row_key, None, 0)
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # Readers of the row report that it can't be decoded; the others hold.
        value = b""
    return Row(row_key, value, row.version)


class StoreClient:
    """Sends transactions and reads to the store; each host has one client.

    Args:
        link_mbps: capacity of the host's network link in megabits per second.

    Attributes:
        last_response_at: monotonic time of the last response, whatever its
            status.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: host_settings.Address,
        reactor: Any,
        link_mbps: float = 1000.0,
    ) -> None:
        self._client = client
        self._address = address
        self._reactor = reactor
        parallel_reads = int(link_mbps * READ_TIMEOUT_S / _USUAL_PAGE_MBIT)
        self._read_slots = defer.DeferredSemaphore(
            min(max(parallel_reads, 1), MAX_PARALLEL_READS)
        )
        self._seconds: Callable[[], float] = reactor.seconds
        self._write_latency = latency.LatencyEstimate(TYPICAL_WRITE_S)
        # Of reads, which tell of a slow store also a host that rarely writes.
        self._read_latency = latency.LatencyEstimate(TYPICAL_READ_S)
        # When the latest overdue write was sent.
        self._overdue_sent_at = float("-inf")
        self._probing = False
        self._last_write_took_s = 0.0
        self.last_response_at = self._seconds()
        # When the newest request was sent that was answered promptly.
        self._newest_prompt_at = float("-inf")

    @property
    def unresponsive(self) -> bool:
        """Whether a write is overdue and nothing has arrived since it."""
        return self.last_response_at < self._overdue_sent_at

    @property
    def slow(self) -> bool:
        """Whether the latest response to a write came late."""
        return self._last_write_took_s > SLOW_WRITE_S

    async def transact(
        self,
        expected_by_row_key: dict[RowKey, int],
        value_by_row_key: dict[RowKey, bytes],
        deletions: Sequence[RowKey] = (),
        *,
        max_wait_s: float = CALL_TIMEOUT_S,
    ) -> Committed | Conflict:
        """Write and delete rows atomically if all expected versions match.

        The request is sent again when its response takes several times as
        long as usual, and the first response is returned. So a conflict may
        come from the request itself.

        Args:
            expected_by_row_key: version that each row must have; 0 for a
                row that must not exist.
            max_wait_s: longest time to wait for the response.

        Raises:
            CallFailed: no usable response; the verdict says whether the
                write may have taken effect or may still do so.
        """
        body = {
            "expectedRev": [
                {**_encode_row_key(row_key), "schemaVersion": version}
                for row_key, version in expected_by_row_key.items()
            ],
            "setKeys": [
                {
                    **_encode_row_key(row_key),
                    "value": base64.b64encode(value).decode(),
                }
                for row_key, value in value_by_row_key.items()
            ],
            "delete": [_encode_row_key(row_key) for row_key in deletions],
        }
        call = repeated_call.RepeatedCall(
            self._reactor,
            functools.partial(self._send_transaction, body),
            overdue_after_s=lambda _: self._overdue_after_s(max_wait_s),
            on_overdue=self._handle_overdue_write,
            may_repeat=self._has_answered_since,
            deadline=self._seconds() + max_wait_s,
        )
        return await call.run()

    def _overdue_after_s(self, max_wait_s: float) -> float:
        return max(
            self._write_latency.timeout_s(max_wait_s),
            self._read_latency.timeout_s(max_wait_s),
        )

    def _record_read(self, took_s: float) -> None:
        if took_s > self._read_latency.timeout_s(CALL_TIMEOUT_S):
            self._read_latency.record_timeout(took_s)
        else:
            self._read_latency.record_response(took_s)

    def _handle_overdue_write(self, sent_at: float) -> None:
        self._overdue_sent_at = sent_at
        self._write_latency.record_timeout(self._seconds() - sent_at)
        self._probe_unless_answered_since(sent_at)

    def _probe_unless_answered_since(self, at: float) -> None:
        if not self._probing and not self._has_answered_since(at):
            self._probing = True
            defer.ensureDeferred(self._probe())

    def _has_answered_since(self, sent_at: float) -> bool:
        """Whether a request that was sent later was answered promptly.

        If so, the response to a request of then was lost; if not, the store
        may be slow, and repeated requests would hold up the next ones.
        """
        return self._newest_prompt_at > sent_at

    async def _probe(self) -> None:
        """Send a short read, which a store that isn't slow answers at once.

        The connection of the overdue request may be silent, and the other
        open ones too.
        """
        try:
            await self.read_page(
                _PROBED_TABLE, "", end=_PROBED_END, new_connection=True
            )
        except exceptions.CallFailed as failure:
            logger.debug("Probing the store failed: %s", failure)
        finally:
            self._probing = False

    async def _send_transaction(
        self, body: Any, timeout_s: float, repeated: bool
    ) -> Committed | Conflict:
        sent_at = self._seconds()
        status, answer = await self._send_request(
            b"POST",
            "/azurevane/rows-tx",
            body,
            timeout_s,
            new_connection=repeated,
        )
        self._last_write_took_s = self._seconds() - sent_at
        self._write_latency.record_response(self._last_write_took_s)
        if status == 412:
            rows = [_decode_row(row) for row in answer.rows]
            return Conflict({row.row_key: row for row in rows})
        return Committed(answer.version, answer.now_ms / 1000)

    async def read_page(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        new_connection: bool = False,
    ) -> ReadResult:
        """Read a page of rows in ascending order of key.

        Args:
            first: smallest key to return; empty for no bound.
            end: key before which the read ends; empty for no bound.
            new_connection: whether to use no connection that is open, as
                those may have gone silent. Otherwise the request is sent
                again over a new one once the response is overdue.

        Raises:
            CallFailed: no usable response.
        """
        read = functools.partial(self._read_page, table, partition, first, end)
        if new_connection:
            return await read(timeout_s, True)
        call = repeated_call.RepeatedCall(
            self._reactor,
            read,
            overdue_after_s=lambda _: self._read_latency.timeout_s(timeout_s),
            on_overdue=self._probe_unless_answered_since,
            may_repeat=self._has_answered_since,
            deadline=self._seconds() + timeout_s,
        )
        return await call.run()

    async def _read_page(
        self,
        table: str,
        partition: str,
        first: str,
        end: str,
        timeout_s: float,
        new_connection: bool,
    ) -> ReadResult:
        query = {"table": table, "part": partition, "limit": str(PAGE_ROWS)}
        if first:
            query["from"] = first
        if end:
            # Despite its name the parameter is the range's exclusive end.
            query["target"] = end
        sent_at = self._seconds()
        _, answer = await self._send_request(
            b"GET",
            f"/azurevane/rows-get?{parse.urlencode(query)}",
            timeout_s=timeout_s,
            new_connection=new_connection,
        )
        self._record_read(self._seconds() - sent_at)
        rows = tuple(_decode_row(row) for row in answer.rows)
        return ReadResult(rows, answer.version, answer.more)

    async def read_range(self, row_range: RowRange) -> ReadResult:
        """Read all rows of a range, as of the first page's version.

        Rows of later pages may be newer than that version.

        Raises:
            CallFailed: no usable response.
        """
        rows: list[Row] = []
        version, first = 0, row_range.first
        while True:
            page = await self.read_page(
                row_range.table,
                row_range.partition,
                first,
                row_range.end,
                timeout_s=READ_TIMEOUT_S,
                new_connection=True,
            )
            version = version or page.version
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return ReadResult(tuple(rows), version)
            # Smallest key greater than the last one.
            first = page.rows[-1].row_key.key + "\x00"

    async def read_ranges(
        self, row_ranges: Sequence[RowRange]
    ) -> tuple[ReadResult, ...]:
        """Read ranges side by side, since each read waits for the store.

        Raises:
            CallFailed: no usable response to one of the reads.
        """
        reads = [
            self._read_slots.run(
                lambda row_range=row_range: defer.ensureDeferred(
                    self.read_range(row_range)
                )
            )
            for row_range in row_ranges
        ]
        try:
            return tuple(await defer.gatherResults(reads, consumeErrors=True))
        except defer.FirstError as first_error:
            raise first_error.subFailure.value from first_error

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> ReadResult:
        """Return the rows changed after a version once there are any.

        The connection may be silent. So the request is sent again over a new
        one once the response is overdue, and the first response is returned.

        Args:
            wait_s: time after which the store answers without a change.

        Raises:
            CallFailed: no usable response.
            StoreHistoryLost: the store no longer keeps those changes.
        """
        due_at = self._seconds() + wait_s
        call = repeated_call.RepeatedCall(
            self._reactor,
            functools.partial(self._read_changes, table, after, wait_s),
            overdue_after_s=lambda repeated: (
                self._read_latency.timeout_s(CALL_TIMEOUT_S)
                + (0.0 if repeated else wait_s)
            ),
            on_overdue=lambda sent_at: self._probe_unless_answered_since(
                max(sent_at, due_at)
            ),
            may_repeat=lambda sent_at: self._has_answered_since(
                max(sent_at, due_at)
            ),
            deadline=due_at + CALL_TIMEOUT_S,
        )
        return await call.run()

    async def _read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        timeout_s: float,
        repeated: bool,
    ) -> ReadResult:
        if repeated:
            # The store has held an earlier request for all of the time.
            wait_s = 0.0
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        sent_at = self._seconds()
        status, answer = await self._send_request(
            b"GET",
            f"/azurevane/rows-feed?{parse.urlencode(query)}",
            timeout_s=timeout_s,
            new_connection=repeated,
        )
        if status == 410:
            raise exceptions.StoreHistoryLost(
                f"store no longer keeps changes of table {table!r} after"
                f" version {after}"
            )
        rows = tuple(_decode_row(row) for row in answer.rows)
        if not rows:
            # The store held the request for all of the time.
            self._record_read(max(self._seconds() - sent_at - wait_s, 0.0))
        return ReadResult(rows, answer.version)

    async def _send_request(
        self,
        method: bytes,
        path: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        *,
        new_connection: bool = False,
    ) -> tuple[int, _Answer]:
        sent_at = self._seconds()
        response = await self._client.call(
            self._address,
            method,
            path,
            body,
            timeout_s=timeout_s,
            new_connection=new_connection,
        )
        self.last_response_at = self._seconds()
        if self.last_response_at - sent_at <= SLOW_WRITE_S:
            self._newest_prompt_at = max(self._newest_prompt_at, sent_at)
        if response.status in (200, 410, 412):
            try:
                return response.status, json_decoding.decode(
                    response.body or b"{}", _Answer
                )
            except msgspec.MsgspecError as error:
                raise exceptions.CallFailed(
                    f"{method.decode()} {path}: {error}",
                    verdict.Verdict.MAY_HAVE_RUN,
                ) from error
        # Every other status means that the store did nothing.
        raise exceptions.CallFailed(
            f"{method.decode()} {path}: HTTP {response.status}",
            verdict.Verdict.NOT_RUN,
        )


def _encode_row_key(row_key: RowKey) -> dict[str, str]:
    return {
        "table": row_key.table,
        "part": row_key.partition,
        "key": row_key.key,
    }
