"""Limits that a fleet state divides, and the demands that they serve."""

import dataclasses

from azurevane._internal import invariants
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.policy import limits
from azurevane._internal.tasks import permit_demand
from azurevane._internal.tasks import permits

TieredDemands = list[tuple[permit_demand.DemandKey, int]]
"""Demand keys that may get the permits of a limit, with their tiers."""


class PermitTopology:
    """Limits by key, and which limits serve which demands.

    Args:
        state: fleet state with a manifest.
        restrictions: restrictions of prepared changes, which apply in
            addition to the state.
        returned_at_by_zone: monotonic seconds at which zones returned.
    """

    def __init__(
        self,
        now: float,
        state: fleet.FleetState,
        restrictions: tuple[fleet.Restrictions, ...],
        returned_at_by_zone: dict[str, float],
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
        self._add_runners(now, returned_at_by_zone)
        self.max_run_s = max(
            (queue.max_run_s for queue in self._manifest.queues), default=0.0
        )

    def demands_for_limit(self, limit_key: str) -> TieredDemands:
        """Return the demands that may get the permits of a limit."""
        return self._demands_by_limit_key.get(limit_key, [])

    def limit_key_groups(
        self, demand_key: permit_demand.DemandKey
    ) -> list[list[str]]:
        """Return the limit keys that serve a demand, in order of use.

        The first group holds the demand's own keys; for a pool, the keys
        of each spare pool follow.
        """
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
        """Return each limit with a seat's base part; 0 without a seat."""
        seats = self._manifest.entry_seats
        if invariants.checks_enabled():
            self._check_base_parts()
        limit_and_base = {}
        for key, limit in self.limit_by_key.items():
            current_limit = self._ramped_limit_by_key.get(key, limit)
            limit_and_base[key] = (
                current_limit,
                limits.base_part(key, current_limit, seats, seat.number)
                if seat
                else 0,
            )
        return limit_and_base

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

    def _add_runners(
        self, now: float, returned_at_by_zone: dict[str, float]
    ) -> None:
        demands_by_pool = {
            pool.name: self._pool_demands(pool)
            for pool in self._manifest.pools
        }
        for runner in self._manifest.runners:
            key = permits.runner_limit_key(runner.name)
            returned_at = returned_at_by_zone.get(runner.zone)
            self.limit_by_key[key] = runner.slots
            if returned_at is not None:
                self._ramped_limit_by_key[key] = limits.ramped_limit(
                    runner.slots, now - returned_at
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
            invariants.check_base_parts(key, parts, limit)
