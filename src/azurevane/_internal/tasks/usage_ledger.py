"""Slot time used by each team in a pool, and which team is next."""

from collections.abc import Iterator
import heapq

from azurevane._internal.models import permit_messages
from azurevane._internal.policy import queueing
from azurevane._internal.policy import shares

# A peer that has sent no counters for this long is taken to have no
# running and no waiting requests.
_PEER_USAGE_TIMEOUT_S = 1.0
# Interval between reports of a pool in which no request waits; well below
# _PEER_USAGE_TIMEOUT_S.
_IDLE_REPORT_INTERVAL_S = 0.45


class PeerUsage:
    """Latest usage counters of one peer for a team."""

    __slots__ = ("rate", "received_at", "running", "slot_seconds", "waiting")

    def __init__(self) -> None:
        self.slot_seconds = 0.0
        self.running = 0
        self.waiting = 0
        self.received_at = 0.0
        # Average number of slots in use since the previous message.
        self.rate = 0.0


class TeamUsage:
    """Slot time, running and waiting requests of a team in a pool.

    Attributes:
        weight: weight of the team's share.
        offset: added to the level; keeps it unchanged when the weight
            changes, and raises it when a team begins to wait again.
        running: requests that run from this host.
        waiting: requests that wait at this host.
        peer_waiting: requests that wait at peers.
        service: run times of the team's requests.
        changed_at: when a request last started or ended at this host.
        rank_at_zero, rank_growth: the rank as a linear function of time.
    """

    __slots__ = (
        "_peer_rate",
        "_peer_running",
        "_peer_settled",
        "_settled",
        "changed_at",
        "offset",
        "peer_by_host",
        "peer_waiting",
        "rank_at_zero",
        "rank_growth",
        "running",
        "service",
        "waiting",
        "weight",
    )

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.offset = 0.0
        self.running = 0
        self.waiting = 0
        self.peer_waiting = 0
        self.service = queueing.ServiceTime()
        self.changed_at = 0.0
        self.peer_by_host: dict[str, PeerUsage] = {}
        # Used slot time is a linear function of time: each running request
        # subtracts its start time, so that the slot time used by now is
        # _settled + running * now. The usage of peers is extrapolated from
        # their last message in the same way.
        self._settled = 0.0
        self._peer_settled = 0.0
        self._peer_rate = 0.0
        self._peer_running = 0
        self.rank_at_zero = 0.0
        self.rank_growth = 0.0

    @property
    def local_fraction(self) -> float:
        """Fraction of the team's requests that wait or run at this host."""
        local_requests = self.waiting + self.running
        all_requests = local_requests + self.peer_waiting + self._peer_running
        return local_requests / all_requests if all_requests else 1.0

    @property
    def total_running(self) -> int:
        """Number of requests that run at all hosts."""
        return self.running + self._peer_running

    @property
    def total_waiting(self) -> int:
        """Number of requests that wait at all hosts."""
        return self.waiting + self.peer_waiting

    def used_slot_seconds(self, now: float) -> float:
        """Return the slot seconds used here, including running requests."""
        return self._settled + self.running * now

    def level(self, now: float) -> float:
        """Return the slot seconds used divided by weight, plus the offset."""
        used = self._settled + self._peer_settled
        used += (self.running + self._peer_rate) * now
        return shares.usage_level(used, self.weight) + self.offset

    def rank(self, now: float) -> float:
        """Return the rank of the team; the lowest is served next."""
        return self.rank_at_zero + self.rank_growth * now

    def update_rank(self) -> None:
        """Recompute the rank as a linear function of time after a change.

        The counters of peers are up to 0.1 s old, and hosts that all
        correct for the same outdated counter overshoot together. So each
        host extrapolates the total from its own running requests and from
        its fraction of the team's requests.
        """
        local_running = self.running
        total_running = 0.0
        if local_running:
            local_demand = local_running + self.waiting
            peer_demand = self.peer_waiting + self._peer_running
            total_running = (
                local_running * (local_demand + peer_demand) / local_demand
            )
        used = self._settled + self._peer_settled
        self.rank_at_zero = self.offset + shares.service_rank(
            used, total_running, self.weight
        )
        self.rank_growth = shares.usage_level(
            local_running + self._peer_rate, self.weight
        )

    def record_start(self, now: float) -> None:
        """Count a request that starts to run."""
        self.running += 1
        self._settled -= now
        self.changed_at = now
        self.update_rank()

    def record_end(self, now: float) -> None:
        """Count a request that has ended."""
        self.running -= 1
        self._settled += now
        self.changed_at = now
        self.update_rank()

    def merge_peer_usage(
        self, now: float, host: str, message: permit_messages.Usage
    ) -> None:
        """Store the usage counters of a peer.

        A counter that has decreased belongs to a new incarnation of the
        peer; the usage of the previous one stays counted.
        """
        peer = self.peer_by_host.setdefault(host, PeerUsage())
        increase = message.slot_seconds - peer.slot_seconds
        if increase < 0:
            increase = message.slot_seconds
        self._stop_extrapolating(peer)
        self._peer_settled += increase
        elapsed = now - peer.received_at
        rate = (
            increase / elapsed
            if 0 < elapsed < _PEER_USAGE_TIMEOUT_S
            else message.running
        )
        peer.rate = rate if message.running else 0.0
        peer.slot_seconds = message.slot_seconds
        peer.running = message.running
        peer.waiting = message.waiting
        peer.received_at = now
        self._peer_rate += peer.rate
        self._peer_settled -= peer.rate * now
        self._count_peers()

    def _stop_extrapolating(self, peer: PeerUsage) -> None:
        """Count a peer's usage up to its last message only."""
        self._peer_settled += peer.rate * peer.received_at
        self._peer_rate -= peer.rate
        peer.rate = 0.0

    def _count_peers(self) -> None:
        peers = self.peer_by_host.values()
        self.peer_waiting = sum(peer.waiting for peer in peers)
        self._peer_running = sum(peer.running for peer in peers)
        self.update_rank()

    def expire_silent_peers(self, now: float) -> None:
        """Stop extrapolating peers that have sent no counters lately."""
        for peer in self.peer_by_host.values():
            if now - peer.received_at < _PEER_USAGE_TIMEOUT_S:
                continue
            if peer.running or peer.waiting:
                self._stop_extrapolating(peer)
                peer.running = peer.waiting = 0
                self._count_peers()


class UsageLedger:
    """Usage of the teams of one pool, and the order in which to serve them.

    A heap contains a lower bound of each waiting team's rank. Ranks
    mostly grow, so the lowest is found by correcting the top of the heap.
    """

    def __init__(self) -> None:
        self.usage_by_team: dict[str, TeamUsage] = {}
        self._heap: list[tuple[float, str]] = []
        self._bound_by_team: dict[str, float] = {}
        self._lowest_peer_level: float | None = None
        self._next_report_at = 0.0

    def team_usage(self, team: str) -> TeamUsage:
        """Return the usage record of a team, created if missing."""
        usage = self.usage_by_team.get(team)
        if usage is None:
            usage = self.usage_by_team[team] = TeamUsage(1.0)
        return usage

    def set_weight(self, now: float, team: str, weight: float) -> None:
        """Change a team's weight, which leaves its level unchanged."""
        usage = self.team_usage(team)
        previous_level = usage.level(now)
        usage.weight = weight
        usage.offset += previous_level - usage.level(now)
        usage.update_rank()

    def begin_waiting(self, now: float, team: str) -> None:
        """Count a request that starts to wait.

        A team that had no waiting requests starts at the lowest level of
        the teams that wait, if its own is lower.
        """
        usage = self.team_usage(team)
        if not usage.total_waiting:
            self._raise_to_waiting_level(now, usage)
        usage.waiting += 1
        if team not in self._bound_by_team:
            self.schedule_team(now, team)

    def stop_waiting(self, team: str, count: int = 1) -> None:
        """Count requests that stop waiting."""
        usage = self.usage_by_team[team]
        usage.waiting -= count
        if not usage.waiting:
            self.unschedule_team(team)

    def schedule_team(self, now: float, team: str) -> None:
        """Add a team to the order, or update it after its rank fell."""
        rank = self.usage_by_team[team].rank(now)
        bound = self._bound_by_team.get(team)
        if bound is not None and bound <= rank:
            return
        self._bound_by_team[team] = rank
        if len(self._heap) > 4 * len(self.usage_by_team) + 64:
            self._heap = [
                (lower, name) for name, lower in self._bound_by_team.items()
            ]
            heapq.heapify(self._heap)
            return
        heapq.heappush(self._heap, (rank, team))

    def unschedule_team(self, team: str) -> None:
        """Remove a team from the order."""
        self._bound_by_team.pop(team, None)

    def next_team(self, now: float) -> tuple[float, str] | None:
        """Return rank and name of the team to serve next, if any waits."""
        heap = self._heap
        while heap:
            bound, team = heap[0]
            if self._bound_by_team.get(team) != bound:
                heapq.heappop(heap)
                continue
            usage = self.usage_by_team[team]
            rank = usage.rank_at_zero + usage.rank_growth * now
            if rank <= bound:
                return rank, team
            self._bound_by_team[team] = rank
            heapq.heapreplace(heap, (rank, team))
        return None

    def record_start(self, now: float, team: str) -> None:
        """Count a request that starts to run."""
        self.team_usage(team).record_start(now)

    def record_end(self, now: float, team: str, seconds: float | None) -> None:
        """Count a request that has ended.

        Args:
            seconds: run time to add to the team's service time; None if
                the request wasn't run.
        """
        usage = self.usage_by_team[team]
        usage.record_end(now)
        if seconds is not None:
            usage.service = usage.service.observe(seconds)
        if team in self._bound_by_team:
            self.schedule_team(now, team)

    def merge_peer_usage(
        self, now: float, host: str, message: permit_messages.Usage
    ) -> None:
        """Store the usage counters of a peer for one team."""
        usage = self.team_usage(message.team)
        idle = not usage.total_waiting
        usage.merge_peer_usage(now, host, message)
        if idle and usage.peer_waiting:
            self._raise_to_waiting_level(now, usage)
        if message.team in self._bound_by_team:
            self.schedule_team(now, message.team)

    def refresh(self, now: float) -> None:
        """Expire silent peers; update the lowest level of teams at peers.

        Only teams that wait at peers and not at this host are considered.
        """
        lowest = None
        for team, usage in self.usage_by_team.items():
            if usage.peer_by_host:
                usage.expire_silent_peers(now)
            if team in self._bound_by_team:
                self.schedule_team(now, team)
            elif usage.peer_waiting:
                level = usage.level(now)
                lowest = level if lowest is None else min(lowest, level)
        self._lowest_peer_level = lowest

    def _raise_to_waiting_level(self, now: float, usage: TeamUsage) -> None:
        next_team = self.next_team(now)
        levels = []
        if self._lowest_peer_level is not None:
            levels.append(self._lowest_peer_level)
        if next_team is not None:
            levels.append(self.usage_by_team[next_team[1]].level(now))
        usage.offset += shares.level_raise_after_idle(
            usage.level(now), min(levels, default=None)
        )
        usage.update_rank()

    def is_report_due(self, now: float) -> bool:
        """Whether to send the counters of this pool to peers now.

        Shares only matter while requests wait. Otherwise infrequent
        reports keep the counters at peers from going stale.
        """
        waits = any(
            usage.total_waiting for usage in self.usage_by_team.values()
        )
        if not waits and now < self._next_report_at:
            return False
        self._next_report_at = now + _IDLE_REPORT_INTERVAL_S
        return True

    def report_usage(
        self, now: float, pool: str, since: float
    ) -> Iterator[permit_messages.Usage]:
        """Yield this host's counters of teams active since a given time."""
        for team, usage in self.usage_by_team.items():
            if usage.running or usage.waiting or usage.changed_at >= since:
                yield permit_messages.Usage(
                    pool,
                    team,
                    usage.used_slot_seconds(now),
                    usage.running,
                    usage.waiting,
                )
