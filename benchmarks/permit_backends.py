"""Permits for a virtual site: divided, shared without delay, or real."""

import collections
import math
from typing import Any

import simple_dispatcher

from azurevane._internal.policy import limits
from azurevane._internal.tasks import dispatcher as dispatcher_module
from azurevane._internal.tasks import permit_keeper
from azurevane._internal.tasks import permits as permits_module


class FixedBackend:
    """Each limit is divided for good; nothing is lent."""

    dispatcher: Any = dispatcher_module.Dispatcher

    def start(self, site: Any) -> None:
        for host in site.hosts:
            permits = _FixedPermits(host.number, len(site.hosts))
            host.start(permits, self.dispatcher)

    def configure(self, now: float, host: Any, state: Any) -> list[Any]:
        host.permits.configure(now, state)
        return []


class SimpleBackend(FixedBackend):
    """Baseline: divided for good, first come, first served."""

    dispatcher = simple_dispatcher.SimpleDispatcher


class _FixedPermits(permits_module.LocalPermits):
    def __init__(self, number: int, hosts: int) -> None:
        super().__init__()
        self._number = number
        self._hosts = hosts

    def configure(self, now: float, state: Any) -> None:
        super().configure(now, state)
        for place, (key, limit) in enumerate(self._limit_by_key.items()):
            whole, rest = divmod(limit, self._hosts)
            extra = (self._number - place) % self._hosts < rest
            self._limit_by_key[key] = whole + extra


class KeeperBackend:
    """The real permit keepers, which exchange messages over the network."""

    def start(self, site: Any) -> None:
        for host in site.hosts:
            host.start(permit_keeper.PermitKeeper(host.name, host.name))

    def configure(self, now: float, host: Any, state: Any) -> list[Any]:
        fresh = host.permits.set_fresh(now, math.inf)
        return fresh + host.permits.configure(now, state)


class SharedBackend:
    """Ideal: all hosts draw on one set of permits without any delay.

    A freed permit goes to the most deserving waiter of all hosts.
    """

    def start(self, site: Any) -> None:
        self.site = site
        self.limit_by_key: dict[str, int] = {}
        self.used: collections.Counter[str] = collections.Counter()
        self.keys_by_holder: dict[str, list[str]] = {}
        self.kept: dict[str, list[int]] = {}
        self.wants: dict[tuple[str, str], dict[int, tuple[float, float]]] = (
            collections.defaultdict(dict)
        )
        self.wish_by_key: dict[str, tuple[str, str]] = {}
        self.spares: list[str] = []
        self.returned_at: dict[str, float] = {}
        for host in site.hosts:
            host.start(_SharedPermits(self, host))

    def configure(self, now: float, host: Any, state: Any) -> list[Any]:
        manifest = state.manifest
        for team in manifest.teams:
            key = permits_module.team_limit_key(team.name)
            self.limit_by_key[key] = team.limit
            self.wish_by_key[key] = "team", team.name
        for runner in manifest.runners:
            key = permits_module.runner_limit_key(runner.name)
            self.limit_by_key[key] = runner.slots
            self.wish_by_key[key] = "pool", runner.pool
        self.spares = [pool.name for pool in manifest.pools if pool.spare]
        away = set(state.zones_out)
        for runner in manifest.runners:
            key = permits_module.runner_limit_key(runner.name)
            if runner.zone in away:
                self.returned_at[key] = math.inf
            elif self.returned_at.get(key) == math.inf:
                self.returned_at[key] = self.site.now
        return []

    def free(self, key: str, number: int) -> int:
        kept = self.kept.get(key, ())
        others = len(kept) - kept.count(number) if kept else 0
        limit = self.limit_by_key.get(key, 0)
        back_at = self.returned_at.get(key)
        if back_at is not None:
            limit = limits.ramped_limit(limit, self.site.now - back_at)
        return limit - self.used[key] - others

    def offer(self, key: str, number: int) -> None:
        """Keep a freed permit for a more deserving waiter elsewhere."""
        wish = self.wish_by_key[key]
        waiting = self.wants.get(wish)
        if not waiting and wish[1] in self.spares:
            wish = min(
                (w for w, by in self.wants.items() if by and w[0] == "pool"),
                key=lambda w: min(self.wants[w].values()),
                default=wish,
            )
            waiting = self.wants.get(wish)
        if not waiting:
            return
        best = min(waiting, key=lambda n: waiting[n])
        if best != number:
            self.kept.setdefault(key, []).append(best)
            self.site.after(0.0, self._gained, key, best, wish)

    def _gained(self, key: str, number: int, wish: tuple[str, str]) -> None:
        host = self.site.hosts[number]
        self.site.call(
            host, lambda now: host.dispatcher.handle_permits_gained(now, *wish)
        )
        if number in self.kept.get(key, ()):
            # It had nothing that could run; the permit is offered again.
            self.kept[key].remove(number)
            self.wants[wish].pop(number, None)
            self.offer(key, -1)


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
        kept = shared.kept.get(limit_key)
        if kept and self._number in kept:
            kept.remove(self._number)
        shared.used[limit_key] += 1
        shared.keys_by_holder.setdefault(holder, []).append(limit_key)
        return True

    def release(self, now, holder):
        for key in self._shared.keys_by_holder.pop(holder, ()):
            self._shared.used[key] -= 1
            self._shared.offer(key, self._number)
        return []

    def want(self, now, kind, name, count, rank, waited_s):
        waiting = self._shared.wants[kind, name]
        if count:
            waiting[self._number] = (rank, -waited_s)
        else:
            waiting.pop(self._number, None)
        return []
