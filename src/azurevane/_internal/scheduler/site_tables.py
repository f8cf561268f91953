"""The tables that a leader follows: jobs, then runners."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from azurevane._internal.models import site
from azurevane._internal.platform import runner_rows
from azurevane._internal.platform import store
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import job_rows
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import table_follower

# How long the store may hold back an answer about changes.
FEED_WAIT_S = 2.0
# Every runner renews its entry each heartbeat; the renewals of this long
# are read together.
RUNNERS_PAUSE_S = 0.2


class SiteTables:
    """Brings rows of jobs and runners to a leader until stopped.

    Args:
        jobs_changed: called after rows of jobs were taken in.
        runners_changed: called after rows of runners were taken in.
        loaded: called once when all jobs and runners are known.

    Attributes:
        loaded: whether all jobs and runners are known.
    """

    def __init__(
        self,
        reactor: Any,
        client: store.StoreClient,
        jobs: job_rows.JobRows,
        runners: runner_events.RunnerEventHandler,
        *,
        jobs_changed: Callable[[], None],
        runners_changed: Callable[[], None],
        loaded: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._jobs = jobs
        self._runners = runners
        self._note_jobs = jobs_changed
        self._note_runners = runners_changed
        self._note_loaded = loaded
        self._followers: list[table_follower.TableFollower] = []
        self._jobs_loaded = False
        self.loaded = False

    def start(self) -> None:
        """Follow the jobs, and the runners once the jobs are known."""
        self._follow(
            records.JOBS_TABLE,
            self._jobs_whole,
            self._jobs_changed,
            parted=True,
        )

    def stop(self) -> None:
        """Follow nothing more."""
        for follower in self._followers:
            follower.stop()

    def _follow(
        self,
        table: str,
        whole: Callable[[Sequence[store.Row]], None],
        changed: Callable[[Sequence[store.Row]], None],
        *,
        parted: bool = False,
        pause_s: float = 0.0,
    ) -> None:
        follower = table_follower.TableFollower(
            self._reactor,
            self._client,
            table,
            wait_s=FEED_WAIT_S,
            whole=whole,
            changed=changed,
            parted=parted,
            pause_s=pause_s,
        )
        self._followers.append(follower)
        background.spawn(follower.run(), f"follow {table}")

    def _jobs_changed(self, rows: Sequence[store.Row]) -> None:
        self._jobs.handle_changed_rows(rows)
        self._note_jobs()

    def _jobs_whole(self, rows: Sequence[store.Row]) -> None:
        self._jobs_changed(rows)
        if self._jobs_loaded:
            return
        self._jobs_loaded = True
        # A runner's lists can be judged only once all jobs are known.
        self._follow(
            runner_rows.TABLE,
            self._runners_whole,
            self._runners_changed,
            pause_s=RUNNERS_PAUSE_S,
        )

    def _runners_whole(self, rows: Sequence[store.Row]) -> None:
        entries = [_runner(row) for row in rows]
        self._runners.replace_entries(
            [entry for entry in entries if entry is not None],
            self._reactor.seconds(),
        )
        if not self.loaded:
            self.loaded = True
            self._note_loaded()
        self._note_runners()

    def _runners_changed(self, rows: Sequence[store.Row]) -> None:
        now = self._reactor.seconds()
        for row in rows:
            entry = None if row.value is None else _runner(row)
            if entry is None:
                self._runners.handle_runner_unlisted(row.place.key, now)
            else:
                self._runners.handle_runner_listed(entry, now)
        self._note_runners()


def _runner(row: store.Row) -> site.Runner | None:
    try:
        return runner_rows.decode_runner(row.place.key, row.value or b"")
    except msgspec.MsgspecError as error:
        table_follower.note_unreadable(row, error)
        return None
