"""Handles callers' requests about jobs by using the platform's store."""

from collections.abc import Awaitable, Callable
import dataclasses
import logging

import msgspec

from azurevane import exceptions
from azurevane._internal.callers import admission_control
from azurevane._internal.callers import job_routes
from azurevane._internal.callers import job_store
from azurevane._internal.callers import job_submission
from azurevane._internal.callers import request_refused
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.models import site
from azurevane._internal.platform import job_requests
from azurevane._internal.platform import store
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runs

logger = logging.getLogger(__name__)

# The store counts as unavailable without a response for this long, because
# the operators' rows are read more often than that.
STORE_SILENCE_LIMIT_S = 1.7
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


class JobHandler:
    """Accepts, shows and cancels jobs.

    The rows of jobs are in the store, so every host handles requests about
    any job.

    Args:
        seconds: returns monotonic time.
        unix_time: returns Unix time in seconds.
        sleep: waits a number of seconds.
        max_row_bytes: largest value of a row that the store accepts.
        control: decides which jobs are accepted; None to accept all.
    """

    def __init__(
        self,
        client: store.StoreClient,
        *,
        seconds: Callable[[], float],
        unix_time: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        max_row_bytes: int = records.MAX_ROW_BYTES,
        control: admission_control.AdmissionControl | None = None,
    ) -> None:
        self._client = client
        self._max_row_bytes = max_row_bytes
        self._jobs = job_store.JobStore(client, seconds, sleep)
        self._submission: job_submission.JobSubmission | None = None
        if control is not None:
            self._submission = job_submission.JobSubmission(
                self._jobs, control, self._team_weight
            )
        self._seconds = seconds
        self._unix_time = unix_time
        self._config: site.SiteConfig | None = None
        self._routes: job_routes.JobRoutes | None = None
        self._config_confirmed_at = seconds()
        self._pending_by_queue: dict[str, int] = {}
        self._pending_updated_at = float("-inf")
        self._store_reads_failing = False

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
        except request_refused.RequestRefused as refused:
            self._log_refusal(request, refused)
            text = f"{refused.reason} (verdict: {refused.outcome.value})"
            return JobResponse(
                refused.status,
                job_requests.encode_error(text),
                refused.retry_after_s,
            )

    def _log_refusal(
        self, request: JobRequest, refused: request_refused.RequestRefused
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
            raise request_refused.RequestRefused(
                503, "no configuration yet", NO_CONFIG_RETRY_S
            )
        match = routes.find(request.host_name, request.path)
        if self._store_unavailable():
            raise request_refused.RequestRefused(
                503, "store away", job_store.STORE_UNAVAILABLE_RETRY_S
            )
        if match is None:
            raise request_refused.RequestRefused(404, "no such queue")
        key = job_routes.bearer_key(request.authorization)
        team = config.team_by_key.get(key, "")
        if not match.queue.open and not team:
            raise request_refused.RequestRefused(401, "unknown key")
        if request.method == "GET" and not match.job_id:
            return self._show_pending_count(match.queue)
        if not job_requests.valid_job_id(match.job_id):
            raise request_refused.RequestRefused(404, "no job of that name")
        if request.method == "POST":
            return await self._submit_job(request, match, team)
        if request.method == "GET":
            return await self._show_job(match.job_id)
        if request.method == "DELETE":
            return await self._cancel_job(match.job_id)
        raise request_refused.RequestRefused(405, "no such method")

    def _show_pending_count(self, queue: site.Queue) -> JobResponse:
        if self._seconds() - self._pending_updated_at > PENDING_MAX_AGE_S:
            raise request_refused.RequestRefused(
                503,
                "no recent counts",
                job_store.STORE_UNAVAILABLE_RETRY_S,
            )
        count = self._pending_by_queue.get(queue.name, 0)
        return JobResponse(200, job_requests.encode_pending(count))

    async def _submit_job(
        self, request: JobRequest, match: job_routes.RouteMatch, team: str
    ) -> JobResponse:
        assert self._config is not None
        began_at = self._seconds()
        if len(request.body) > self._config.limits.body_bytes:
            raise request_refused.RequestRefused(413, "body too large")
        try:
            job = job_requests.decode_job(
                request.body,
                job_id=match.job_id,
                queue=match.queue,
                team=team,
                now=self._unix_time(),
            )
        except exceptions.JobRejected as error:
            raise request_refused.RequestRefused(400, str(error)) from error
        if self._submission is not None:
            job = self._submission.sign(job)
        max_tasks = self._max_row_bytes // records.MIN_TASK_BYTES
        row_bytes = len(records.encode_job(job))
        if row_bytes > self._max_row_bytes or job.task_count > max_tasks:
            raise request_refused.RequestRefused(
                413, "job too large to be stored"
            )
        version = self._config.version
        if self._submission is None:
            await self._store_job(job)
        else:
            await self._submission.submit(job)
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

    async def _store_job(self, job: job_models.Job) -> None:
        row_key = job_store.row_key(job.id)
        conflict = await self._jobs.write_rows(
            {row_key: 0, job_store.row_key(job.id, records.CANCEL_SUFFIX): 0},
            {row_key: records.encode_job(job)},
        )
        if conflict is not None and not job_store.exists(conflict, row_key):
            raise request_refused.RequestRefused(
                410, "job was cancelled before it was stored"
            )

    def _team_weight(self, name: str) -> float:
        assert self._config is not None
        team = self._config.team_by_name.get(name)
        return 0.0 if team is None else team.weight

    async def _show_job(self, job_id: str) -> JobResponse:
        partition = records.job_partition(job_id)
        job_rows = await self._jobs.read_rows(
            records.JOBS_TABLE, partition, job_id
        )
        if job_id not in job_rows:
            raise request_refused.RequestRefused(410, "no such job")
        state_rows = await self._jobs.read_rows(
            records.STATE_TABLE, records.LEADER_PARTITION, job_id
        )
        status = runs.JobStatus.QUEUED
        if job_id in state_rows:
            try:
                status = records.decode_status(state_rows[job_id] or b"")
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
        job_rows = await self._jobs.read_rows(
            records.JOBS_TABLE, partition, job_id
        )
        row_key = job_store.row_key(job_id, records.CANCEL_SUFFIX)
        if job_id not in job_rows:
            await self._cancel_unknown_job(job_id)
        elif row_key.key not in job_rows:
            await self._jobs.write_rows({row_key: 0}, {row_key: b"{}"})
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
        job_row_key = job_store.row_key(job_id)
        row_key = job_store.row_key(job_id, records.CANCEL_SUFFIX)
        conflict = await self._jobs.write_rows(
            {job_row_key: 0, row_key: 0}, {row_key: b"{}"}
        )
        if conflict is None or not job_store.exists(conflict, job_row_key):
            raise request_refused.RequestRefused(410, "no such job")
        if not job_store.exists(conflict, row_key):
            await self._jobs.write_rows({row_key: 0}, {row_key: b"{}"})
