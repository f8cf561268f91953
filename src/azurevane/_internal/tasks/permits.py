"""Interface between the dispatcher and the permit keeper."""

import collections
from typing import Protocol

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.policy import limits


def team_limit_key(team: str) -> str:
    """Return the key of a team's divided upper limit."""
    return f"team:{team}"


def runner_limit_key(runner: str) -> str:
    """Return the key of a runner's divided slots."""
    return f"runner:{runner}"


class Permits(Protocol):
    """Permits of divided limits that this host may use.

    Implemented by ``PermitKeeper`` and ``LocalPermits``.
    """

    def free(self, now: float, limit_key: str) -> int:
        """Return how many more permits this host may use now."""

    def acquire(
        self, now: float, limit_key: str, holder: str, not_after: float
    ) -> bool:
        """Use a permit until ``release``; False if none is free.

        Args:
            holder: submission id.
            not_after: monotonic seconds by which the run has ended.
        """

    def release(self, now: float, holder: str) -> list[effects.Effect]:
        """Free all permits of a holder whose run has ended."""

    def want(
        self,
        now: float,
        kind: str,
        name: str,
        count: int,
        rank: float,
        waited_s: float,
    ) -> list[effects.Effect]:
        """Set how many permits waiting work could use.

        Args:
            kind: ``team`` or ``pool``.
            count: 0 ends the demand. For a team, count all its waiting
                work, including work that has a free permit here and only
                lacks a slot: the demand keeps that permit from work of
                lower priority at peers. For a pool, count the work that
                only lacks a slot.
            rank: used slot seconds divided by weight of the waiter with
                the highest priority; the lowest is served first.
            waited_s: seconds that this waiter has waited.
        """


class LocalPermits:
    """Permits of undivided limits, for a site with one entry process."""

    def __init__(self) -> None:
        self._limit_by_key: dict[str, int] = {}
        self._used_by_key: collections.Counter[str] = collections.Counter()
        self._keys_by_holder: dict[str, list[str]] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._returned_at_by_zone: dict[str, float] = {}
        self._returned_at_by_key: dict[str, float] = {}

    def configure(self, now: float, state: fleet.FleetState) -> None:
        """Set the limits and zones of a fleet state."""
        manifest = state.manifest
        if manifest is None:
            return
        self._limit_by_key = {
            team_limit_key(team.name): team.request_limit
            for team in manifest.teams
        } | {
            runner_limit_key(runner.name): runner.slots
            for runner in manifest.runners
        }
        for zone in self._zones_out.difference(state.zones_out):
            self._returned_at_by_zone[zone] = now
        self._zones_out = frozenset(state.zones_out)
        self._returned_at_by_key = {
            runner_limit_key(runner.name): returned_at
            for runner in manifest.runners
            if (returned_at := self._returned_at_by_zone.get(runner.zone))
            is not None
        }

    def free(self, now: float, limit_key: str) -> int:
        """Return how many more permits may be used now."""
        limit = self._limit_by_key.get(limit_key, 0)
        returned_at = self._returned_at_by_key.get(limit_key)
        if returned_at is not None:
            limit = limits.ramped_limit(limit, now - returned_at)
        return limit - self._used_by_key[limit_key]

    def acquire(
        self, now: float, limit_key: str, holder: str, not_after: float
    ) -> bool:
        """Use a permit until ``release``; False if none is free."""
        if self.free(now, limit_key) <= 0:
            return False
        self._used_by_key[limit_key] += 1
        self._keys_by_holder.setdefault(holder, []).append(limit_key)
        return True

    def release(self, now: float, holder: str) -> list[effects.Effect]:
        """Free all permits of a holder."""
        for limit_key in self._keys_by_holder.pop(holder, ()):
            self._used_by_key[limit_key] -= 1
        return []

    def want(
        self,
        now: float,
        kind: str,
        name: str,
        count: int,
        rank: float,
        waited_s: float,
    ) -> list[effects.Effect]:
        """Do nothing: no other host has permits to lend."""
        return []
