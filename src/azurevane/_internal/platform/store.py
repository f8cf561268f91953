"""Rows of the platform's store: transactions, reads and changes."""

import base64
from collections.abc import Callable, Sequence
import dataclasses
from typing import Any
from urllib import parse

import msgspec

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import verdict
from azurevane._internal.platform import http_client
from azurevane._internal.utils import latency

# An answer takes about 10 ms; a slow store takes about 50 times as long.
CALL_TIMEOUT_S = 1.5
# A write takes a transaction and a round trip while the store is well.
TYPICAL_WRITE_S = 0.015
# Rows of a read. The protocol allows five times as many, which a slow link
# would carry for seconds.
PAGE_ROWS = 100
# A page of the largest usual rows takes this long on a slow link.
READ_TIMEOUT_S = 4.0
# Most entries of a transaction, by the platform's protocol.
TRANSACTION_ENTRIES = 100


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Place of a row; transactions hold rows of one part."""

    table: str
    partition: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as the store has it.

    Attributes:
        version: number of the transaction that wrote it; 0 if it doesn't
            exist.
        value: None if it doesn't exist.
    """

    row_key: RowKey
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows of a read or a feed, as of ``version``."""

    rows: tuple[Row, ...]
    version: int
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A transaction that took effect under ``version``.

    Attributes:
        store_time_s: the store's steady clock.
    """

    version: int
    store_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction without effect: a row had another version.

    Attributes:
        row_by_row_key: the rows of its conditions as they are.
    """

    row_by_row_key: dict[RowKey, Row]


class _Row(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str | None = None
    # Counts all transactions of the store, not the row's own changes.
    version: int = msgspec.field(name="schemaVersion", default=0)
    deleted: bool = False


class _Answer(msgspec.Struct):
    rows: list[_Row] = []
    version: int = msgspec.field(name="schemaVersion", default=0)
    more: bool = msgspec.field(name="hasMore", default=False)
    # A steady clock of the store, not the time of day.
    now_ms: float = msgspec.field(name="nowMs", default=0.0)
    parts: list[str] = []


def _decode_row(row: _Row) -> Row:
    row_key = RowKey(row.table, row.part, row.key)
    if row.deleted or row.value is None:
        return Row(row_key, None, 0)
    return Row(row_key, base64.b64decode(row.value), row.version)


class StoreClient:
    """Calls the store; every host has one.

    Attributes:
        last_answer_at: steady time of the last answer of any kind.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: host_settings.Address,
        seconds: Callable[[], float],
    ) -> None:
        self._client = client
        self._address = address
        self._seconds = seconds
        self._write_latency = latency.LatencyEstimate(TYPICAL_WRITE_S)
        self.last_answer_at = seconds()

    async def transact(
        self,
        expected_by_row_key: dict[RowKey, int],
        value_by_row_key: dict[RowKey, bytes],
        deletions: Sequence[RowKey] = (),
        *,
        max_wait_s: float = CALL_TIMEOUT_S,
    ) -> Committed | Conflict:
        """Write rows at once if the rows of the condition are as expected.

        An answer that takes several times as long as usual is taken as
        lost.

        Args:
            expected_by_row_key: version that each row must have; 0 for a
                row that must not exist.
            max_wait_s: longest time to wait for the answer.

        Raises:
            CallFailed: the verdict says whether the write may have taken
                effect or still may.
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
        began_at = self._seconds()
        timeout_s = self._write_latency.timeout_s(max_wait_s)
        try:
            status, answer = await self._call(
                b"POST", "/azurevane/rows-tx", body, timeout_s
            )
        except exceptions.CallFailed:
            waited_s = self._seconds() - began_at
            if waited_s >= timeout_s:
                self._write_latency.note_silence(waited_s)
            raise
        self._write_latency.note_answer(self._seconds() - began_at)
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
    ) -> Rows:
        """Read a page of rows by ascending key, ``end`` excluded.

        Raises:
            CallFailed: no usable answer came.
        """
        query = {"table": table, "part": partition, "limit": str(PAGE_ROWS)}
        if first:
            query["from"] = first
        if end:
            # The wire's name suggests a destination; it ends the range.
            query["target"] = end
        _, answer = await self._call(
            b"GET",
            f"/azurevane/rows-get?{parse.urlencode(query)}",
            timeout_s=timeout_s,
        )
        rows = tuple(_decode_row(row) for row in answer.rows)
        return Rows(rows, answer.version, answer.more)

    async def read_partition(self, table: str, partition: str) -> Rows:
        """Read all rows of a part; the version is the first page's."""
        rows: list[Row] = []
        version, first = 0, ""
        while True:
            page = await self.read_page(
                table, partition, first, timeout_s=READ_TIMEOUT_S
            )
            version = version or page.version
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return Rows(tuple(rows), version)
            # The smallest key above the last one.
            first = page.rows[-1].row_key.key + "\x00"

    async def list_partitions(self, table: str) -> tuple[str, ...]:
        """Return the names of a table's parts."""
        names: list[str] = []
        while True:
            query = {"table": table}
            if names:
                query["after"] = names[-1]
            _, answer = await self._call(
                b"GET", f"/azurevane/rows-parts?{parse.urlencode(query)}"
            )
            names.extend(answer.parts)
            if not answer.more or not answer.parts:
                return tuple(names)

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Rows:
        """Return what changed after a version, as soon as there is some.

        Raises:
            CallFailed: no usable answer came.
            StoreHistoryLost: the changes are no longer known.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        status, answer = await self._call(
            b"GET",
            f"/azurevane/rows-feed?{parse.urlencode(query)}",
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        if status == 410:
            raise exceptions.StoreHistoryLost(
                f"the store has no changes of table {table!r} after {after}"
            )
        rows = tuple(_decode_row(row) for row in answer.rows)
        return Rows(rows, answer.version)

    async def _call(
        self,
        method: bytes,
        path: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, _Answer]:
        answer = await self._client.call(
            self._address, method, path, body, timeout_s=timeout_s
        )
        self.last_answer_at = self._seconds()
        if answer.status in (200, 410, 412):
            try:
                return answer.status, msgspec.json.decode(
                    answer.body or b"{}", type=_Answer
                )
            except msgspec.MsgspecError as error:
                raise exceptions.CallFailed(
                    f"{method.decode()} {path}: {error}",
                    verdict.Verdict.MAY_HAVE_RUN,
                ) from error
        # All other statuses say that nothing was done.
        raise exceptions.CallFailed(
            f"{method.decode()} {path}: HTTP {answer.status}",
            verdict.Verdict.NOT_RUN,
        )


def _encode_row_key(row_key: RowKey) -> dict[str, str]:
    return {
        "table": row_key.table,
        "part": row_key.partition,
        "key": row_key.key,
    }
