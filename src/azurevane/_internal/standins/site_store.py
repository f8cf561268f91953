"""Stand-in of the platform's store: rows, transactions and changes."""

import base64
from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and body of an answer."""

    status: int
    body: Any = None


_Key = tuple[str, str, str]
# Most rows of a read.
_PAGE_ROWS = 500
# Most entries of a transaction, conditions included.
_TRANSACTION_ENTRIES = 100


class SiteStore:
    """Rows of one site in memory.

    Args:
        reactor: clock of waits.

    Attributes:
        history_from: versions up to this one are forgotten.
        down_partitions: partitions whose rows can be neither read nor written;
            changes are still told.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._row_by_key: dict[_Key, tuple[str, int]] = {}
        self._log: list[tuple[int, _Key, str | None]] = []
        self._waiting: list[tuple[defer.Deferred[None], str]] = []
        self.version = 0
        self.history_from = 0
        self.transactions = 0
        self.down_partitions: set[str] = set()

    # Calls of the operators and the runners.

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or delete a row of the partition with an empty name."""
        text = None if value is None else base64.b64encode(value).decode()
        self._commit({(table, "", key): text})

    def value(self, table: str, partition: str, key: str) -> bytes | None:
        """Return a row's value, or None if it doesn't exist."""
        row = self._row_by_key.get((table, partition, key))
        return None if row is None else base64.b64decode(row[0])

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return sorted(key[2] for key in self._row_by_key if key[0] == table)

    def compact(self) -> None:
        """Forget the history of changes."""
        self.history_from = self.version
        self._log.clear()
        self._wake(lambda table: True)

    # The protocol.

    def handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> "Response | defer.Deferred[Response]":
        """Answer one call."""
        if (method, path) == ("POST", "/azurevane/rows-tx"):
            return self._transact(body)
        if (method, path) == ("GET", "/azurevane/rows-get"):
            if query["part"] in self.down_partitions:
                return Response(503)
            return self._read(query)
        if (method, path) == ("GET", "/azurevane/rows-parts"):
            return self._list_partitions(query)
        if (method, path) == ("GET", "/azurevane/rows-feed"):
            return self._feed(query)
        return Response(404, {"error": f"no call {method} {path}"})

    def _transact(self, body: Any) -> Response:
        for entry in [*body["setKeys"], *body["delete"]]:
            if entry["table"] in ("op", "servers"):
                return Response(403, {"error": "not the system's table"})
        names = ("expectedRev", "setKeys", "delete")
        if sum(len(body[name]) for name in names) > _TRANSACTION_ENTRIES:
            return Response(400, {"error": "too many entries"})
        partitions = {entry["part"] for name in names for entry in body[name]}
        if len(partitions) > 1:
            return Response(400, {"error": "several parts"})
        if partitions & self.down_partitions:
            return Response(503)
        for entry in body["expectedRev"]:
            if self._version(_key(entry)) != entry["schemaVersion"]:
                rows = [
                    self._row(_key(wanted)) for wanted in body["expectedRev"]
                ]
                return Response(412, self._answer(rows=rows))
        changes: dict[_Key, str | None] = {
            _key(entry): entry["value"] for entry in body["setKeys"]
        }
        changes.update({_key(entry): None for entry in body["delete"]})
        self._commit(changes)
        self.transactions += 1
        return Response(200, self._answer())

    def _commit(self, changes: dict[_Key, str | None]) -> None:
        self.version += 1
        for key, value in changes.items():
            if value is None:
                self._row_by_key.pop(key, None)
            else:
                self._row_by_key[key] = value, self.version
            self._log.append((self.version, key, value))
        tables = {key[0] for key in changes}
        self._wake(lambda table: table in tables)

    def _wake(self, wanted: Callable[[str], bool]) -> None:
        woken = [wait for wait, table in self._waiting if wanted(table)]
        self._waiting = [
            (wait, table) for wait, table in self._waiting if not wanted(table)
        ]
        for wait in woken:
            wait.callback(None)

    def _version(self, key: _Key) -> int:
        row = self._row_by_key.get(key)
        return 0 if row is None else row[1]

    def _row(self, key: _Key) -> dict[str, Any]:
        table, partition, name = key
        row_key = {"table": table, "part": partition, "key": name}
        row = self._row_by_key.get(key)
        if row is None:
            return {**row_key, "schemaVersion": 0, "deleted": True}
        return {**row_key, "value": row[0], "schemaVersion": row[1]}

    def _answer(self, **fields: Any) -> dict[str, Any]:
        now_ms = round(self._reactor.seconds() * 1000)
        return {"schemaVersion": self.version, "nowMs": now_ms, **fields}

    def _read(self, query: dict[str, str]) -> Response:
        table, partition = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", _PAGE_ROWS)), _PAGE_ROWS)
        keys = sorted(
            key
            for key in self._row_by_key
            if key[:2] == (table, partition)
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        rows = [self._row(key) for key in keys[:limit]]
        return Response(
            200, self._answer(rows=rows, hasMore=len(keys) > limit)
        )

    def _list_partitions(self, query: dict[str, str]) -> Response:
        partitions = sorted(
            {
                key[1]
                for key in self._row_by_key
                if key[0] == query["table"] and key[1] > query.get("after", "")
            }
            | (
                {""}
                if "after" not in query
                and any(
                    key[:2] == (query["table"], "") for key in self._row_by_key
                )
                else set()
            )
        )
        return Response(200, self._answer(parts=partitions, hasMore=False))

    def _feed(
        self, query: dict[str, str]
    ) -> "Response | defer.Deferred[Response]":
        table, after = query["table"], int(query["after"])
        answer = self._changes(table, after)
        if answer is not None:
            return answer
        wait: defer.Deferred[None] = defer.Deferred()
        self._waiting.append((wait, table))
        wait_s = int(query.get("waitMs", 0)) / 1000
        wait.addTimeout(wait_s, self._reactor)
        wait.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        return wait.addCallback(
            lambda _: (
                self._changes(table, after)
                or Response(200, self._answer(rows=[]))
            )
        )

    def _changes(self, table: str, after: int) -> Response | None:
        if after < self.history_from:
            return Response(410, {"error": "history dropped"})
        last: dict[_Key, int] = {
            key: version
            for version, key, _ in self._log
            if key[0] == table and version > after
        }
        if not last:
            return None
        ordered = sorted(last, key=lambda key: last[key])
        return Response(
            200, self._answer(rows=[self._row(key) for key in ordered])
        )


def _key(entry: dict[str, Any]) -> _Key:
    return entry["table"], entry["part"], entry["key"]
