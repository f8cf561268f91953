"""Reads and writes the rows of jobs in the store for callers' requests."""

from collections.abc import Awaitable, Callable, Sequence

from azurevane import exceptions
from azurevane._internal.callers import request_refused
from azurevane._internal.models import verdict
from azurevane._internal.platform import store
from azurevane._internal.scheduler import records

# Limit for all attempts at a write. The least patient callers wait for about
# three seconds.
WRITE_TIMEOUT_S = 1.8
# Pause before a write is repeated that the store has rejected after an earlier
# attempt got no response.
SETTLE_RETRY_DELAY_S = 0.1
# Another host may still reach a store that is unavailable to this one.
STORE_UNAVAILABLE_RETRY_S = 1


class JobStore:
    """Rows of jobs in the store; its failures refuse the request.

    Args:
        seconds: returns monotonic time.
        sleep: waits a number of seconds.
    """

    def __init__(
        self,
        client: store.StoreClient,
        seconds: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._client = client
        self._seconds = seconds
        self._sleep = sleep

    async def write_rows(
        self,
        expected_by_row_key: dict[store.RowKey, int],
        value_by_row_key: dict[store.RowKey, bytes],
        deletions: Sequence[store.RowKey] = (),
    ) -> store.Conflict | None:
        """Write rows, retrying while the outcome is unknown.

        Returns:
            The version conflict, if a row has another version.
        """
        if self._client.unresponsive:
            # The outcome of another write would be unknown as well.
            raise request_refused.RequestRefused(
                503, "store doesn't respond", STORE_UNAVAILABLE_RETRY_S
            )
        deadline = self._seconds() + WRITE_TIMEOUT_S
        unknown_failure = ""
        while (remaining_s := deadline - self._seconds()) > 0:
            try:
                outcome = await self._client.transact(
                    expected_by_row_key,
                    value_by_row_key,
                    deletions,
                    max_wait_s=remaining_s,
                )
                return outcome if isinstance(outcome, store.Conflict) else None
            except exceptions.CallFailed as failure:
                if failure.verdict is verdict.Verdict.NOT_RUN:
                    if not unknown_failure:
                        raise request_refused.RequestRefused(
                            503, str(failure), STORE_UNAVAILABLE_RETRY_S
                        ) from failure
                    # A later attempt may still show what became of the
                    # earlier one.
                    await self._sleep(SETTLE_RETRY_DELAY_S)
                    continue
                # Repeating the write shows whether this one took effect.
                unknown_failure = str(failure)
        raise request_refused.RequestRefused(
            504, unknown_failure, None, verdict.Verdict.MAY_HAVE_RUN
        )

    async def read_rows(
        self, table: str, partition: str, job_id: str
    ) -> dict[str, bytes | None]:
        """Return the values of a job's rows in a table, by their keys."""
        try:
            read = await self._client.read_page(
                table, partition, job_id, job_id + records.KEY_END
            )
        except exceptions.CallFailed as failure:
            raise request_refused.RequestRefused(
                503, str(failure), STORE_UNAVAILABLE_RETRY_S
            ) from failure
        return {row.row_key.key: row.value for row in read.rows}


def exists(conflict: store.Conflict, row_key: store.RowKey) -> bool:
    """Whether a row of a version conflict exists."""
    row = conflict.row_by_row_key.get(row_key)
    return row is not None and row.value is not None


def row_key(job_id: str, suffix: str = "") -> store.RowKey:
    """Return the key of a job's submission, or of another of its rows."""
    return store.RowKey(
        records.JOBS_TABLE, records.job_partition(job_id), job_id + suffix
    )
