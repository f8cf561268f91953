"""The task by which a host comes to lead, and that holds its reign."""

from collections.abc import Callable, Sequence
import logging
import random
from typing import Any

from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import host_settings
from azurevane._internal.peers import leader_query
from azurevane._internal.platform import http_client
from azurevane._internal.platform import store
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import leader as leader_module
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import table_follower

logger = logging.getLogger(__name__)

# How long the store holds back an answer about the leader's rows: above the
# time between two signs of life, and below the freshness that a take-over
# needs; less once the leader is silent.
LEADER_FEED_WAIT_S = 0.9
SILENT_LEADER_FEED_WAIT_S = 0.1
# Pause of a host that leaves take-overs to others.
WEAK_HOST_READ_PAUSE_S = 0.8
CANDIDATE_TICK_INTERVAL_S = 0.1
# Spreads the hosts' attempts to take over.
MAX_TAKEOVER_JITTER_S = 0.3

_ENDED_LEADER_STATUSES = (
    leader_query.LeaderStatus.NOT_LEADING,
    leader_query.LeaderStatus.NOT_LISTENING,
)


class Candidate:
    """Follows the leader's rows and takes them over when it may.

    Args:
        set_pending: called with the jobs of each queue that wait.
        began: called when this host begins to lead.

    Attributes:
        leader: the reign of this host, if it leads.
    """

    def __init__(
        self,
        reactor: Any,
        client: http_client.HttpClient,
        store_client: store.StoreClient,
        settings: host_settings.HostSettings,
        *,
        unix_time: Callable[[], float],
        set_pending: Callable[[dict[str, int]], None],
        on_leading: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._store = store_client
        self._settings = settings
        self._unix_time = unix_time
        self._set_pending = set_pending
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
        self._leader_client = leader_query.LeaderQueryClient(
            client, settings.host_name
        )
        self._follower = table_follower.TableFollower(
            reactor,
            store_client,
            leadership.TABLE,
            wait_s=LEADER_FEED_WAIT_S,
            on_snapshot=self._rows_changed,
            on_changes=self._rows_changed,
            on_confirmed=self._handle_view,
            pause_s=WEAK_HOST_READ_PAUSE_S if delay_s else 0.0,
        )
        self._ticker = twisted_task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._taking_over = False
        self._querying = False
        self._resigned = False
        self.leader: leader_module.Leader | None = None

    def start(self) -> None:
        """Follow the leader's rows."""
        background.spawn(self._follower.run(), f"follow {leadership.TABLE}")
        self._ticker.start(CANDIDATE_TICK_INTERVAL_S)

    def resign(self) -> None:
        """Claim no more, and hand a reign over."""
        self._resigned = True
        if self.leader is not None:
            background.spawn(self.leader.hand_over_leadership(), "hand over")

    def abort(self) -> None:
        """End at once, as when the process is killed."""
        self._follower.stop()
        if self._ticker.running:
            self._ticker.stop()
        if self.leader is not None:
            self.leader.stop("process ends")

    def _rows_changed(self, rows: Sequence[store.Row]) -> None:
        now = self._reactor.seconds()
        for row in rows:
            key, value = row.row_key.key, row.value
            self._view.update_row(key, value, row.version, now)
            if key == leadership.RENEWAL_KEY and value is not None:
                self._set_pending(leadership.decode_pending_jobs(value))

    def _handle_view(self, now: float) -> None:
        self._view.record_view(now)
        self._follower.wait_s = (
            SILENT_LEADER_FEED_WAIT_S
            if self._view.leader_silent(now)
            else LEADER_FEED_WAIT_S
        )

    def _tick(self) -> None:
        if self._taking_over or self.leader is not None or self._resigned:
            return
        now = self._reactor.seconds()
        takeover = self._view.takeover_due(now)
        if takeover is not None:
            self._taking_over = True
            background.spawn(self._take_over(takeover), "take over")
            return
        silent_leader = (
            None if self._querying else self._view.silent_leader(now)
        )
        if silent_leader is not None:
            self._querying = True
            background.spawn(
                self._query_leader(silent_leader), "ask the leader"
            )

    async def _leader_rows_readable(self) -> bool:
        """Whether the store now serves the part of the leader's rows here."""
        try:
            read = await self._store.read_page(
                leadership.TABLE, records.LEADER_PARTITION
            )
        except exceptions.CallFailed as failure:
            logger.info("Reading the leader's rows: %s", failure)
            return False
        self._rows_changed(read.rows)
        return True

    async def _query_leader(
        self, silent_leader: leadership.SilentLeader
    ) -> None:
        try:
            # Changes arrive also while that part of the store is down for
            # all, so that nobody could take over.
            if not await self._leader_rows_readable():
                return
            if self._view.silent_leader(self._reactor.seconds()) is None:
                return
            leader_status = await self._leader_client.query_leader(
                silent_leader.address, silent_leader.token
            )
            catalogue.emit(
                logger,
                events.LeaderAsked(
                    silent_leader.holder,
                    silent_leader.token,
                    round(silent_leader.silent_s, 3),
                    leader_status.value,
                ),
            )
            if leader_status in _ENDED_LEADER_STATUSES:
                self._view.record_term_ended(
                    silent_leader.token, leader_status.value
                )
                self._tick()
        finally:
            self._reactor.callLater(
                leadership.QUERY_INTERVAL_S, self._handle_query_pause_over
            )

    def _handle_query_pause_over(self) -> None:
        self._querying = False

    def holds_leadership(self, token: int, asker: str) -> bool:
        """Whether this host leads under a token, as another host asks."""
        if self._taking_over:
            # The store may have granted it already.
            return True
        if self.leader is None or self.leader.token != token:
            return False
        return self.leader.handle_leadership_query(asker)

    async def _take_over(self, takeover: leadership.Takeover) -> None:
        taken_over_at = self._reactor.seconds()
        try:
            outcome = await self._store.transact(
                {
                    leader_module.LEADER_ROW_KEY: takeover.leader_row_version,
                    leader_module.RENEWAL_ROW_KEY: takeover.renewal_version,
                },
                {
                    leader_module.LEADER_ROW_KEY: takeover.leader_row_value,
                    leader_module.RENEWAL_ROW_KEY: leadership.encode_renewal(
                        takeover.token,
                        0,
                        {},
                        takeover.previous.expiry_by_runner,
                        takeover.previous.command_by_host,
                    ),
                },
            )
        except exceptions.CallFailed as failure:
            logger.info("Take-over: %s", failure)
            return
        finally:
            self._taking_over = False
        if isinstance(outcome, store.Conflict):
            now = self._reactor.seconds()
            for row in outcome.row_by_row_key.values():
                self._view.update_row(
                    row.row_key.key, row.value, row.version, now
                )
            return
        catalogue.emit(
            logger, events.LeadershipTaken(takeover.token, takeover.reason)
        )
        self.leader = leader_module.Leader(
            self._reactor,
            self._client,
            self._store,
            self._settings,
            token=takeover.token,
            taken_over_at=taken_over_at,
            takeover_commit=outcome,
            previous=takeover.previous,
            unix_time=self._unix_time,
            on_ended=self._handle_term_ended,
        )
        self._on_leading()
        await self.leader.run()

    def _handle_term_ended(self, reason: str) -> None:
        self.leader = None
