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
from azurevane._internal.peers import leader_line
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
LEADER_WAIT_S = 0.9
SILENT_WAIT_S = 0.1
# Pause of a host that leaves take-overs to others.
WEAK_PAUSE_S = 0.8
CLAIM_TICK_S = 0.1
# Spreads the hosts' attempts to take over.
CLAIM_JITTER_S = 0.3

_OVER = (leader_line.Standing.GAVE_UP, leader_line.Standing.GONE)


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
        began: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._store = store_client
        self._settings = settings
        self._unix_time = unix_time
        self._set_pending = set_pending
        self._began = began
        delay_s = leadership.claim_delay_s(
            settings.processors, settings.link_mbps
        )
        self._view = leadership.LeaderView(
            settings.host_name,
            reactor.seconds(),
            delay_s=delay_s,
            jitter_s=random.uniform(0.0, CLAIM_JITTER_S),
            address=settings.hosts_listen,
        )
        self._line = leader_line.LeaderLine(client, settings.host_name)
        self._follower = table_follower.TableFollower(
            reactor,
            store_client,
            leadership.TABLE,
            wait_s=LEADER_WAIT_S,
            whole=self._rows_changed,
            changed=self._rows_changed,
            viewed=self._note_view,
            pause_s=WEAK_PAUSE_S if delay_s else 0.0,
        )
        self._ticker = twisted_task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._claiming = False
        self._asking = False
        self._left = False
        self.leader: leader_module.Leader | None = None

    def start(self) -> None:
        """Follow the leader's rows."""
        background.spawn(self._follower.run(), f"follow {leadership.TABLE}")
        self._ticker.start(CLAIM_TICK_S)

    def leave(self) -> None:
        """Claim no more, and hand a reign over."""
        self._left = True
        if self.leader is not None:
            background.spawn(self.leader.hand_over(), "hand over")

    def abandon(self) -> None:
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
            self._view.note_row(key, value, row.version, now)
            if key == leadership.ALIVE_KEY and value is not None:
                self._set_pending(leadership.decode_pending(value))

    def _note_view(self, now: float) -> None:
        self._view.note_view(now)
        self._follower.wait_s = (
            SILENT_WAIT_S if self._view.silent(now) else LEADER_WAIT_S
        )

    def _tick(self) -> None:
        if self._claiming or self.leader is not None or self._left:
            return
        now = self._reactor.seconds()
        claim = self._view.claim(now)
        if claim is not None:
            self._claiming = True
            background.spawn(self._take_over(claim), "take over")
            return
        doubt = None if self._asking else self._view.doubt(now)
        if doubt is not None:
            self._asking = True
            background.spawn(self._ask(doubt), "ask the leader")

    async def _serves_leaders(self) -> bool:
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

    async def _ask(self, doubt: leadership.Doubt) -> None:
        try:
            # Changes arrive also while that part of the store is down for
            # all, so that nobody could take over.
            if not await self._serves_leaders():
                return
            if self._view.doubt(self._reactor.seconds()) is None:
                return
            standing = await self._line.ask(doubt.address, doubt.token)
            catalogue.emit(
                logger,
                events.LeaderAsked(
                    doubt.holder,
                    doubt.token,
                    round(doubt.silent_s, 3),
                    standing.value,
                ),
            )
            if standing in _OVER:
                self._view.note_over(doubt.token, standing.value)
                self._tick()
        finally:
            self._reactor.callLater(leadership.ASK_PAUSE_S, self._end_question)

    def _end_question(self) -> None:
        self._asking = False

    def leads(self, token: int, asker: str) -> bool:
        """Whether this host leads under a token, as another host asks."""
        if self._claiming:
            # The store may have granted it already.
            return True
        if self.leader is None or self.leader.token != token:
            return False
        return self.leader.asked(asker)

    async def _take_over(self, claim: leadership.Claim) -> None:
        claimed_at = self._reactor.seconds()
        try:
            outcome = await self._store.transact(
                {
                    leader_module.OWNER_ROW_KEY: claim.owner_version,
                    leader_module.ALIVE_ROW_KEY: claim.alive_version,
                },
                {
                    leader_module.OWNER_ROW_KEY: claim.owner_value,
                    leader_module.ALIVE_ROW_KEY: leadership.encode_alive(
                        claim.token,
                        0,
                        {},
                        claim.earlier.lapse_by_runner,
                        claim.earlier.marks_by_host,
                    ),
                },
            )
        except exceptions.CallFailed as failure:
            logger.info("Take-over: %s", failure)
            return
        finally:
            self._claiming = False
        if isinstance(outcome, store.Conflict):
            now = self._reactor.seconds()
            for row in outcome.row_by_row_key.values():
                self._view.note_row(
                    row.row_key.key, row.value, row.version, now
                )
            return
        catalogue.emit(
            logger, events.LeadershipTaken(claim.token, claim.reason)
        )
        self.leader = leader_module.Leader(
            self._reactor,
            self._client,
            self._store,
            self._settings,
            token=claim.token,
            claimed_at=claimed_at,
            claimed=outcome,
            earlier=claim.earlier,
            unix_time=self._unix_time,
            over=self._reign_over,
        )
        self._began()
        await self.leader.run()

    def _reign_over(self, reason: str) -> None:
        self.leader = None
