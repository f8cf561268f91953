"""Stand-in for the platform's store: rows, transactions, change feed."""

import base64
from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and body of a response."""

    status: int
    body: Any = None


_RowKey = tuple[str, str, str]
# Limit of the rows that one read returns.
_MAX_READ_ROWS = 500
# Limit of the entries of a transaction, conditions included.
_MAX_NAME_BYTES = 200
_MAX_TRANSACTION_ENTRIES = 100
MAX_ROW_BYTES = 65536
_JOBS_TABLE = "azurevane-jobs"


class SiteStore:
    """In-memory rows of one site.

    Args:
        reactor: clock for timestamps and for waiting change feeds.

    Attributes:
        compacted_version: changes up to this version are dropped.
        down_partitions: partitions whose rows can be neither read nor
            written; the change feed still reports their changes.
        max_row_bytes: largest value of a row.
        on_job_partition_read: called once after the next read of a partition
            of the jobs' table.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._row_by_row_key: dict[_RowKey, tuple[str, int]] = {}
        self._changes_log: list[tuple[int, _RowKey, str | None]] = []
        self._waiting_feeds: list[tuple[defer.Deferred[None], str]] = []
        self.version = 0
        self.compacted_version = 0
        self.transactions = 0
        self.max_row_bytes = MAX_ROW_BYTES
        self.down_partitions: set[str] = set()
        self.on_job_partition_read: Callable[[], None] | None = None

    # Direct access for tests, in place of operators and runners.

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or delete a row of the partition with an empty name."""
        text = None if value is None else base64.b64encode(value).decode()
        self._write_rows({(table, "", key): text})

    def value(self, table: str, partition: str, key: str) -> bytes | None:
        """Return a row's value, or None if it doesn't exist."""
        row = self._row_by_row_key.get((table, partition, key))
        return None if row is None else base64.b64decode(row[0])

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return sorted(
            key[2] for key in self._row_by_row_key if key[0] == table
        )

    def compact_history(self) -> None:
        """Drop the change history; feeds from older versions get 410."""
        self.compacted_version = self.version
        self._changes_log.clear()
        self._wake_feeds(lambda table: True)

    # HTTP API.

    def handle_request(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> "Response | defer.Deferred[Response]":
        """Return the response to a request, possibly deferred."""
        if (method, path) == ("POST", "/azurevane/rows-tx"):
            return self._apply_transaction(body)
        if (method, path) == ("GET", "/azurevane/rows-get"):
            if query["part"] in self.down_partitions:
                return Response(503)
            return self._read_rows(query)
        if (method, path) == ("GET", "/azurevane/rows-parts"):
            return self._list_partitions(query["table"])
        if (method, path) == ("GET", "/azurevane/rows-feed"):
            return self._read_feed(query)
        return Response(404, {"error": f"no call {method} {path}"})

    def _apply_transaction(self, body: Any) -> Response:
        for entry in [*body["setKeys"], *body["delete"]]:
            if entry["table"] in ("op", "servers"):
                return Response(403, {"error": "not the system's table"})
        names = ("expectedRev", "setKeys", "delete")
        if sum(len(body[name]) for name in names) > _MAX_TRANSACTION_ENTRIES:
            return Response(400, {"error": "too many entries"})
        if any(map(self._is_too_large, body["setKeys"])):
            return Response(400, {"error": "row or key too large"})
        partitions = {entry["part"] for name in names for entry in body[name]}
        if len(partitions) > 1:
            return Response(400, {"error": "several parts"})
        if partitions & self.down_partitions:
            return Response(503)
        for entry in body["expectedRev"]:
            if self._version(_row_key(entry)) != entry["schemaVersion"]:
                rows = [
                    self._row(_row_key(wanted))
                    for wanted in body["expectedRev"]
                ]
                return Response(412, self._response_body(rows=rows))
        changes: dict[_RowKey, str | None] = {
            _row_key(entry): entry["value"] for entry in body["setKeys"]
        }
        changes.update({_row_key(entry): None for entry in body["delete"]})
        self._write_rows(changes)
        self.transactions += 1
        return Response(200, self._response_body())

    def _is_too_large(self, entry: Any) -> bool:
        value_bytes = len(base64.b64decode(entry["value"]))
        key_bytes = len(entry["key"].encode())
        return value_bytes > self.max_row_bytes or key_bytes > _MAX_NAME_BYTES

    def _write_rows(self, changes: dict[_RowKey, str | None]) -> None:
        self.version += 1
        for key, value in changes.items():
            if value is None:
                self._row_by_row_key.pop(key, None)
            else:
                self._row_by_row_key[key] = value, self.version
            self._changes_log.append((self.version, key, value))
        tables = {key[0] for key in changes}
        self._wake_feeds(lambda table: table in tables)

    def _wake_feeds(self, wanted: Callable[[str], bool]) -> None:
        woken = [wait for wait, table in self._waiting_feeds if wanted(table)]
        self._waiting_feeds = [
            (wait, table)
            for wait, table in self._waiting_feeds
            if not wanted(table)
        ]
        for wait in woken:
            wait.callback(None)

    def _version(self, key: _RowKey) -> int:
        row = self._row_by_row_key.get(key)
        return 0 if row is None else row[1]

    def _row(self, key: _RowKey) -> dict[str, Any]:
        table, partition, name = key
        key_fields = {"table": table, "part": partition, "key": name}
        row = self._row_by_row_key.get(key)
        if row is None:
            return {**key_fields, "schemaVersion": 0, "deleted": True}
        return {**key_fields, "value": row[0], "schemaVersion": row[1]}

    def _response_body(self, **fields: Any) -> dict[str, Any]:
        now_ms = round(self._reactor.seconds() * 1000)
        return {"schemaVersion": self.version, "nowMs": now_ms, **fields}

    def _read_rows(self, query: dict[str, str]) -> Response:
        table, partition = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", _MAX_READ_ROWS)), _MAX_READ_ROWS)
        keys = sorted(
            key
            for key in self._row_by_row_key
            if key[:2] == (table, partition)
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        rows = [self._row(key) for key in keys[:limit]]
        response = Response(
            200, self._response_body(rows=rows, hasMore=len(keys) > limit)
        )
        if table == _JOBS_TABLE and self.on_job_partition_read is not None:
            on_read, self.on_job_partition_read = (
                self.on_job_partition_read,
                None,
            )
            on_read()
        return response

    def _list_partitions(self, table: str) -> Response:
        # Builds up to 740e359 ask for it.
        partitions = sorted(
            {key[1] for key in self._row_by_row_key if key[0] == table}
        )
        return Response(
            200, self._response_body(parts=partitions, hasMore=False)
        )

    def _read_feed(
        self, query: dict[str, str]
    ) -> "Response | defer.Deferred[Response]":
        table, after = query["table"], int(query["after"])
        answer = self._changes_after(table, after)
        if answer is not None:
            return answer
        wait: defer.Deferred[None] = defer.Deferred()
        self._waiting_feeds.append((wait, table))
        wait_s = int(query.get("waitMs", 0)) / 1000
        wait.addTimeout(wait_s, self._reactor)
        wait.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        return wait.addCallback(
            lambda _: (
                self._changes_after(table, after)
                or Response(200, self._response_body(rows=[]))
            )
        )

    def _changes_after(self, table: str, after: int) -> Response | None:
        if after < self.compacted_version:
            return Response(410, {"error": "history dropped"})
        last: dict[_RowKey, int] = {
            key: version
            for version, key, _ in self._changes_log
            if key[0] == table and version > after
        }
        if not last:
            return None
        ordered = sorted(last, key=lambda key: last[key])
        return Response(
            200, self._response_body(rows=[self._row(key) for key in ordered])
        )


def _row_key(entry: dict[str, Any]) -> _RowKey:
    return entry["table"], entry["part"], entry["key"]
