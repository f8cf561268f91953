"""Reads the rows of jobs from the store, and deletes those of ended jobs."""

from collections.abc import Callable, Sequence
import logging
from typing import Any

import msgspec
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.platform import store
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import row_writer as row_writer_module
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.scheduler import table_follower

logger = logging.getLogger(__name__)

# Callers may repeat a submission for this long after its response. The rows of
# an ended job are kept for this time beyond their retention, so that a
# repeated submission doesn't run the job again.
RESUBMISSION_WINDOW_S = 60.0
# Rows of ended jobs are deleted at this interval, for this many jobs at once.
DELETE_INTERVAL_S = 5.0
MAX_DELETES_PER_INTERVAL = 200
# Entries of one transaction, by the platform's protocol.
MAX_REFUSALS_PER_DELETE = 100


class JobRows:
    """Applies submissions and cancellations, and deletes expired rows.

    Args:
        retention_s: least time for which callers see an ended job's state.
        unix_time: returns the Unix time in seconds.
        may_send_commands: whether this host certainly leads.
    """

    def __init__(
        self,
        reactor: Any,
        client: store.StoreClient,
        row_writer: row_writer_module.RowWriter,
        scheduler_state: state_module.SchedulerState,
        *,
        retention_s: float,
        unix_time: Callable[[], float],
        may_send_commands: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._row_writer = row_writer
        self._scheduler_state = scheduler_state
        self._retention_s = retention_s
        self._unix_time = unix_time
        self._may_send_commands = may_send_commands
        self._stored_state_by_job: dict[str, bytes] = {}
        # When cancellations of jobs that aren't stored were read.
        self._cancel_read_at_by_unknown_job: dict[str, float] = {}
        # When refusals of jobs that aren't stored were read, by row.
        self._refusal_read_at: dict[store.RowKey, float] = {}
        # When the deletion of jobs was answered, until the table has been
        # read again, in whole or by its changes.
        self._deleted_at_by_job: dict[str, float] = {}
        self._stopped = False

    def stop(self) -> None:
        """Stop deleting rows."""
        self._stopped = True

    def keep_stored_state(self, job_id: str, value: bytes) -> None:
        """Keep a job's stored state until its submission is read."""
        self._stored_state_by_job[job_id] = value

    def handle_snapshot(
        self, rows: Sequence[store.Row], began_at: float
    ) -> None:
        """Apply all rows of the table, which was read page by page.

        A page may show a job whose rows were deleted before the last page
        arrived.

        Args:
            began_at: monotonic time at which the read began.
        """
        deleted = {
            job_id
            for job_id, at in self._deleted_at_by_job.items()
            if at >= began_at
        }
        self.handle_changed_rows(
            [
                row
                for row in rows
                if row.row_key.key.removesuffix(records.CANCEL_SUFFIX)
                not in deleted
            ]
        )

    def handle_changed_rows(self, rows: Sequence[store.Row]) -> None:
        """Apply new or changed rows of submissions and cancellations."""
        # A read of the whole table that begins later shows no deleted rows.
        self._deleted_at_by_job.clear()
        now, unix_now = self._reactor.seconds(), self._unix_time()
        cancelled: list[str] = []
        jobs: list[job_models.Job] = []
        for row in rows:
            key = row.row_key.key
            if key.endswith(records.CANCEL_SUFFIX):
                job_id = key.removesuffix(records.CANCEL_SUFFIX)
                if row.value is not None:
                    cancelled.append(job_id)
                else:
                    self._cancel_read_at_by_unknown_job.pop(job_id, None)
            elif key.endswith(records.REFUSED_SUFFIX):
                self._keep_refusal(row, now)
            elif row.value is None:
                self._scheduler_state.forget_job(key)
            else:
                jobs += self._decode_job(row)
        for job in sorted(jobs, key=lambda job: job.accepted_at):
            self._add_job(job, now, unix_now)
        for job_id in cancelled:
            if job_id in self._scheduler_state.job_by_id:
                self._scheduler_state.cancel_job(job_id, now)
            else:
                self._cancel_read_at_by_unknown_job.setdefault(job_id, now)

    def _add_job(
        self, job: job_models.Job, now: float, unix_now: float
    ) -> None:
        """Add a job, unless its stored state can't be read.

        Its tasks may have run, so they aren't started then. The stored state
        is kept, as the job's row may be read again.
        """
        try:
            self._scheduler_state.add_job(
                job,
                now=now,
                unix_now=unix_now,
                stored_state=self._stored_state_by_job.get(job.id),
            )
        except (msgspec.MsgspecError, LookupError, ValueError) as error:
            self._scheduler_state.forget_job(job.id)
            catalogue.emit(
                logger,
                events.RowUnreadable(records.STATE_TABLE, job.id, repr(error)),
            )
            return
        self._stored_state_by_job.pop(job.id, None)

    def _keep_refusal(self, row: store.Row, now: float) -> None:
        if row.value is None:
            self._refusal_read_at.pop(row.row_key, None)
        else:
            # A further refusal keeps the row for longer.
            self._refusal_read_at[row.row_key] = now

    async def _delete_old_refusals(self, now: float) -> None:
        """Delete refusals that no write of their jobs can follow any more.

        One transaction a partition and interval, so that it costs little
        after a burst.
        """
        old_by_partition: dict[str, list[store.RowKey]] = {}
        for row_key, read_at in self._refusal_read_at.items():
            if now - read_at > RESUBMISSION_WINDOW_S:
                old = old_by_partition.setdefault(row_key.partition, [])
                old.append(row_key)
        for row_keys in old_by_partition.values():
            if self._stopped or not self._may_send_commands():
                return
            try:
                await self._client.transact(
                    {}, {}, row_keys[:MAX_REFUSALS_PER_DELETE]
                )
            except exceptions.CallFailed as failure:
                logger.info("Deleting refusals failed: %s", failure)

    @staticmethod
    def _decode_job(row: store.Row) -> list[job_models.Job]:
        try:
            job = records.decode_job(row.value or b"")
            if job.task_count > job_models.MAX_TASKS_PER_JOB:
                raise msgspec.ValidationError(f"{job.task_count} tasks")
        except msgspec.MsgspecError as error:
            table_follower.log_unreadable_row(row, error)
            return []
        return [job]

    async def delete_ended_jobs(self) -> None:
        """Delete the rows of ended jobs after their retention time."""
        while not self._stopped:
            await twisted_task.deferLater(
                self._reactor, DELETE_INTERVAL_S, lambda: None
            )
            kept_s = self._retention_s + RESUBMISSION_WINDOW_S
            delete_before = self._reactor.seconds() - kept_s
            ended = [
                state.job.id
                for state in self._scheduler_state.job_by_id.values()
                if state.status.ended
                and state.ended_at < delete_before
                and not state.runs_occupying_capacity()
            ]
            # A submission that was cancelled before it was stored isn't stored
            # later than this.
            now = self._reactor.seconds()
            ended += [
                job_id
                for job_id, read_at in (
                    self._cancel_read_at_by_unknown_job.items()
                )
                if now - read_at > RESUBMISSION_WINDOW_S
            ]
            await self._delete_old_refusals(now)
            for job_id in ended[:MAX_DELETES_PER_INTERVAL]:
                if self._stopped or not self._may_send_commands():
                    break
                try:
                    await self._delete_job_rows(job_id)
                except Exception as error:
                    background.log_step_failure("delete rows", error)

    async def _delete_job_rows(self, job_id: str) -> None:
        partition = records.job_partition(job_id)
        rows = [
            store.RowKey(records.JOBS_TABLE, partition, key)
            for key in (job_id, job_id + records.CANCEL_SUFFIX)
        ]
        try:
            await self._client.transact({}, {}, rows)
        except exceptions.CallFailed as failure:
            logger.info(
                "Deleting the rows of job %s failed; will retry: %s",
                job_id,
                failure,
            )
            return
        self._deleted_at_by_job[job_id] = self._reactor.seconds()
        self._scheduler_state.forget_job(job_id)
        row_key = store.RowKey(
            records.STATE_TABLE, records.LEADER_PARTITION, job_id
        )
        self._row_writer.schedule_write(row_key, lambda: None)
