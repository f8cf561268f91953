"""The leader's task: reads the site's jobs, plans and has orders sent."""

from collections.abc import Callable, Collection
import functools
import logging
from typing import Any

from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import host_settings
from azurevane._internal.models import site
from azurevane._internal.platform import advice_calls
from azurevane._internal.platform import http_client
from azurevane._internal.platform import machine_calls
from azurevane._internal.platform import operator_rows
from azurevane._internal.platform import runner_calls
from azurevane._internal.platform import store
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import command_sender
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import host_keeper
from azurevane._internal.scheduler import job_rows
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import order_marks
from azurevane._internal.scheduler import planner as planner_module
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import row_writer as row_writer_module
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import runner_link
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.scheduler import site_tables

logger = logging.getLogger(__name__)

TICK_S = 0.1
# Events within this time are planned for together.
PUMP_S = 0.004
# Leases are extended this long without the store, so that tasks outlive
# its outages; a new leader allows for it.
EXTEND_WITHOUT_STORE_S = 4.0
_RETRY_S = 0.2

OWNER_PLACE = store.RowKey(
    leadership.TABLE, records.LEADER_PART, leadership.OWNER_KEY
)
ALIVE_PLACE = store.RowKey(
    leadership.TABLE, records.LEADER_PART, leadership.ALIVE_KEY
)


class Leader:
    """One reign of this host; made when the leader's row was taken.

    Args:
        claimed: the write that took the leader's row.
        over: called once when the reign ends.
    """

    def __init__(
        self,
        reactor: Any,
        client: http_client.HttpClient,
        store_client: store.StoreClient,
        settings: host_settings.HostSettings,
        *,
        token: int,
        claimed_at: float,
        claimed: store.Committed,
        earlier: leadership.EarlierLeader,
        unix_time: Callable[[], float],
        over: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._store = store_client
        self._settings = settings
        self.token = token
        self._over = over
        self._unix_time = unix_time
        self._committed_at = claimed_at
        self._renewals = 0
        self._written_lapses: dict[str, float] = {}
        self._began_at = claimed_at
        self.lease_s = min(
            runner_state.RUNNER_LEASE_S, settings.bounds.runner_lease_max_s
        )
        self._store_offset_s = claimed.store_time_s - self.now()
        self.scheduler_state = self._make_scheduler_state(earlier)
        self.runner_events = runner_events.RunnerEventHandler(
            self.scheduler_state
        )
        self._planner = planner_module.Planner(
            self.scheduler_state, settings.bounds.runner_stop_s
        )
        advice: advice_calls.AdviceCalls | None = None
        if settings.advisor_address is not None:
            advice = advice_calls.AdviceCalls(client, settings.advisor_address)
        self._row_writer = row_writer_module.RowWriter(
            store_client,
            (OWNER_PLACE, claimed.version),
            seconds=reactor.seconds,
            sleep=runner_link.make_sleep(reactor),
            on_committed=self._note_committed,
            on_leadership_lost=lambda: self.stop("another host holds the row"),
        )
        self._row_writer.record_version(
            store.Row(ALIVE_PLACE, b"", claimed.version)
        )
        self._keeper = self._make_keeper(earlier)
        self._sender = command_sender.CommandSender(
            reactor,
            self,
            runner_calls.RunnerCalls(client, token),
            advice,
            self.lease_s,
        )
        self._jobs = job_rows.JobRows(
            reactor,
            store_client,
            self._row_writer,
            self.scheduler_state,
            retention_s=settings.bounds.job_kept_s,
            unix_time=unix_time,
            may_send_commands=self.may_order,
        )
        self._tables = site_tables.SiteTables(
            reactor,
            store_client,
            self._jobs,
            self.runner_events,
            jobs_changed=self.pump,
            runners_changed=self._runners_changed,
            loaded=self._note_loaded,
        )
        self._ticker: Any = None
        self._renewed_at = claimed_at
        self._wave_by_number: dict[int, site.Wave] = {}
        self._pump_call: Any = None
        self.stopped = False

    def _make_scheduler_state(
        self, earlier: leadership.EarlierLeader
    ) -> state_module.SchedulerState:
        now = self.now()
        lease_s = self.lease_s / (1 - runner_state.MAX_CLOCK_SLOWNESS)
        unreached_until = now + lease_s + runner_state.LEASE_EXPIRY_MARGIN_S
        if earlier.may_extend:
            unreached_until += EXTEND_WITHOUT_STORE_S
        scheduler_state = state_module.SchedulerState(unreached_until)
        for runner_id, lapse_s in earlier.lapse_by_runner.items():
            lapse_at = lapse_s - self._store_offset_s
            scheduler_state.unreached_until_by_runner[runner_id] = min(
                lapse_at, unreached_until
            )
        return scheduler_state

    def _make_keeper(
        self, earlier: leadership.EarlierLeader
    ) -> host_keeper.HostKeeper | None:
        settings = self._settings
        if settings.hosts_api_address is None:
            return None
        calls = machine_calls.MachineCalls(
            self._client,
            settings.hosts_api_address,
            settings.host_name,
            self.token,
        )
        bounds = settings.bounds
        return host_keeper.HostKeeper(
            self,
            calls,
            move_s=bounds.move_s,
            maintenance_s=bounds.maintenance_s,
            marks=order_marks.OrderMarks(
                settings.host_name, bounds.host_lease_s, earlier.marks_by_host
            ),
        )

    # Time and validity.

    def now(self) -> float:
        """Return the steady time in seconds."""
        return float(self._reactor.seconds())

    def store_now(self) -> float:
        """Return the store's steady time in seconds."""
        return self.now() + self._store_offset_s

    def proven_at(self) -> float:
        """Return when a stored write last proved the leadership."""
        return self._committed_at

    def may_order(self) -> bool:
        """Whether this host certainly leads."""
        proven_until = self._committed_at + leadership.VALID_S
        return not self.stopped and self.now() < proven_until

    def may_extend(self) -> bool:
        """Whether leases may still be extended."""
        until = self._committed_at + EXTEND_WITHOUT_STORE_S
        return not self.stopped and self.now() < until

    def asked(self, host: str) -> bool:
        """Whether this host still leads, when another one asks.

        The other one sees the store and no sign of this host, so a leader
        that can't write gives up instead of waiting for its lease.
        """
        now = self.now()
        if now - self._committed_at < leadership.YIELD_AFTER_S:
            return not self.stopped
        silent_s = now - self._store.answered_at
        if (
            self._row_writer.rejected_by_store
            or silent_s > leadership.YIELD_AFTER_S
        ):
            self.stop(f"the store turns it away, but not {host}")
        return not self.stopped

    def doubt(self, reason: str) -> None:
        """Ask the store whether this host still leads."""
        logger.info("Leadership in doubt: %s", reason)
        self._renew()

    def _note_committed(
        self,
        sent_at: float,
        outcome: store.Committed,
        places: Collection[store.RowKey],
    ) -> None:
        self._committed_at = max(self._committed_at, sent_at)
        self._store_offset_s = outcome.store_time_s - self.now()
        if ALIVE_PLACE not in places:
            return
        for runner_id, state in self.scheduler_state.runner_by_id.items():
            state.expiry_published = runner_id in self._written_lapses

    # Start and stop.

    async def run(self) -> None:
        """Read the site's jobs, then follow and plan until stopped."""
        while not self.stopped:
            try:
                states = await self._store.read_part(
                    records.STATE_TABLE, records.LEADER_PART
                )
                break
            except exceptions.CallFailed as failure:
                logger.info("Reading jobs' states: %s", failure)
                await twisted_task.deferLater(
                    self._reactor, _RETRY_S, lambda: None
                )
        if self.stopped:
            return
        for row in states.rows:
            self._row_writer.record_version(row)
            number = records.wave_number(row.place.key)
            if number is None:
                self._jobs.keep_stored_state(row.place.key, row.value or b"")
            elif self._keeper is not None and row.value is not None:
                self._keeper.waves.restore_wave(number, row.value)
        self._tables.start()
        self._ticker = twisted_task.LoopingCall(self._tick)
        self._ticker.clock = self._reactor
        self._ticker.start(TICK_S)
        background.spawn(self._jobs.delete_ended_jobs(), "drop ended jobs")
        if self._keeper is not None:
            background.spawn(self._keep_hosts(self._keeper), "keep hosts")

    async def _keep_hosts(self, keeper: host_keeper.HostKeeper) -> None:
        while not self.stopped:
            if self._tables.loaded:
                keeper.waves.set_waves(self._wave_by_number)
                try:
                    await keeper.step()
                except row_writer_module.NotLeader:
                    return
                except Exception as error:
                    background.note_failure("keep hosts", error)
            await twisted_task.deferLater(
                self._reactor, host_keeper.STEP_S, lambda: None
            )

    def stop(self, reason: str) -> None:
        """End this reign; nothing is ordered any more."""
        if self.stopped:
            return
        self.stopped = True
        self._row_writer.close()
        self._tables.stop()
        self._sender.stop()
        self._jobs.stop()
        if self._ticker is not None and self._ticker.running:
            self._ticker.stop()
        catalogue.emit(logger, events.LeadershipLost(self.token, reason))
        self._over(reason)

    async def hand_over(self) -> None:
        """Free the leader's row after what changed is stored."""
        try:
            self._row_writer.schedule_write(
                OWNER_PLACE,
                lambda: leadership.encode_owner("", self.token),
            )
            await self._row_writer.flush()
        except row_writer_module.NotLeader:
            return
        self.stop("handed over")

    # Rows of the store.

    def set_site(
        self,
        config: site.SiteConfig | None,
        zones_out: frozenset[str],
        wave_by_number: dict[int, site.Wave],
    ) -> None:
        """Take in the operators' configuration, zones and waves."""
        self.scheduler_state.config = config
        self.scheduler_state.zones_out = zones_out
        self._wave_by_number = wave_by_number
        self.pump()

    def write_wave(
        self, number: int, value: bytes, *, completed: bool
    ) -> None:
        """Have a wave's progress and status stored."""
        place = store.RowKey(
            records.STATE_TABLE, records.LEADER_PART, records.wave_key(number)
        )
        self._row_writer.schedule_write(place, lambda: value)
        key, status = operator_rows.encode_wave_status(
            number, completed=completed
        )
        status_place = store.RowKey(
            operator_rows.STATUS_TABLE, records.LEADER_PART, key
        )
        self._row_writer.schedule_write(status_place, lambda: status)
        # Failures are repeated by the journal until it is closed.
        self.stored().addErrback(lambda _: None)

    def prove(self) -> "defer.Deferred[None]":
        """Store something, which proves that this host leads."""
        self._row_writer.schedule_write(ALIVE_PLACE, self._encode_alive)
        return self.stored()

    def _runners_changed(self) -> None:
        self._sender.update_links()
        self.pump()

    def _note_loaded(self) -> None:
        catalogue.emit(
            logger,
            events.LeaderReady(
                self.token,
                len(self.scheduler_state.job_by_id),
                len(self.scheduler_state.live_job_by_id),
                len(self.scheduler_state.runner_by_id),
                round(self.now() - self._began_at, 3),
            ),
        )

    # Planning and storing.

    def pump(self) -> None:
        """Plan again soon."""
        if self._pump_call is None and not self.stopped:
            self._pump_call = self._reactor.callLater(PUMP_S, self._pump)

    def _pump(self) -> None:
        self._pump_call = None
        if self.stopped:
            return
        if self._tables.loaded and self.may_order():
            self._planner.plan(self.now(), self._unix_time())
        self._write_changed()
        starts: list[commands.StartCommand] = []
        for command in self.scheduler_state.take_commands():
            if isinstance(command, commands.StartCommand):
                starts.append(command)
            else:
                self._sender.send_command(command)
        if starts:
            self._row_writer.flush().addCallbacks(
                lambda _: self._sender.send_starts(starts), lambda _: None
            )

    def _write_changed(self) -> None:
        for state in self.scheduler_state.take_changed_jobs():
            place = store.RowKey(
                records.STATE_TABLE, records.LEADER_PART, state.job.id
            )
            self._row_writer.schedule_write(
                place, functools.partial(records.encode_state, state)
            )

    def stored(self) -> "defer.Deferred[None]":
        """Store all that changed."""
        self._write_changed()
        return self._row_writer.flush()

    # Periodic work.

    def _tick(self) -> None:
        now = self.now()
        if now - self._renewed_at >= leadership.RENEW_S:
            self._renew()
        self.runner_events.release_unregistered_runs(now)
        for runner_id, state in list(
            self.scheduler_state.runner_by_id.items()
        ):
            if state.unreachable:
                self.runner_events.handle_runner_silent(runner_id, now)
        self._drop_left_runners()
        self._sender.update_links()
        self.pump()

    def _drop_left_runners(self) -> None:
        for runner_id, state in list(
            self.scheduler_state.runner_by_id.items()
        ):
            left = not state.listed and not state.run_by_task
            if left and not state.need_by_orphan:
                del self.scheduler_state.runner_by_id[runner_id]

    def _renew(self) -> None:
        self._renewed_at = self.now()
        self._row_writer.schedule_write(ALIVE_PLACE, self._encode_alive)
        # Failures are repeated by the journal until it is closed.
        self.stored().addErrback(lambda _: None)

    def _encode_alive(self) -> bytes:
        self._renewals += 1
        self._written_lapses = {}
        for runner_id, state in self.scheduler_state.runner_by_id.items():
            if state.unreachable and state.run_by_task:
                # From here on a later leader may read it.
                state.expiry_published = True
                self._written_lapses[runner_id] = (
                    state.lease_expires_at() + self._store_offset_s
                )
        keeper = self._keeper
        return leadership.encode_alive(
            self.token,
            self._renewals,
            self.scheduler_state.pending_by_queue(),
            self._written_lapses,
            {} if keeper is None else keeper.marks.current(self.store_now()),
        )
