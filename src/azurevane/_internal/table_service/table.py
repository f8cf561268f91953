"""Client of the platform's transactional table service."""

from collections.abc import Callable
import dataclasses
import http
import time
from typing import Any
import urllib.parse

from azurevane import exceptions
from azurevane._internal.table_service import transport
from azurevane._internal.utils import token_bucket


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read; version 0 means that it doesn't exist."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that apply together, if every checked version matches.

    Attributes:
        token: identifies this attempt when its answer is lost.
        version_by_checked_row: row versions that must match.
        value_by_row: new values; None deletes a row.
    """

    token: str
    version_by_checked_row: dict[str, int]
    value_by_row: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Result of a transaction.

    Attributes:
        applied: whether the writes took effect.
        version_by_row: current versions of the rows named.
    """

    applied: bool
    version_by_row: dict[str, int]


class TableClient:
    """Reads rows and applies transactions.

    Args:
        budget: bounds the writes of this process; None for no bound.
    """

    def __init__(
        self,
        calls: transport.JsonTransport,
        budget: token_bucket.TokenBucket | None = None,
        seconds: Callable[[], float] = time.monotonic,
    ) -> None:
        self._calls = calls
        self._budget = budget
        self._seconds = seconds

    async def read(self, name: str) -> Row:
        """Return a row; transactional, so never stale.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        query = urllib.parse.urlencode({"name": name})
        _, body = await self._calls.call("GET", f"/table/row?{query}")
        return Row(name, body["version"], body["value"])

    async def read_if_changed(self, name: str, version: int) -> Row | None:
        """Return a row, or None if it still has the version.

        The answer without a change is small, so this is the check to
        repeat often.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        query = urllib.parse.urlencode({"name": name})
        status, body = await self._calls.call(
            "GET", f"/table/row?{query}", None, version
        )
        if status == http.HTTPStatus.NOT_MODIFIED:
            return None
        return Row(name, body["version"], body["value"])

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose names start with a prefix, by name."""
        query = urllib.parse.urlencode({"prefix": prefix})
        _, body = await self._calls.call("GET", f"/table/rows?{query}")
        return tuple(
            Row(row["name"], row["version"], row["value"]) for row in body
        )

    async def transact(self, transaction: Transaction) -> Applied:
        """Apply a transaction, or nothing of it.

        Raises:
            StoreNotCalled: the write budget is used up, or the circuit
                breaker is open; nothing was sent.
            StoreUnavailable: no usable answer; the writes may have
                taken effect.
        """
        if self._budget and not self._budget.try_acquire(self._seconds()):
            raise exceptions.StoreNotCalled(
                f"Write budget of {self._budget.rate} a second is used up"
            )
        status, body = await self._calls.call(
            "POST",
            "/table/transact",
            {
                "token": transaction.token,
                "checks": transaction.version_by_checked_row,
                "puts": transaction.value_by_row,
            },
        )
        return Applied(status == 200, body["versions"])
