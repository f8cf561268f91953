"""Handles callers' requests about jobs by using the platform's store."""

from collections.abc import Awaitable, Callable
import dataclasses
import logging
from typing import Any

import msgspec

from azurevane import exceptions
from azurevane._internal.callers import job_routes
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import site
from azurevane._internal.models import verdict
from azurevane._internal.platform import job_requests
from azurevane._internal.platform import store
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runs

logger = logging.getLogger(__name__)

# Limit for all attempts at a write. The least patient callers wait for about
# three seconds.
WRITE_TIMEOUT_S = 1.8
# Pause before a write is repeated that the store has rejected after an earlier
# attempt got no response.
SETTLE_RETRY_DELAY_S = 0.1
# The store counts as unavailable without a response for this long, because
# the operators' rows are read more often than that.
STORE_SILENCE_LIMIT_S = 1.7
# Another host may still reach a store that is unavailable to this one.
STORE_UNAVAILABLE_RETRY_S = 1
# A new host has its configuration within about a second.
NO_CONFIG_RETRY_S = 1
# The platform's protocol allows counts of pending jobs that are 2 s old; the
# leader updates them more than once a second.
PENDING_MAX_AGE_S = 4.0
# Without a read of the store for this long the configuration may be
# outdated; it is read about every second.
CONFIG_MAX_AGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """A caller's complete request."""

    method: str
    host_name: str
    path: str
    authorization: str | None
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class JobResponse:
    """A response; ``retry_after_s`` is set if a later retry may succeed."""

    status: int
    body: bytes = b""
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestRefused(Exception):
    """Raised to refuse a request; holds the fields of the response."""

    status: int
    reason: str
    retry_after_s: int | None = None
    outcome: verdict.Verdict = verdict.Verdict.NOT_RUN


class JobHandler:
    """Accepts, shows and cancels jobs.

    The rows of jobs are in the store, so every host handles requests about
    any job.

    Args:
        seconds: returns monotonic time.
        unix_time: returns Unix time in seconds.
        sleep: waits a number of seconds.
        max_row_bytes: largest value of a row that the store accepts.
    """

    def __init__(
        self,
        client: store.StoreClient,
        *,
        seconds: Callable[[], float],
        unix_time: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        max_row_bytes: int = records.MAX_ROW_BYTES,
    ) -> None:
        self._client = client
        self._sleep = sleep
        self._max_row_bytes = max_row_bytes
        self._seconds = seconds
        self._unix_time = unix_time
        self._config: site.SiteConfig | None = None
        self._routes: job_routes.JobRoutes | None = None
        self._config_confirmed_at = seconds()
        self._pending_by_queue: dict[str, int] = {}
        self._pending_updated_at = float("-inf")
        self._store_reads_failing = False
        # When the latest write was sent that got no response in time.
        self._unanswered_write_sent_at = float("-inf")

    @property
    def config(self) -> site.SiteConfig | None:
        """Configuration in force on this host."""
        return self._config

    def set_config(self, config: site.SiteConfig) -> bool:
        """Put a configuration in force if it is newer than the current one.

        Returns:
            Whether the configuration was put in force.
        """
        if self._config is not None and config.version <= self._config.version:
            return False
        self._config = config
        self._routes = job_routes.JobRoutes(config)
        return True

    def confirm_config_current(self, now: float) -> None:
        """Record that the configuration was up to date at a time."""
        self._config_confirmed_at = max(self._config_confirmed_at, now)

    def config_age_s(self) -> float:
        """Return the time since the configuration was known up to date."""
        return self._seconds() - self._config_confirmed_at

    def set_pending(self, pending_by_queue: dict[str, int]) -> None:
        """Replace the counts of pending jobs by the leader's new ones."""
        self._pending_by_queue = pending_by_queue
        self._pending_updated_at = self._seconds()

    def set_store_reads_failing(self, failing: bool) -> None:
        """Record whether reads of the store fail; writes would fail too."""
        self._store_reads_failing = failing

    def ready(self) -> bool:
        """Return whether this host can serve callers."""
        return self._config is not None and not self._store_unavailable()

    def _store_unavailable(self) -> bool:
        silent_s = self._seconds() - self._client.last_response_at
        return (
            self._store_reads_failing
            or silent_s > STORE_SILENCE_LIMIT_S
            or self.config_age_s() > CONFIG_MAX_AGE_S
        )

    async def handle(self, request: JobRequest) -> JobResponse:
        """Run a request; the body of a refusal includes its verdict."""
        try:
            return await self._dispatch(request)
        except _RequestRefused as refused:
            self._log_refusal(request, refused)
            text = f"{refused.reason} (verdict: {refused.outcome.value})"
            return JobResponse(
                refused.status,
                job_requests.encode_error(text),
                refused.retry_after_s,
            )

    def _log_refusal(
        self, request: JobRequest, refused: _RequestRefused
    ) -> None:
        version = 0 if self._config is None else self._config.version
        catalogue.emit(
            logger,
            events.CallRefused(
                f"{request.method} {request.path}",
                refused.status,
                refused.reason,
                version,
                round(self.config_age_s(), 3),
                refused.outcome.value,
            ),
        )

    async def _dispatch(self, request: JobRequest) -> JobResponse:
        config, routes = self._config, self._routes
        if config is None or routes is None:
            raise _RequestRefused(
                503, "no configuration yet", NO_CONFIG_RETRY_S
            )
        match = routes.find(request.host_name, request.path)
        if self._store_unavailable():
            raise _RequestRefused(503, "store away", STORE_UNAVAILABLE_RETRY_S)
        if match is None:
            raise _RequestRefused(404, "no such queue")
        key = job_routes.bearer_key(request.authorization)
        team = config.team_by_key.get(key, "")
        if not match.queue.open and not team:
            raise _RequestRefused(401, "unknown key")
        if request.method == "GET" and not match.job_id:
            return self._show_pending_count(match.queue)
        if not job_requests.valid_job_id(match.job_id):
            raise _RequestRefused(404, "no job of that name")
        if request.method == "POST":
            return await self._submit_job(request, match, team)
        if request.method == "GET":
            return await self._show_job(match.job_id)
        if request.method == "DELETE":
            return await self._cancel_job(match.job_id)
        raise _RequestRefused(405, "no such method")

    def _show_pending_count(self, queue: site.Queue) -> JobResponse:
        if self._seconds() - self._pending_updated_at > PENDING_MAX_AGE_S:
            raise _RequestRefused(
                503,
                "no recent counts",
                STORE_UNAVAILABLE_RETRY_S,
            )
        count = self._pending_by_queue.get(queue.name, 0)
        return JobResponse(200, job_requests.encode_pending(count))

    async def _submit_job(
        self, request: JobRequest, match: job_routes.RouteMatch, team: str
    ) -> JobResponse:
        assert self._config is not None
        began_at = self._seconds()
        if len(request.body) > self._config.limits.body_bytes:
            raise _RequestRefused(413, "body too large")
        try:
            job = job_requests.decode_job(
                request.body,
                job_id=match.job_id,
                queue=match.queue,
                team=team,
                now=self._unix_time(),
            )
        except exceptions.JobRejected as error:
            raise _RequestRefused(400, str(error)) from error
        value = records.encode_job(job)
        max_tasks = self._max_row_bytes // records.MIN_TASK_BYTES
        if len(value) > self._max_row_bytes or job.task_count > max_tasks:
            raise _RequestRefused(413, "job too large to be stored")
        version = self._config.version
        row_key = _job_row_key(job.id)
        conflict = await self._write_rows(
            {row_key: 0, _cancel_row_key(job.id): 0},
            {row_key: value},
        )
        if conflict is not None and not _exists(conflict, row_key):
            raise _RequestRefused(
                410, "job was cancelled before it was stored"
            )
        catalogue.emit(
            logger,
            events.JobAccepted(
                job.id,
                job.queue,
                team,
                version,
                round(self._seconds() - began_at, 4),
            ),
        )
        return JobResponse(200)

    async def _write_rows(
        self,
        expected_by_row_key: dict[store.RowKey, int],
        value_by_row_key: dict[store.RowKey, bytes],
    ) -> store.Conflict | None:
        """Write rows, retrying while the outcome is unknown.

        Returns:
            The version conflict, if some of the rows exist already.
        """
        if self._client.last_response_at < self._unanswered_write_sent_at:
            # The outcome of another write would be unknown as well.
            raise _RequestRefused(
                503, "store doesn't respond", STORE_UNAVAILABLE_RETRY_S
            )
        deadline = self._seconds() + WRITE_TIMEOUT_S
        unknown_failure = ""
        while (remaining_s := deadline - self._seconds()) > 0:
            sent_at = self._seconds()
            try:
                outcome = await self._client.transact(
                    expected_by_row_key,
                    value_by_row_key,
                    max_wait_s=remaining_s,
                )
                return outcome if isinstance(outcome, store.Conflict) else None
            except exceptions.CallFailed as failure:
                if failure.verdict is verdict.Verdict.NOT_RUN:
                    if not unknown_failure:
                        raise _RequestRefused(
                            503, str(failure), STORE_UNAVAILABLE_RETRY_S
                        ) from failure
                    # A later attempt may still show what became of the
                    # earlier one.
                    await self._sleep(SETTLE_RETRY_DELAY_S)
                    continue
                # Repeating the write shows whether this one took effect.
                unknown_failure = str(failure)
                if failure.timed_out:
                    self._unanswered_write_sent_at = sent_at
        raise _RequestRefused(
            504, unknown_failure, None, verdict.Verdict.MAY_HAVE_RUN
        )

    async def _read_job_rows(
        self, table: str, partition: str, job_id: str
    ) -> Any:
        try:
            read = await self._client.read_page(
                table, partition, job_id, job_id + records.KEY_END
            )
        except exceptions.CallFailed as failure:
            raise _RequestRefused(
                503, str(failure), STORE_UNAVAILABLE_RETRY_S
            ) from failure
        return {row.row_key.key: row.value for row in read.rows}

    async def _show_job(self, job_id: str) -> JobResponse:
        partition = records.job_partition(job_id)
        job_rows = await self._read_job_rows(
            records.JOBS_TABLE, partition, job_id
        )
        if job_id not in job_rows:
            raise _RequestRefused(410, "no such job")
        state_rows = await self._read_job_rows(
            records.STATE_TABLE, records.LEADER_PARTITION, job_id
        )
        status = runs.JobStatus.QUEUED
        if job_id in state_rows:
            try:
                status = records.decode_status(state_rows[job_id])
            except (msgspec.MsgspecError, ValueError) as error:
                catalogue.emit(
                    logger,
                    events.RowUnreadable(
                        records.STATE_TABLE, job_id, str(error)
                    ),
                )
        cancelled = job_id + records.CANCEL_SUFFIX in job_rows
        if cancelled and not status.ended:
            status = runs.JobStatus.CANCELLED
        return JobResponse(200, job_requests.encode_state(status.value))

    async def _cancel_job(self, job_id: str) -> JobResponse:
        began_at = self._seconds()
        partition = records.job_partition(job_id)
        job_rows = await self._read_job_rows(
            records.JOBS_TABLE, partition, job_id
        )
        row_key = _cancel_row_key(job_id)
        if job_id not in job_rows:
            await self._cancel_unknown_job(job_id)
        elif row_key.key not in job_rows:
            await self._write_rows({row_key: 0}, {row_key: b"{}"})
        catalogue.emit(
            logger,
            events.JobCancelStored(
                job_id, round(self._seconds() - began_at, 4)
            ),
        )
        return JobResponse(200)

    async def _cancel_unknown_job(self, job_id: str) -> None:
        """Keep a submission that the store may still carry out from running.

        Returns if the job has been stored and cancelled meanwhile.
        """
        job_row_key = _job_row_key(job_id)
        row_key = _cancel_row_key(job_id)
        conflict = await self._write_rows(
            {job_row_key: 0, row_key: 0}, {row_key: b"{}"}
        )
        if conflict is None or not _exists(conflict, job_row_key):
            raise _RequestRefused(410, "no such job")
        if not _exists(conflict, row_key):
            await self._write_rows({row_key: 0}, {row_key: b"{}"})


def _exists(conflict: store.Conflict, row_key: store.RowKey) -> bool:
    row = conflict.row_by_row_key.get(row_key)
    return row is not None and row.value is not None


def _cancel_row_key(job_id: str) -> store.RowKey:
    return store.RowKey(
        records.JOBS_TABLE,
        records.job_partition(job_id),
        job_id + records.CANCEL_SUFFIX,
    )


def _job_row_key(job_id: str) -> store.RowKey:
    return store.RowKey(
        records.JOBS_TABLE, records.job_partition(job_id), job_id
    )
