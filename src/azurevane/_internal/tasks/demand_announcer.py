"""Tells the permit keeper how many permits waiting work could use."""

from azurevane._internal.models import effects
from azurevane._internal.tasks import permits as permits_module
from azurevane._internal.tasks import pool_work

# Interval at which a pool's waiting work is recounted, and its rank is
# announced even if the next team hasn't changed.
_ANNOUNCE_INTERVAL_S = 0.005

# Added to the rank of waiting work at a host that uses all the slots it is
# entitled to. Such work only gets slots that would otherwise be idle.
_EXCESS_RANK_OFFSET = 1e6
# Maximum number of slots that a host asks for beyond its entitlement.
_MAX_EXCESS_SLOTS = 4


class DemandAnnouncer:
    """Announces waiting work of pools, and of teams at their limit."""

    def __init__(self, permits: permits_module.Permits) -> None:
        self._permits = permits
        self._announced_teams: set[str] = set()

    def is_due(self, now: float, work: pool_work.PoolWork) -> bool:
        """Whether to announce even if nothing was dispatched."""
        if not work.waiting:
            return work.wanted_slots > 0
        return (
            not work.wanted_slots
            or now - work.announced_at >= _ANNOUNCE_INTERVAL_S
        )

    def announce_pool(
        self, now: float, work: pool_work.PoolWork
    ) -> list[effects.Effect]:
        """Announce how many slots of a pool waiting work could use."""
        next_team = work.ledger.next_team(now) if work.waiting else None
        if next_team is None:
            if not work.wanted_slots:
                return []
            work.wanted_slots = 0
            return self._permits.want(now, "pool", work.name, 0, 0.0, 0.0)
        rank, team = next_team
        if (
            not work.wanted_slots
            or now - work.announced_at >= _ANNOUNCE_INTERVAL_S
        ):
            work.announced_at = now
            work.missing_slots = work.count_missing_slots(now)
            work.wanted_slots = self._count_wanted_slots(now, work)
        elif team == work.announced_team:
            return []
        work.announced_team = team
        waited_s = now - work.queue_by_team[team].first().arrived_at
        # Hosts notice at different times that a team waits again, so only
        # the distance from the mean level of the teams is comparable
        # between hosts.
        rank -= work.mean_level
        if work.rank_step:
            # Among nearly equal ranks, the keeper then serves the request
            # that has waited longest.
            rank -= rank % work.rank_step
        if work.missing_slots <= 0:
            rank += _EXCESS_RANK_OFFSET
        return self._permits.want(
            now, "pool", work.name, work.wanted_slots, rank, waited_s
        )

    def _count_wanted_slots(self, now: float, work: pool_work.PoolWork) -> int:
        """Count work that could start now, up to this host's entitlement.

        Without this bound, the host whose waiting work has the highest
        priority would get every slot until its peers receive its next
        rank.
        """
        count = 0
        for team, team_queue in work.queue_by_team.items():
            if not team_queue or team in work.limited_teams:
                continue
            waiting = len(team_queue)
            if team:
                limit_key = permits_module.team_limit_key(team)
                waiting = min(waiting, self._permits.free(now, limit_key))
            count += waiting
        return max(1, min(count, max(work.missing_slots, _MAX_EXCESS_SLOTS)))

    def announce_team(
        self, now: float, team: str, works: list[pool_work.PoolWork]
    ) -> list[effects.Effect]:
        """Announce how many permits a team at its limit could use.

        Args:
            works: work of the pools in which the team waits for a permit
                of its own limit.
        """
        if not works:
            if team not in self._announced_teams:
                return []
            self._announced_teams.discard(team)
            return self._permits.want(now, "team", team, 0, 0.0, 0.0)
        self._announced_teams.add(team)
        queues = [work.queue_by_team[team] for work in works]
        return self._permits.want(
            now,
            "team",
            team,
            sum(len(queue) for queue in queues),
            min(work.ledger.usage_by_team[team].rank(now) for work in works),
            now - min(queue.first().arrived_at for queue in queues),
        )
