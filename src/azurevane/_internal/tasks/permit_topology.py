"""Which limits a fleet state divides, and who may use their permits."""

import dataclasses

from azurevane._internal import invariants
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.policy import limits
from azurevane._internal.tasks import permit_demand
from azurevane._internal.tasks import permits

TieredDemands = list[tuple[permit_demand.DemandKey, int]]
"""Topics whose askers may get the permits of a key, with their tiers."""


class PermitTopology:
    """Limits by key, and the links between keys and demands.

    Args:
        state: with a manifest.
        restrictions: of prepared changes; obeyed beside the state.
        returned_at: monotonic seconds at which zones came back.
    """

    def __init__(
        self,
        now: float,
        state: fleet.FleetState,
        restrictions: tuple[fleet.Restrictions, ...],
        returned_at: dict[str, float],
    ) -> None:
        assert state.manifest is not None
        self._manifest = state.manifest
        self._zones_out = set(state.zones_out).union(
            *(item.zones for item in restrictions)
        )
        self._draining = set(state.draining).union(
            *(item.draining for item in restrictions)
        )
        self.limit_by_key: dict[str, int] = {}
        self._ramped_limit_by_key: dict[str, int] = {}
        self._demands_by_limit_key: dict[str, TieredDemands] = {}
        self._limit_keys_by_demand: dict[
            permit_demand.DemandKey, list[str]
        ] = {}
        self._add_teams(restrictions)
        self._add_runners(now, returned_at)
        self.max_run_s = max(
            (queue.max_run_s for queue in self._manifest.queues), default=0.0
        )

    def demands_for_limit(self, limit_key: str) -> TieredDemands:
        """Return whose asks may get the permits of a key."""
        return self._demands_by_limit_key.get(limit_key, [])

    def limit_key_groups(
        self, demand_key: permit_demand.DemandKey
    ) -> list[list[str]]:
        """Return the keys that serve a demand, then each spare pool's."""
        kind, _ = demand_key
        groups = [self._limit_keys_by_demand.get(demand_key, [])]
        if kind == "pool":
            groups += [
                self._limit_keys_by_demand.get(("pool", pool), [])
                for pool in self._manifest.spare_pools
                if ("pool", pool) != demand_key
            ]
        return groups

    def limits_and_bases(
        self, seat: fleet.Seat | None
    ) -> dict[str, tuple[int, int]]:
        """Return each limit with the part of a seat; 0 without a seat."""
        seats = self._manifest.entry_seats
        if invariants.enabled():
            self._check_base_parts()
        found = {}
        for key, limit in self.limit_by_key.items():
            now_allowed = self._ramped_limit_by_key.get(key, limit)
            found[key] = (
                now_allowed,
                limits.base_part(key, now_allowed, seats, seat.number)
                if seat
                else 0,
            )
        return found

    def _add_teams(self, restrictions: tuple[fleet.Restrictions, ...]) -> None:
        for team in self._manifest.teams:
            key = permits.team_limit_key(team.name)
            lowered = [
                item.limit_by_team[team.name]
                for item in restrictions
                if team.name in item.limit_by_team
            ]
            self.limit_by_key[key] = dataclasses.replace(
                team, limit=min([team.limit, *lowered])
            ).request_limit
            self._demands_by_limit_key[key] = [(("team", team.name), 0)]
            self._limit_keys_by_demand["team", team.name] = [key]

    def _add_runners(self, now: float, returned_at: dict[str, float]) -> None:
        demands_by_pool = {
            pool.name: self._pool_demands(pool)
            for pool in self._manifest.pools
        }
        for runner in self._manifest.runners:
            key = permits.runner_limit_key(runner.name)
            back_at = returned_at.get(runner.zone)
            self.limit_by_key[key] = runner.slots
            if back_at is not None:
                self._ramped_limit_by_key[key] = limits.ramped_limit(
                    runner.slots, now - back_at
                )
            self._demands_by_limit_key[key] = demands_by_pool.get(
                runner.pool, []
            )
            if runner.zone in self._zones_out or runner.name in self._draining:
                continue
            keys = self._limit_keys_by_demand.setdefault(
                ("pool", runner.pool), []
            )
            keys.append(key)

    def _pool_demands(self, pool: manifest_models.Pool) -> TieredDemands:
        demands: TieredDemands = [(("pool", pool.name), 0)]
        if not pool.spare:
            return demands
        return demands + [
            (("pool", other.name), 1)
            for other in self._manifest.pools
            if other.name != pool.name
        ]

    def _check_base_parts(self) -> None:
        seats = self._manifest.entry_seats
        for key, limit in self.limit_by_key.items():
            parts = sum(
                limits.base_part(key, limit, seats, seat)
                for seat in range(seats)
            )
            invariants.check_parts(key, parts, limit)
