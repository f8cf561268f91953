"""Candidacy of an entry host: detects a silent leader and takes over."""

from collections.abc import Callable, Sequence
import logging
import random
from typing import Any

import msgspec
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import admission
from azurevane._internal.models import host_settings
from azurevane._internal.peers import leader_query
from azurevane._internal.platform import advice_calls
from azurevane._internal.platform import http_client
from azurevane._internal.platform import store
from azurevane._internal.scheduler import advice_queue
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import leader as leader_module
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import table_follower
from azurevane._internal.utils import process_lag as process_lag_module

logger = logging.getLogger(__name__)

# How long the store may hold a request for changes of the leader's rows:
# above RENEWAL_INTERVAL_S, so that a response usually carries a renewal, and
# below MAX_VIEW_AGE_S, so that a takeover is based on a recent view. Shorter
# once the leader is silent.
LEADER_FEED_WAIT_S = 0.9
SILENT_LEADER_FEED_WAIT_S = 0.1
# Pause between two reads on a host that delays its takeovers.
WEAK_HOST_READ_PAUSE_S = 0.8
CANDIDATE_TICK_INTERVAL_S = 0.1
# A host leaves the lead to others for this long after it failed to begin a
# term for an unexpected reason.
FAILED_TERM_PAUSE_S = 5.0
# Random delay that spreads the takeovers of several hosts.
MAX_TAKEOVER_JITTER_S = 0.3

OnEstimate = Callable[[admission.AdmissionEstimate | None, float], None]

_ENDED_LEADER_STATUSES = (
    leader_query.LeaderStatus.NOT_LEADING,
    leader_query.LeaderStatus.NOT_LISTENING,
)


class Candidate:
    """Follows the leader's rows and takes over when they allow it.

    Args:
        process_lag: how late this process is.
        on_pending_jobs: called with the number of pending jobs of each queue.
        on_estimate: called with the leader's newest estimate for admission,
            or None, and with a time before which it can't have been stored.
        on_leading: called when this host begins to lead.

    Attributes:
        leader: the current term of this host, if it leads.
    """

    def __init__(
        self,
        reactor: Any,
        client: http_client.HttpClient,
        store_client: store.StoreClient,
        settings: host_settings.HostSettings,
        *,
        unix_time: Callable[[], float],
        process_lag: process_lag_module.ProcessLag,
        on_pending_jobs: Callable[[dict[str, int]], None],
        on_estimate: OnEstimate,
        on_leading: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._store = store_client
        self._settings = settings
        self._unix_time = unix_time
        self._process_lag = process_lag
        self._on_pending_jobs = on_pending_jobs
        self._on_estimate = on_estimate
        self._on_leading = on_leading
        delay_s = leadership.takeover_delay_s(
            settings.processors, settings.link_mbps
        )
        self._view = leadership.LeaderView(
            settings.host_name,
            reactor.seconds(),
            delay_s=delay_s,
            jitter_s=random.uniform(0.0, MAX_TAKEOVER_JITTER_S),
            address=settings.hosts_listen,
        )
        self._advice: advice_queue.AdviceQueue | None = None
        if settings.advisor_address is not None:
            self._advice = advice_queue.AdviceQueue(
                reactor,
                advice_calls.AdviceCalls(client, settings.advisor_address),
            )
        self._leader_client = leader_query.LeaderQueryClient(
            client, settings.host_name
        )
        self._follower = table_follower.TableFollower(
            reactor,
            store_client,
            leadership.TABLE,
            wait_s=LEADER_FEED_WAIT_S,
            on_snapshot=self._handle_rows,
            on_changes=self._handle_rows,
            on_confirmed=self._handle_view_confirmed,
            pause_s=WEAK_HOST_READ_PAUSE_S if delay_s else 0.0,
        )
        self._ticker = twisted_task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._taking_over = False
        self._querying = False
        self._resigned = False
        self._takeover_not_before = 0.0
        self.leader: leader_module.Leader | None = None

    def start(self) -> None:
        """Start to follow the leader's rows."""
        background.spawn(self._follower.run(), f"follow {leadership.TABLE}")
        self._ticker.start(CANDIDATE_TICK_INTERVAL_S)

    def resign(self, deadline: float) -> None:
        """Attempt no more takeovers, and hand over a current term.

        In a slow store nothing starts for seconds while the lead changes, so
        a leader keeps it until the store is fast again.

        Args:
            deadline: monotonic time at which a term is handed over in any
                case.
        """
        self._resigned = True
        if self.leader is not None:
            background.spawn(
                self._hand_over(self.leader, deadline), "hand over leadership"
            )

    async def _hand_over(
        self, leader: leader_module.Leader, deadline: float
    ) -> None:
        while self._store.slow and self._reactor.seconds() < deadline:
            await twisted_task.deferLater(
                self._reactor, CANDIDATE_TICK_INTERVAL_S, lambda: None
            )
        await leader.hand_over_leadership()

    def abort(self) -> None:
        """Stop at once without a handover, as when the process is killed."""
        self._follower.stop()
        if self._ticker.running:
            self._ticker.stop()
        if self.leader is not None:
            self.leader.stop("process stops")

    def _handle_rows(self, rows: Sequence[store.Row]) -> None:
        now = self._reactor.seconds()
        for row in rows:
            key, value = row.row_key.key, row.value
            try:
                is_new = self._view.update_row(key, value, row.version, now)
            except msgspec.MsgspecError as error:
                table_follower.log_unreadable_row(row, error)
                continue
            # Counts of unknown age must not be shown as new ones.
            if is_new and key == leadership.RENEWAL_KEY and value is not None:
                pending_by_queue = leadership.decode_pending_jobs(value)
                if pending_by_queue is not None:
                    self._on_pending_jobs(pending_by_queue)
                # An earlier read didn't show it, so it is no older than that.
                self._on_estimate(
                    leadership.decode_estimate(value),
                    self._view.confirmed_at or float("-inf"),
                )

    def _handle_view_confirmed(self, now: float) -> None:
        self._view.record_view(now)
        self._follower.wait_s = (
            SILENT_LEADER_FEED_WAIT_S
            if self._view.leader_silent(now)
            else LEADER_FEED_WAIT_S
        )

    def _tick(self) -> None:
        # An error would end the periodic calls.
        background.run_step("follow the leader", self._check_leader)

    def _check_leader(self) -> None:
        if self._taking_over or self.leader is not None or self._resigned:
            return
        now = self._reactor.seconds()
        if now < self._takeover_not_before:
            return
        takeover = self._view.takeover_due(now)
        if takeover is not None:
            self._taking_over = True
            background.spawn(self._lead(takeover), "take over leadership")
            return
        silent = None if self._querying else self._view.silent_leader(now)
        if silent is not None:
            self._querying = True
            background.spawn(self._query_leader(silent), "query the leader")

    async def _leader_rows_readable(self) -> bool:
        """Whether this host can read the partition of the leader's rows."""
        try:
            read = await self._store.read_page(
                leadership.TABLE, records.LEADER_PARTITION
            )
        except exceptions.CallFailed as failure:
            logger.info("Reading the leader's rows failed: %s", failure)
            return False
        self._handle_rows(read.rows)
        return True

    async def _query_leader(self, silent: leadership.SilentLeader) -> None:
        try:
            # The feed of changes still answers while the partition is down
            # for all hosts. Then nobody could take over, so the leader must
            # not be made to give up.
            if not await self._leader_rows_readable():
                return
            if self._view.silent_leader(self._reactor.seconds()) is None:
                return
            leader_status = await self._leader_client.query_leader(
                silent.address, silent.token
            )
            catalogue.emit(
                logger,
                events.LeaderAsked(
                    silent.holder,
                    silent.token,
                    round(silent.silent_s, 3),
                    leader_status.value,
                ),
            )
            if leader_status in _ENDED_LEADER_STATUSES:
                # A refused connection says nothing of others, over which a
                # leader without the store still reaches runners.
                self._view.record_term_ended(
                    silent.token,
                    leader_status.value,
                    may_be_alive=leader_status
                    is leader_query.LeaderStatus.NOT_LISTENING,
                )
                self._tick()
        finally:
            self._reactor.callLater(
                leadership.QUERY_INTERVAL_S, self._allow_next_query
            )

    def _allow_next_query(self) -> None:
        self._querying = False

    def holds_leadership(self, token: int, asker: str) -> bool:
        """Whether this host leads under a token, as another host queries."""
        if self._taking_over:
            # The store may have committed the takeover already.
            return True
        if self.leader is None or self.leader.token != token:
            return False
        return self.leader.handle_leadership_query(asker)

    async def _lead(self, takeover: leadership.Takeover) -> None:
        try:
            await self._take_over(takeover)
        except Exception as error:
            background.log_step_failure("take over leadership", error)
            self._takeover_not_before = (
                self._reactor.seconds() + FAILED_TERM_PAUSE_S
            )
            if self.leader is not None:
                self.leader.stop("unexpected error")

    async def _take_over(self, takeover: leadership.Takeover) -> None:
        sent_at = self._reactor.seconds()
        try:
            outcome = await self._store.transact(
                {
                    leader_module.LEADER_ROW_KEY: takeover.leader_row_version,
                    leader_module.RENEWAL_ROW_KEY: takeover.renewal_version,
                },
                {
                    leader_module.LEADER_ROW_KEY: takeover.leader_row_value,
                    leader_module.RENEWAL_ROW_KEY: takeover.renewal_row_value,
                },
            )
        except exceptions.CallFailed as failure:
            logger.info("Takeover failed: %s", failure)
            return
        finally:
            self._taking_over = False
        if isinstance(outcome, store.Conflict):
            self._handle_rows(list(outcome.row_by_row_key.values()))
            return
        previous = takeover.previous
        catalogue.emit(
            logger,
            events.LeadershipTaken(
                takeover.token,
                takeover.reason,
                previous.may_extend_leases,
                len(previous.expiry_by_runner),
                len(previous.command_by_host),
            ),
        )
        self.leader = leader_module.Leader(
            self._reactor,
            self._client,
            self._store,
            self._settings,
            token=takeover.token,
            taken_over_at=sent_at,
            takeover_commit=outcome,
            previous=takeover.previous,
            commands_from=takeover.commands_from,
            unix_time=self._unix_time,
            process_lag=self._process_lag,
            advice=self._advice,
            on_ended=self._handle_term_ended,
        )
        if self._resigned:
            # This host was told to stop before the store responded.
            await self.leader.hand_over_leadership()
            return
        self._on_leading()
        await self.leader.run()

    def _handle_term_ended(self, reason: str) -> None:
        self.leader = None
