"""Slot time used by each team in a pool, and the order of service."""

from collections.abc import Iterator
import heapq

from azurevane._internal.models import permit_messages
from azurevane._internal.policy import queueing
from azurevane._internal.policy import shares

# A peer that sent no counters for so long runs and lets wait nothing here.
_PEER_USAGE_TIMEOUT_S = 1.0
# Reports of a pool in which nobody waits; well within _PEER_USAGE_TIMEOUT_S.
_IDLE_REPORT_INTERVAL_S = 0.45


class PeerUsage:
    """Latest counters of one peer for a team."""

    __slots__ = ("rate", "received_at", "running", "slot_seconds", "waiting")

    def __init__(self) -> None:
        self.slot_seconds = 0.0
        self.running = 0
        self.waiting = 0
        self.received_at = 0.0
        # Slots in use on average since the message before.
        self.rate = 0.0


class TeamUsage:
    """Slot time, running and waiting requests of a team in a pool."""

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
        # Sums of used time at time zero: running requests count from their
        # start, so that used time is settled + running * now. What peers
        # use is extrapolated from their last message in the same way.
        self._settled = 0.0
        self._peer_settled = 0.0
        self._peer_rate = 0.0
        self._peer_running = 0
        self.rank_at_zero = 0.0
        self.rank_growth = 0.0

    @property
    def local_fraction(self) -> float:
        """Part of the team's waiting and running requests that is here."""
        here = self.waiting + self.running
        everywhere = here + self.peer_waiting + self._peer_running
        return here / everywhere if everywhere else 1.0

    @property
    def total_running(self) -> int:
        """Requests that run at all hosts."""
        return self.running + self._peer_running

    @property
    def total_waiting(self) -> int:
        """Requests that wait at all hosts."""
        return self.waiting + self.peer_waiting

    def used_slot_seconds(self, now: float) -> float:
        """Return the slot seconds used here, with what still runs."""
        return self._settled + self.running * now

    def level(self, now: float) -> float:
        """Return what the team has used by its weight."""
        used = self._settled + self._peer_settled
        used += (self.running + self._peer_rate) * now
        return shares.usage_level(used, self.weight) + self.offset

    def rank(self, now: float) -> float:
        """Return the place in the order of service; lowest is next."""
        return self.rank_at_zero + self.rank_growth * now

    def update_rank(self) -> None:
        """Note the rank as a line over time, after something has changed.

        The count of peers is up to 0.1 s old, and hosts that all correct
        the same old count overshoot together. So each host takes its own
        count for its part of the team's requests, and reckons the whole
        from that.
        """
        here = self.running
        everywhere = 0.0
        if here:
            demand = here + self.waiting
            elsewhere = self.peer_waiting + self._peer_running
            everywhere = here * (demand + elsewhere) / demand
        used = self._settled + self._peer_settled
        self.rank_at_zero = self.offset + shares.service_rank(
            used, everywhere, self.weight
        )
        self.rank_growth = shares.usage_level(
            here + self._peer_rate, self.weight
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
        """Take over the counters of a peer.

        A counter that fell belongs to a new process of the peer; what its
        predecessor used stays counted.
        """
        peer = self.peer_by_host.setdefault(host, PeerUsage())
        grown = message.slot_seconds - peer.slot_seconds
        if grown < 0:
            grown = message.slot_seconds
        self._stop_extrapolating(peer)
        self._peer_settled += grown
        elapsed = now - peer.received_at
        rate = (
            grown / elapsed
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
        """Count what a peer had used at its last message, no more."""
        self._peer_settled += peer.rate * peer.received_at
        self._peer_rate -= peer.rate
        peer.rate = 0.0

    def _count_peers(self) -> None:
        peers = self.peer_by_host.values()
        self.peer_waiting = sum(peer.waiting for peer in peers)
        self._peer_running = sum(peer.running for peer in peers)
        self.update_rank()

    def expire_silent_peers(self, now: float) -> None:
        """Stop to extrapolate peers that haven't been heard lately."""
        for peer in self.peer_by_host.values():
            if now - peer.received_at < _PEER_USAGE_TIMEOUT_S:
                continue
            if peer.running or peer.waiting:
                self._stop_extrapolating(peer)
                peer.running = peer.waiting = 0
                self._count_peers()


class UsageLedger:
    """Order of service of the teams of one pool.

    A heap holds a lower bound of each waiting team's rank. Ranks mostly
    grow, so the lowest is found by correcting the top of the heap.
    """

    def __init__(self) -> None:
        self.usage_by_team: dict[str, TeamUsage] = {}
        self._heap: list[tuple[float, str]] = []
        self._bound_by_team: dict[str, float] = {}
        self._lowest_peer_level: float | None = None
        self._report_at = 0.0

    def team_usage(self, team: str) -> TeamUsage:
        """Return the record of a team, made if there is none."""
        found = self.usage_by_team.get(team)
        if found is None:
            found = self.usage_by_team[team] = TeamUsage(1.0)
        return found

    def set_weight(self, now: float, team: str, weight: float) -> None:
        """Change a team's weight; what it used so far counts as before."""
        usage = self.team_usage(team)
        before = usage.level(now)
        usage.weight = weight
        usage.offset += before - usage.level(now)
        usage.update_rank()

    def begin_waiting(self, now: float, team: str) -> None:
        """Count a request that waits; a returning team starts level."""
        usage = self.team_usage(team)
        if not usage.total_waiting:
            self._raise_offset(now, usage)
        usage.waiting += 1
        if team not in self._bound_by_team:
            self.schedule_team(now, team)

    def stop_waiting(self, team: str, count: int = 1) -> None:
        """Count requests that wait no longer."""
        usage = self.usage_by_team[team]
        usage.waiting -= count
        if not usage.waiting:
            self.unschedule_team(team)

    def schedule_team(self, now: float, team: str) -> None:
        """Let a team take its turn, or note that its rank has fallen."""
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
        """Take a team out of the order of service."""
        self._bound_by_team.pop(team, None)

    def next_team(self, now: float) -> tuple[float, str] | None:
        """Return the rank and name of the team whose turn it is."""
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
            seconds: run time to learn from, or None.
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
        """Take over the counters of a peer for one team."""
        usage = self.team_usage(message.team)
        idle = not usage.total_waiting
        usage.merge_peer_usage(now, host, message)
        if idle and usage.peer_waiting:
            self._raise_offset(now, usage)
        if message.team in self._bound_by_team:
            self.schedule_team(now, message.team)

    def refresh(self, now: float) -> None:
        """Drop silent peers and note who waits only at peers."""
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

    def _raise_offset(self, now: float, usage: TeamUsage) -> None:
        turn = self.next_team(now)
        levels = []
        if self._lowest_peer_level is not None:
            levels.append(self._lowest_peer_level)
        if turn is not None:
            levels.append(self.usage_by_team[turn[1]].level(now))
        usage.offset += shares.level_raise_after_idle(
            usage.level(now), min(levels, default=None)
        )
        usage.update_rank()

    def is_report_due(self, now: float) -> bool:
        """Whether peers need the counters of this pool now.

        Shares decide only while somebody waits. Until then a report now
        and then keeps the counters of peers from ageing.
        """
        waits = any(
            usage.total_waiting for usage in self.usage_by_team.values()
        )
        if not waits and now < self._report_at:
            return False
        self._report_at = now + _IDLE_REPORT_INTERVAL_S
        return True

    def report_usage(
        self, now: float, pool: str, since: float
    ) -> Iterator[permit_messages.Usage]:
        """Yield the own counters of teams that used the pool lately."""
        for team, usage in self.usage_by_team.items():
            if usage.running or usage.waiting or usage.changed_at >= since:
                yield permit_messages.Usage(
                    pool,
                    team,
                    usage.used_slot_seconds(now),
                    usage.running,
                    usage.waiting,
                )
