"""Permit backends of a virtual site: fixed, shared and real."""

import collections
import math
from typing import Any

import simple_dispatcher

from azurevane._internal.policy import limits
from azurevane._internal.tasks import dispatcher as dispatcher_module
from azurevane._internal.tasks import permit_keeper
from azurevane._internal.tasks import permits as permits_module


class FixedBackend:
    """Each limit is divided permanently; nothing is lent."""

    dispatcher: Any = dispatcher_module.Dispatcher

    def start(self, site: Any) -> None:
        for host in site.hosts:
            permits = _FixedPermits(host.number, len(site.hosts))
            host.start(permits, self.dispatcher)

    def configure(self, now: float, host: Any, state: Any) -> list[Any]:
        host.permits.configure(now, state)
        return []


class SimpleBackend(FixedBackend):
    """Baseline: fixed division, first come, first served."""

    dispatcher = simple_dispatcher.SimpleDispatcher


class _FixedPermits(permits_module.LocalPermits):
    def __init__(self, number: int, hosts: int) -> None:
        super().__init__()
        self._number = number
        self._hosts = hosts

    def configure(self, now: float, state: Any) -> None:
        super().configure(now, state)
        for index, (key, limit) in enumerate(self._limit_by_key.items()):
            whole, rest = divmod(limit, self._hosts)
            extra = (self._number - index) % self._hosts < rest
            self._limit_by_key[key] = whole + extra


class KeeperBackend:
    """Real permit keepers, which exchange messages over the network."""

    def start(self, site: Any) -> None:
        for host in site.hosts:
            host.start(permit_keeper.PermitKeeper(host.name, host.name))

    def configure(self, now: float, host: Any, state: Any) -> list[Any]:
        fresh = host.permits.set_fresh(now, math.inf)
        return fresh + host.permits.configure(now, state)


class SharedBackend:
    """Ideal: all hosts share one set of permits without delay.

    A freed permit goes to the highest-ranked waiter of all hosts.
    """

    def start(self, site: Any) -> None:
        self.site = site
        self.limit_by_key: dict[str, int] = {}
        self.used: collections.Counter[str] = collections.Counter()
        self.keys_by_holder: dict[str, list[str]] = {}
        self.reserved: dict[str, list[int]] = {}
        self.waiters_by_want: dict[
            tuple[str, str], dict[int, tuple[float, float]]
        ] = collections.defaultdict(dict)
        self.want_by_key: dict[str, tuple[str, str]] = {}
        self.spare_pools: list[str] = []
        self.returned_at: dict[str, float] = {}
        for host in site.hosts:
            host.start(_SharedPermits(self, host))

    def configure(self, now: float, host: Any, state: Any) -> list[Any]:
        manifest = state.manifest
        for team in manifest.teams:
            key = permits_module.team_limit_key(team.name)
            self.limit_by_key[key] = team.limit
            self.want_by_key[key] = "team", team.name
        for runner in manifest.runners:
            key = permits_module.runner_limit_key(runner.name)
            self.limit_by_key[key] = runner.slots
            self.want_by_key[key] = "pool", runner.pool
        self.spare_pools = [pool.name for pool in manifest.pools if pool.spare]
        zones_out = set(state.zones_out)
        for runner in manifest.runners:
            key = permits_module.runner_limit_key(runner.name)
            if runner.zone in zones_out:
                self.returned_at[key] = math.inf
            elif self.returned_at.get(key) == math.inf:
                self.returned_at[key] = self.site.now
        return []

    def free(self, key: str, number: int) -> int:
        reserved = self.reserved.get(key, ())
        others = len(reserved) - reserved.count(number) if reserved else 0
        limit = self.limit_by_key.get(key, 0)
        returned_at = self.returned_at.get(key)
        if returned_at is not None:
            limit = limits.ramped_limit(limit, self.site.now - returned_at)
        return limit - self.used[key] - others

    def reserve_for_waiter(self, key: str, number: int) -> None:
        """Reserve a freed permit for a higher-ranked waiter elsewhere."""
        want = self.want_by_key[key]
        waiting = self.waiters_by_want.get(want)
        if not waiting and want[1] in self.spare_pools:
            want = min(
                (
                    w
                    for w, by in self.waiters_by_want.items()
                    if by and w[0] == "pool"
                ),
                key=lambda w: min(self.waiters_by_want[w].values()),
                default=want,
            )
            waiting = self.waiters_by_want.get(want)
        if not waiting:
            return
        best = min(waiting, key=lambda n: waiting[n])
        if best != number:
            self.reserved.setdefault(key, []).append(best)
            self.site.schedule_after(0.0, self._notify_host, key, best, want)

    def _notify_host(
        self, key: str, number: int, want: tuple[str, str]
    ) -> None:
        host = self.site.hosts[number]
        self.site.run_at_host(
            host, lambda now: host.dispatcher.handle_permits_gained(now, *want)
        )
        if number in self.reserved.get(key, ()):
            # The host had no request to run, so offer the permit again.
            self.reserved[key].remove(number)
            self.waiters_by_want[want].pop(number, None)
            self.reserve_for_waiter(key, -1)


class _SharedPermits:
    def __init__(self, shared: SharedBackend, host: Any) -> None:
        self._shared = shared
        self._number = host.number

    def free(self, now, limit_key):
        return self._shared.free(limit_key, self._number)

    def acquire(self, now, limit_key, holder, not_after):
        shared = self._shared
        if shared.free(limit_key, self._number) <= 0:
            return False
        reserved = shared.reserved.get(limit_key)
        if reserved and self._number in reserved:
            reserved.remove(self._number)
        shared.used[limit_key] += 1
        shared.keys_by_holder.setdefault(holder, []).append(limit_key)
        return True

    def release(self, now, holder):
        for key in self._shared.keys_by_holder.pop(holder, ()):
            self._shared.used[key] -= 1
            self._shared.reserve_for_waiter(key, self._number)
        return []

    def want(self, now, kind, name, count, rank, waited_s):
        waiting = self._shared.waiters_by_want[kind, name]
        if count:
            waiting[self._number] = (rank, -waited_s)
        else:
            waiting.pop(self._number, None)
        return []
