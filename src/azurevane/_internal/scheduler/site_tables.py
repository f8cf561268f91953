"""Follows the store's tables of jobs and runners for a leader."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from twisted.internet import defer

from azurevane._internal.models import site
from azurevane._internal.platform import runner_rows
from azurevane._internal.platform import store
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import job_rows
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import table_follower

# How long the store may hold a request for changes.
FEED_WAIT_S = 2.0
# Pause between two reads of the runners' table. Every runner renews its
# entry at each heartbeat, so this batches the renewals.
RUNNER_READ_PAUSE_S = 0.2


class SiteTables:
    """Passes the rows of jobs and runners to a leader until stopped.

    Args:
        on_jobs_loaded: called once when all jobs have been read, before any
            runner is.
        on_jobs_changed: called after rows of jobs were processed.
        on_runners_changed: called after rows of runners were processed.
        on_loaded: called once when all jobs and runners have been read.

    Attributes:
        loaded: whether all jobs and runners have been read.
    """

    def __init__(
        self,
        reactor: Any,
        client: store.StoreClient,
        job_rows: job_rows.JobRows,
        runner_events: runner_events.RunnerEventHandler,
        *,
        on_jobs_loaded: Callable[[], None],
        on_jobs_changed: Callable[[], None],
        on_runners_changed: Callable[[], None],
        on_loaded: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._job_rows = job_rows
        self._runner_events = runner_events
        self._on_jobs_loaded = on_jobs_loaded
        self._on_jobs_changed = on_jobs_changed
        self._on_runners_changed = on_runners_changed
        self._on_loaded = on_loaded
        self._followers: list[table_follower.TableFollower] = []
        # Rows are applied in the order of states, jobs and runners: only
        # then can the tasks that a runner reports be matched to their jobs.
        self._states_known: defer.Deferred[None] = defer.Deferred()
        self._jobs_known: defer.Deferred[None] = defer.Deferred()
        self.loaded = False

    def start(self) -> None:
        """Begin to read all tables side by side."""
        job_follower = self._follow(
            records.JOBS_TABLE,
            lambda rows: self._handle_job_snapshot(
                rows, job_follower.snapshot_began_at
            ),
            self._handle_job_changes,
            deliver_after=self._states_known,
            partitions=records.JOB_PARTITIONS,
        )
        self._follow(
            runner_rows.TABLE,
            self._handle_runner_snapshot,
            self._handle_runner_changes,
            deliver_after=self._jobs_known,
            pause_s=RUNNER_READ_PAUSE_S,
        )

    def handle_states_known(self) -> None:
        """Apply jobs and runners, as the stored states are known."""
        self._states_known.callback(None)

    def stop(self) -> None:
        """Stop following the tables."""
        for follower in self._followers:
            follower.stop()
        for known in (self._states_known, self._jobs_known):
            if not known.called:
                known.callback(None)

    def _follow(
        self,
        table: str,
        on_snapshot: Callable[[Sequence[store.Row]], None],
        on_changes: Callable[[Sequence[store.Row]], None],
        *,
        deliver_after: "defer.Deferred[None]",
        partitions: Sequence[str] = ("",),
        pause_s: float = 0.0,
    ) -> table_follower.TableFollower:
        follower = table_follower.TableFollower(
            self._reactor,
            self._client,
            table,
            wait_s=FEED_WAIT_S,
            on_snapshot=on_snapshot,
            on_changes=on_changes,
            deliver_after=deliver_after,
            partitions=partitions,
            pause_s=pause_s,
        )
        self._followers.append(follower)
        background.spawn(follower.run(), f"follow {table}")
        return follower

    def _handle_job_changes(self, rows: Sequence[store.Row]) -> None:
        self._job_rows.handle_changed_rows(rows)
        self._on_jobs_changed()

    def _handle_job_snapshot(
        self, rows: Sequence[store.Row], began_at: float
    ) -> None:
        self._job_rows.handle_snapshot(rows, began_at)
        self._on_jobs_changed()
        if not self._jobs_known.called:
            self._on_jobs_loaded()
            self._jobs_known.callback(None)

    def _handle_runner_snapshot(self, rows: Sequence[store.Row]) -> None:
        entries = [_decode_runner(row) for row in rows]
        self._runner_events.replace_entries(
            [entry for entry in entries if entry is not None],
            self._reactor.seconds(),
        )
        if not self.loaded:
            self.loaded = True
            self._on_loaded()
        self._on_runners_changed()

    def _handle_runner_changes(self, rows: Sequence[store.Row]) -> None:
        now = self._reactor.seconds()
        for row in rows:
            entry = None if row.value is None else _decode_runner(row)
            if entry is None:
                self._runner_events.handle_runner_unlisted(
                    row.row_key.key, now
                )
            else:
                self._runner_events.handle_runner_listed(entry, now)
        self._on_runners_changed()


def _decode_runner(row: store.Row) -> site.Runner | None:
    try:
        return runner_rows.decode_runner(row.row_key.key, row.value or b"")
    except msgspec.MsgspecError as error:
        table_follower.log_unreadable_row(row, error)
        return None
    except Exception as error:
        # One row mustn't keep the others from being read.
        background.log_step_failure(f"decode {row.row_key}", error)
        return None
