"""Availability budgets: how many hosts may be unavailable at once."""

import collections
from collections.abc import Iterable, Mapping
import dataclasses

from azurevane._internal.models import manifest as manifest_models


@dataclasses.dataclass(frozen=True, slots=True)
class StopDecision:
    """Whether a host may be stopped now.

    Attributes:
        blocking_budgets: a description of each budget that the stop would
            exceed, or of the reason for which the host is unavailable
            already.
        forced: whether an operator overrode those budgets.
    """

    allowed: bool
    blocking_budgets: tuple[str, ...] = ()
    forced: bool = False


class BudgetLedger:
    """Counts unavailable hosts against the budgets of their pools.

    The budget of a pool limits its unavailable hosts in total, per rack and
    per zone. Unplanned losses are counted too, but never refused.
    """

    def __init__(
        self,
        hosts: Iterable[manifest_models.Host],
        budget_by_pool: Mapping[str, manifest_models.Budget],
    ) -> None:
        self._host_by_name = {host.name: host for host in hosts}
        self._budget_by_pool = budget_by_pool
        self._unavailable_by_key: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self.reason_by_host: dict[str, str] = {}

    def mark_unavailable(self, host: str, reason: str) -> None:
        """Count a host as unavailable; has no effect if it is already."""
        if host in self.reason_by_host or host not in self._host_by_name:
            return
        self.reason_by_host[host] = reason
        for key, _ in self._limits_of(self._host_by_name[host]):
            self._unavailable_by_key[key] += 1

    def mark_available(self, host: str) -> None:
        """Count a host as available again."""
        if self.reason_by_host.pop(host, None) is None:
            return
        for key, _ in self._limits_of(self._host_by_name[host]):
            self._unavailable_by_key[key] -= 1

    def decide_stop(self, host: str, forced: bool = False) -> StopDecision:
        """Decide whether a planned stop of a host may begin now."""
        if host in self.reason_by_host:
            return StopDecision(False, (f"already unavailable: {host}",))
        exceeded = tuple(
            f"{key[0]} {key[-1]} of pool {key[1]}:"
            f" {self._unavailable_by_key[key]} of {limit} unavailable"
            for key, limit in self._limits_of(self._host_by_name[host])
            if self._unavailable_by_key[key] >= limit
        )
        if exceeded and not forced:
            return StopDecision(False, exceeded)
        return StopDecision(True, exceeded, bool(exceeded))

    def begin_stop(self, host: str, reason: str, forced: bool = False) -> None:
        """Begin a planned stop, which must be allowed."""
        decision = self.decide_stop(host, forced)
        assert decision.allowed, (
            f"budget exceeded: {decision.blocking_budgets}"
        )
        self.mark_unavailable(host, reason)

    def may_stop(self, host: str) -> bool:
        """Whether a planned stop may begin; faster than ``decide_stop``."""
        return host not in self.reason_by_host and all(
            self._unavailable_by_key[key] < limit
            for key, limit in self._limits_of(self._host_by_name[host])
        )

    def exceeded_budgets(self) -> list[tuple[str, ...]]:
        """Return the keys of budgets exceeded by losses or forced stops."""
        limit_by_key = {
            key: limit
            for host in self.reason_by_host
            for key, limit in self._limits_of(self._host_by_name[host])
        }
        return [
            key
            for key, limit in limit_by_key.items()
            if self._unavailable_by_key[key] > limit
        ]

    def _limits_of(
        self, host: manifest_models.Host
    ) -> tuple[tuple[tuple[str, ...], int], ...]:
        budget = self._budget_by_pool[host.pool]
        return (
            (("pool", host.pool, host.pool), budget.pool),
            (("rack", host.pool, host.rack), budget.rack),
            (("zone", host.pool, host.zone), budget.zone),
        )
