"""Carries out the lease operations of a control daemon."""

import logging
from typing import Any, Protocol

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.models import rows as row_models
from azurevane._internal.table_service import table
from azurevane._internal.tasks import controller_lease

logger = logging.getLogger(__name__)


class Table(Protocol):
    """Calls of the table service's client that the control daemon needs."""

    async def read(self, name: str) -> table.Row:
        """Return a row."""

    async def read_prefix(self, prefix: str) -> tuple[table.Row, ...]:
        """Return the rows whose names start with a prefix."""

    async def transact(
        self, transaction: table.Transaction
    ) -> table.TransactionResult:
        """Apply a transaction, or nothing of it."""


def to_transaction(batch: row_models.WriteBatch) -> table.Transaction:
    """Convert a batch of writes to a transaction of the table."""
    return table.Transaction(
        batch.token, batch.version_by_checked_row, batch.value_by_row
    )


def to_stored_rows(rows: tuple[table.Row, ...]) -> list[row_models.StoredRow]:
    """Convert rows of the table to the rows that state machines use."""
    return [
        row_models.StoredRow(row.name, row.version, row.value) for row in rows
    ]


class LeaseService:
    """Runs the operations of the lease state machine, one at a time."""

    def __init__(
        self,
        reactor: Any,
        client: Table,
        leases: controller_lease.ControllerLeases,
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._leases = leases

    def tick(self) -> None:
        """Start the operation that is due, if any."""
        for operation in self._leases.tick(self._reactor.seconds()):
            operation_deferred = defer.ensureDeferred(
                self._run_operation(operation)
            )
            operation_deferred.addErrback(
                lambda reason: logger.error(
                    "Lease operation failed: %s", reason.getTraceback()
                )
            )

    async def _run_operation(
        self, operation: controller_lease.Operation
    ) -> None:
        try:
            if isinstance(operation, row_models.ReadPrefix):
                rows = await self._client.read_prefix(operation.prefix)
                self._leases.handle_rows_read(
                    self._reactor.seconds(),
                    operation.number,
                    to_stored_rows(rows),
                )
            else:
                result = await self._client.transact(to_transaction(operation))
                self._leases.handle_write_result(
                    self._reactor.seconds(),
                    operation.number,
                    result.applied,
                    result.version_by_row,
                )
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("lease", str(error))
            )
            self._leases.handle_failure(
                self._reactor.seconds(), operation.number
            )
            return
        self.tick()
