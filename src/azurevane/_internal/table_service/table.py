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
    """A row as read; version 0 if the row doesn't exist."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together if every checked version matches.

    Attributes:
        token: identifies this attempt if its answer is lost.
        version_by_checked_row: row versions that must match.
        value_by_row: new values; None deletes a row.
    """

    token: str
    version_by_checked_row: dict[str, int]
    value_by_row: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction.

    Attributes:
        applied: whether the writes took effect.
        version_by_row: current version of each row in the transaction.
    """

    applied: bool
    version_by_row: dict[str, int]


class TableClient:
    """Reads rows and applies transactions.

    Args:
        budget: limits the rate of this process's writes; None for no limit.
        seconds: monotonic clock of the budget.
    """

    def __init__(
        self,
        json_transport: transport.JsonTransport,
        budget: token_bucket.TokenBucket | None = None,
        seconds: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transport = json_transport
        self._budget = budget
        self._seconds = seconds

    async def read(self, name: str) -> Row:
        """Return a row; the read is transactional, so never stale.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        query = urllib.parse.urlencode({"name": name})
        _, body = await self._transport.call("GET", f"/table/row?{query}")
        return Row(name, body["version"], body["value"])

    async def read_if_changed(self, name: str, version: int) -> Row | None:
        """Return a row, or None if it still has the version.

        The answer for an unchanged row is small, so frequent polling should
        use this method.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        query = urllib.parse.urlencode({"name": name})
        status, body = await self._transport.call(
            "GET", f"/table/row?{query}", None, version
        )
        if status == http.HTTPStatus.NOT_MODIFIED:
            return None
        return Row(name, body["version"], body["value"])

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose names start with a prefix, sorted by name."""
        query = urllib.parse.urlencode({"prefix": prefix})
        _, body = await self._transport.call("GET", f"/table/rows?{query}")
        return tuple(
            Row(row["name"], row["version"], row["value"]) for row in body
        )

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply all writes of a transaction, or none.

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
        status, body = await self._transport.call(
            "POST",
            "/table/transact",
            {
                "token": transaction.token,
                "checks": transaction.version_by_checked_row,
                "puts": transaction.value_by_row,
            },
        )
        return TransactionResult(status == 200, body["versions"])
