"""A leader's term: reads the site's jobs, plans and sends commands."""

from collections.abc import Callable, Collection, Sequence
import functools
import itertools
import logging
from typing import Any

from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import host_settings
from azurevane._internal.models import site
from azurevane._internal.platform import host_calls
from azurevane._internal.platform import http_client
from azurevane._internal.platform import operator_rows
from azurevane._internal.platform import runner_calls
from azurevane._internal.platform import store
from azurevane._internal.scheduler import admission_estimate
from azurevane._internal.scheduler import advice_queue
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import command_sender
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import host_command_limit
from azurevane._internal.scheduler import host_manager
from azurevane._internal.scheduler import job_rows
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import planner as planner_module
from azurevane._internal.scheduler import recent_commands
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import renewals
from azurevane._internal.scheduler import row_writer as row_writer_module
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import runner_link
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import site_tables
from azurevane._internal.scheduler import start_limiter
from azurevane._internal.scheduler import store_clock
from azurevane._internal.scheduler import unstored_starts
from azurevane._internal.utils import process_lag as process_lag_module

logger = logging.getLogger(__name__)

LEADER_TICK_INTERVAL_S = 0.1
# Delay before planning, so that one plan handles all events of this time.
PLANNING_DELAY_S = 0.004
# The pause after a planning pass is this multiple of its length, so that a
# slow host still handles what its runners report.
PLANNING_PAUSE_RATIO = 2.0
_READ_RETRY_S = 0.2

LEADER_ROW_KEY = store.RowKey(
    leadership.TABLE, records.LEADER_PARTITION, leadership.LEADER_KEY
)
RENEWAL_ROW_KEY = store.RowKey(
    leadership.TABLE, records.LEADER_PARTITION, leadership.RENEWAL_KEY
)


class Leader:
    """One term of this host as the leader, after its takeover was stored.

    Args:
        token: fencing token of the term.
        taken_over_at: when the takeover was sent to the store.
        takeover_commit: the store's response to the takeover.
        previous: what is known of the previous leader's leases.
        commands_from: monotonic time before which no command is sent, as the
            previous leader may still send some.
        process_lag: how late this process is.
        advice: queue of this host's calls to the advisor, if there is one.
        on_ended: called once with a reason when the term ends.
    """

    def __init__(
        self,
        reactor: Any,
        client: http_client.HttpClient,
        store_client: store.StoreClient,
        settings: host_settings.HostSettings,
        *,
        token: int,
        taken_over_at: float,
        takeover_commit: store.Committed,
        previous: leadership.PreviousLeader,
        commands_from: float,
        unix_time: Callable[[], float],
        process_lag: process_lag_module.ProcessLag,
        advice: advice_queue.AdviceQueue | None,
        on_ended: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._start_limiter = start_limiter.StartLimiter(process_lag)
        self._plan_not_before = 0.0
        self._client = client
        self._store = store_client
        self._settings = settings
        self.token = token
        self._on_ended = on_ended
        self._unix_time = unix_time
        self._confirmed_at = taken_over_at
        self._taken_over_at = taken_over_at
        self._commands_from = commands_from
        self.lease_s = min(
            runner_state.RUNNER_LEASE_S, settings.bounds.runner_lease_max_s
        )
        self.store_clock = store_clock.StoreClock.from_response(
            takeover_commit.store_time_s,
            sent_at=taken_over_at,
            handled_at=self.now(),
        )
        previous_extend_until = renewals.find_previous_extend_until(
            previous, self.store_clock, self.now()
        )
        self.scheduler_state = renewals.make_scheduler_state(
            previous,
            self.store_clock,
            previous_extend_until,
            lease_s=self.lease_s,
            lease_max_s=settings.bounds.runner_lease_max_s,
            runner_stop_s=settings.bounds.runner_stop_s,
        )
        self.runner_events = runner_events.RunnerEventHandler(
            self.scheduler_state
        )
        self._planner = planner_module.Planner(
            self.scheduler_state,
            settings.bounds.runner_stop_s,
        )
        self._row_writer = row_writer_module.RowWriter(
            store_client,
            (LEADER_ROW_KEY, takeover_commit.version),
            seconds=reactor.seconds,
            sleep=runner_link.make_sleep(reactor),
            on_committed=self._handle_committed,
            on_leadership_lost=lambda: self.stop("another host holds the row"),
            first_row=(RENEWAL_ROW_KEY, self._encode_renewal),
            last_write_s=self.now() - taken_over_at,
        )
        self._row_writer.record_version(
            store.Row(RENEWAL_ROW_KEY, b"", takeover_commit.version)
        )
        self._unstored_starts = unstored_starts.UnstoredStarts(
            self.scheduler_state,
            previous.unstored_runners,
            settings.store_row_bytes,
        )
        self._host_manager = self._make_host_manager(previous)
        self._renewals = renewals.Renewals(
            token,
            self.scheduler_state,
            previous_extend_until,
            settings.store_row_bytes,
            self._make_estimator(),
        )
        self._command_sender = command_sender.CommandSender(
            reactor,
            self,
            runner_calls.RunnerCalls(client, token),
            advice,
            self._start_limiter,
            self.lease_s,
        )
        self._job_rows = job_rows.JobRows(
            reactor,
            store_client,
            self._row_writer,
            self.scheduler_state,
            retention_s=settings.bounds.job_kept_s,
            unix_time=unix_time,
            may_send_commands=self.may_send_commands,
        )
        self._site_tables = site_tables.SiteTables(
            reactor,
            store_client,
            self._job_rows,
            self.runner_events,
            on_jobs_loaded=self._unstored_starts.handle_jobs_loaded,
            on_jobs_changed=self.request_planning,
            on_runners_changed=self._handle_runners_changed,
            on_loaded=self._handle_loaded,
        )
        self._ticker: Any = None
        self._renewed_at = taken_over_at
        self._wave_by_number: dict[int, site.Wave] = {}
        self._operator_data_known = False
        # Set once the release of the row may have been sent.
        self._released_extend_until: float | None = None
        self._planning_call: Any = None
        self.stopped = False

    def _make_host_manager(
        self, previous: leadership.PreviousLeader
    ) -> host_manager.HostManager | None:
        settings = self._settings
        if settings.hosts_api_address is None:
            return None
        calls = host_calls.HostCalls(
            self._client,
            settings.hosts_api_address,
            settings.host_name,
            self.token,
            self._reactor,
        )
        bounds = settings.bounds
        return host_manager.HostManager(
            self._reactor,
            self,
            calls,
            move_s=bounds.move_s,
            maintenance_s=bounds.maintenance_s,
            scheduling=settings.scheduling,
            known_commands=recent_commands.RecentCommands(
                settings.host_name,
                bounds.host_lease_s,
                previous.command_by_host,
            ),
            command_limit=host_command_limit.HostCommandLimit(
                settings.host_orders_per_s,
                settings.store_row_bytes,
                settings.host_name,
            ),
        )

    def _make_estimator(self) -> admission_estimate.AdmissionEstimator | None:
        if not self._settings.scheduling.admission:
            return None
        manager = self._host_manager
        return admission_estimate.AdmissionEstimator(
            self.token,
            self.scheduler_state,
            None if manager is None else manager.table,
            self._settings.bounds.move_s,
        )

    # Time, and whether this host still leads.

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return float(self._reactor.seconds())

    def store_now(self) -> float:
        """Return the least that the store's clock shows now, in seconds."""
        return self.store_clock.earliest(self.now())

    def leadership_confirmed_at(self) -> float:
        """Return when the latest committed renewal was sent.

        It is conditional on the leader's row, so this host led then.
        """
        return self._confirmed_at

    def may_send_commands(self) -> bool:
        """Whether this host certainly leads and may send commands."""
        released = self._released_extend_until is not None
        ended = self.stopped or released
        now = self.now()
        return (
            not ended
            and self._commands_from <= now < self.commands_valid_until()
        )

    def commands_valid_until(self) -> float:
        """Return until when this host certainly leads, in monotonic time."""
        return self._confirmed_at + leadership.CONFIRMATION_VALIDITY_S

    def may_extend_leases(self) -> bool:
        """Whether runners' leases may be extended, also without the store."""
        extend_until = self._confirmed_at + renewals.EXTEND_WITHOUT_STORE_S
        if self._released_extend_until is not None:
            extend_until = min(extend_until, self._released_extend_until)
        return not self.stopped and self.now() < extend_until

    def handle_leadership_query(self, host: str) -> bool:
        """Return to another host's query whether this host still leads.

        The other host reaches the store and sees no renewal of this one. So
        a leader that can't write gives up its term at once instead of
        waiting until its lease expires.
        """
        now = self.now()
        if now - self._confirmed_at < leadership.YIELD_AFTER_S:
            return not self.stopped
        silent_s = now - self._store.last_response_at
        if (
            self._row_writer.rejected_by_store
            or silent_s > leadership.YIELD_AFTER_S
        ):
            self.stop(f"no access to the store, which {host} can reach")
        return not self.stopped

    def verify_leadership(self, reason: str) -> None:
        """Write a renewal now; it fails if another host leads."""
        logger.info("Verifying leadership: %s", reason)
        self._renew()

    def _handle_committed(
        self,
        sent_at: float,
        outcome: store.Committed,
        row_keys: Collection[store.RowKey],
    ) -> None:
        self.store_clock = store_clock.StoreClock.from_response(
            outcome.store_time_s, sent_at=sent_at, handled_at=self.now()
        )
        if self.now() - sent_at > store.SLOW_WRITE_S:
            self._unstored_starts.record_slow_write(self.now())
        self.scheduler_state.write_overdue_since = None
        if RENEWAL_ROW_KEY not in row_keys:
            # The other hosts see only renewals, so no other write keeps them
            # from taking over.
            return
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._renewals.handle_stored()
        self._unstored_starts.handle_names_stored()

    # Start and stop.

    async def run(self) -> None:
        """Read the stored states, and follow the tables until stopped."""
        wait_s = self._commands_from - self.now()
        if wait_s > 0:
            self._reactor.callLater(wait_s, self.request_planning)
        # Begun first, as the other tables can't be applied before it.
        reading = defer.ensureDeferred(self._read_states())
        self._site_tables.start()
        reads = await reading
        if self.stopped:
            return
        for row in itertools.chain.from_iterable(read.rows for read in reads):
            self._row_writer.record_version(row)
            number = records.wave_number(row.row_key.key)
            if number is None:
                self._job_rows.keep_stored_state(
                    row.row_key.key, row.value or b""
                )
            elif self._host_manager is not None and row.value is not None:
                self._host_manager.waves.restore_wave(number, row.value)
        self._site_tables.handle_states_known()
        self._ticker = twisted_task.LoopingCall(self._tick)
        self._ticker.clock = self._reactor
        # The takeover counts as a renewal, and the first write is to tell of
        # what the runners report.
        self._ticker.start(LEADER_TICK_INTERVAL_S, now=False)
        background.spawn(
            self._job_rows.delete_ended_jobs(), "delete ended jobs"
        )
        if self._host_manager is not None:
            background.spawn(
                self._run_host_manager(self._host_manager), "manage hosts"
            )

    async def _read_states(self) -> Sequence[store.ReadResult]:
        while not self.stopped:
            try:
                return await self._store.read_ranges(records.state_ranges())
            except exceptions.CallFailed as failure:
                logger.info(
                    "Reading the jobs' states failed; will retry: %s", failure
                )
                await twisted_task.deferLater(
                    self._reactor, _READ_RETRY_S, lambda: None
                )
        return ()

    async def _run_host_manager(
        self, manager: host_manager.HostManager
    ) -> None:
        while not self.stopped:
            if self._site_tables.loaded:
                background.spawn(manager.read_list_if_due(), "list hosts")
                background.run_step(
                    "manage hosts",
                    functools.partial(
                        manager.run_planning_pass, self._wave_by_number
                    ),
                )
            await twisted_task.deferLater(
                self._reactor,
                host_manager.HOST_PLANNING_INTERVAL_S,
                lambda: None,
            )

    def stop(self, reason: str) -> None:
        """End this term; no command is sent any more."""
        if self.stopped:
            return
        self.stopped = True
        self._row_writer.close()
        self._site_tables.stop()
        self._command_sender.stop()
        if self._host_manager is not None:
            self._host_manager.stop()
        self._job_rows.stop()
        if self._ticker is not None and self._ticker.running:
            self._ticker.stop()
        catalogue.emit(logger, events.LeadershipLost(self.token, reason))
        self._on_ended(reason)

    async def hand_over_leadership(self) -> None:
        """Store pending changes, then release the leader's row and stop.

        Nothing is planned or started and no host is commanded from now on,
        since the row may be released long before the response arrives. Stops
        of cancelled jobs are still sent; a runner that knows the next leader
        rejects them.
        """
        extend_until = self.now() + renewals.EXTEND_AFTER_RELEASE_S
        self._released_extend_until = extend_until
        released_row = self._renewals.encode_release(
            extend_until, self.store_clock
        )
        try:
            self._row_writer.schedule_write(
                LEADER_ROW_KEY, lambda: released_row
            )
            await self._row_writer.flush()
        except row_writer_module.NotLeader:
            return
        self.stop("handed over")

    # Rows that are read from the store or queued for writing.

    def set_operator_data(
        self,
        config: site.SiteConfig | None,
        zones_out: frozenset[str],
        wave_by_number: dict[int, site.Wave],
    ) -> None:
        """Update the operators' configuration, zones taken out and waves.

        Nothing is started before the first call, since zones may be out and
        teams have limits.
        """
        self._operator_data_known = True
        self.scheduler_state.config = config
        self.scheduler_state.zones_out = zones_out
        self._wave_by_number = wave_by_number
        self.scheduler_state.request_full_plan()
        self.request_planning()

    def write_wave_progress(
        self, number: int, value: bytes, *, completed: bool
    ) -> None:
        """Queue a wave's progress and status for storing."""
        row_key = store.RowKey(
            records.STATE_TABLE,
            records.LEADER_PARTITION,
            records.wave_key(number),
        )
        self._row_writer.schedule_write(row_key, lambda: value)
        key, status = operator_rows.encode_wave_status(
            number, completed=completed
        )
        status_row_key = store.RowKey(
            operator_rows.STATUS_TABLE, records.LEADER_PARTITION, key
        )
        self._row_writer.schedule_write(status_row_key, lambda: status)
        # The row writer retries failed writes until it is closed.
        self.store_changes().addErrback(lambda _: None)

    def confirm_leadership(self) -> "defer.Deferred[None]":
        """Store a renewal; its success confirms that this host leads."""
        self._row_writer.schedule_write(RENEWAL_ROW_KEY, self._encode_renewal)
        return self.store_changes()

    def _handle_runners_changed(self) -> None:
        self._command_sender.update_links()
        self.request_planning()

    def _handle_loaded(self) -> None:
        catalogue.emit(
            logger,
            events.LeaderReady(
                self.token,
                len(self.scheduler_state.job_by_id),
                len(self.scheduler_state.live_job_by_id),
                len(self.scheduler_state.runner_by_id),
                round(self.now() - self._taken_over_at, 3),
            ),
        )

    # Planning and storing.

    def request_planning(self) -> None:
        """Schedule a planning pass unless one is pending."""
        if self._planning_call is None and not self.stopped:
            pause_s = self._plan_not_before - self.now()
            self._planning_call = self._reactor.callLater(
                max(pause_s, PLANNING_DELAY_S), self._plan_and_send
            )

    def _plan_and_send(self) -> None:
        self._planning_call = None
        if self.stopped:
            return
        may_plan = (
            self._site_tables.loaded
            and self._operator_data_known
            and self.may_send_commands()
        )
        if may_plan and not background.run_step("plan", self._plan):
            self._planner.set_aside_failing_jobs(self.now(), self._unix_time())
            self.scheduler_state.request_full_plan()
        if self.scheduler_state.restart_noticed:
            # The next leader is to know of the runner's lease.
            self._renew()
        self._command_sender.request_advice()
        job_failed = self._write_changed_jobs()
        starts: list[commands.StartCommand] = []
        for command in self.scheduler_state.take_commands():
            if isinstance(command, commands.StartCommand):
                starts.append(command)
            else:
                self._command_sender.send_command(command)
        if starts:
            self._send_starts(starts)
        elif job_failed:
            # Its callers read the stored state.
            self._row_writer.flush().addErrback(lambda _: None)

    def _send_starts(self, starts: list[commands.StartCommand]) -> None:
        """Send starts once they are stored, or at once where that is safe."""
        now = self.now()
        at_once: list[commands.StartCommand] = []
        waiting: list[commands.StartCommand] = []
        for command in starts:
            allowed = self._unstored_starts.allows(command, now)
            (at_once if allowed else waiting).append(command)
        if waiting:
            self._command_sender.send_starts_after(
                self._row_writer.flush(), waiting
            )
        if at_once:
            self._unstored_starts.track(at_once, self._row_writer.flush())
            self._command_sender.send_starts_after(
                defer.succeed(None), at_once
            )

    def _plan(self) -> None:
        began_at = self.now()
        max_starts = self._start_limiter.available(
            self._command_sender.unsent_start_count
        )
        left_over = self._planner.plan(began_at, self._unix_time(), max_starts)
        self._start_limiter.record_left_over(left_over)
        if left_over and max_starts:
            # Further starts may be stored together with those of this pass.
            self.request_planning()
        ended_at = self.now()
        self._plan_not_before = ended_at + PLANNING_PAUSE_RATIO * (
            ended_at - began_at
        )

    def _write_changed_jobs(self) -> bool:
        """Schedule the changed jobs' rows; return whether one has failed."""
        job_failed = False
        for state in self.scheduler_state.take_changed_jobs():
            row_key = store.RowKey(
                records.STATE_TABLE, records.LEADER_PARTITION, state.job.id
            )
            self._row_writer.schedule_write(
                row_key,
                functools.partial(
                    records.encode_state, state, self._settings.store_row_bytes
                ),
            )
            job_failed = job_failed or state.status is runs.JobStatus.FAILED
        return job_failed

    def store_changes(self) -> "defer.Deferred[None]":
        """Store all changes; fires once they are stored."""
        self._write_changed_jobs()
        return self._row_writer.flush()

    # Periodic work.

    def _tick(self) -> None:
        now = self.now()
        if now - self._renewed_at >= leadership.RENEWAL_INTERVAL_S:
            background.run_step("renew", self._renew)
        background.run_step(
            "limit starts", lambda: self._start_limiter.update(now)
        )
        background.run_step(
            "release runs", lambda: self._release_silent_runs(now)
        )
        background.run_step("update links", self._command_sender.update_links)
        background.run_step(
            "unstored starts", lambda: self._update_unstored_starts(now)
        )
        self.scheduler_state.request_full_plan()
        self.request_planning()

    def _update_unstored_starts(self, now: float) -> None:
        began_at = self._row_writer.write_began_at
        if began_at is not None and now - began_at > store.SLOW_WRITE_S:
            self._unstored_starts.record_slow_write(now)
            self.scheduler_state.write_overdue_since = began_at
        if self._unstored_starts.renewal_due(now):
            self._renew()
        if self._unstored_starts.settle_previous_runners(now):
            self._unstored_starts.forget_previous_runners(self.store_changes())

    def _release_silent_runs(self, now: float) -> None:
        self.runner_events.release_unregistered_runs(now)
        for runner_id, state in list(
            self.scheduler_state.runner_by_id.items()
        ):
            if state.unreachable:
                self.runner_events.handle_runner_silent(runner_id, now)
        self._drop_removed_runners()

    def _drop_removed_runners(self) -> None:
        for runner_id, state in list(
            self.scheduler_state.runner_by_id.items()
        ):
            removed = not state.listed and not state.run_by_task
            if removed and not state.need_by_orphan:
                del self.scheduler_state.runner_by_id[runner_id]

    def _renew(self) -> None:
        self._renewed_at = self.now()
        self._row_writer.schedule_write(RENEWAL_ROW_KEY, self._encode_renewal)
        # The row writer retries failed writes until it is closed.
        self.store_changes().addErrback(lambda _: None)

    def _encode_renewal(self) -> bytes:
        manager = self._host_manager
        return self._renewals.encode(
            self.now(),
            self.store_clock,
            {}
            if manager is None
            else manager.recent_commands.unexpired(self.store_now()),
            self._unstored_starts.names_to_store(self.now()),
            all_read=self._site_tables.loaded,
        )
