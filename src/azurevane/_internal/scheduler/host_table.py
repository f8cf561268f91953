"""What the leader knows of the fleet's hosts."""

import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import site
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# A host that was ordered counts as coming until its runner registers, at
# most this much longer than the order takes.
REGISTRATION_TIMEOUT_S = 3.0


class HostTable:
    """Hosts by the platform's list, and what was ordered of them since.

    Times are steady seconds.

    Attributes:
        host_by_name: the list, changed by orders that were taken.
        idle_since: since when each idle runner has had no tasks.
        coming_by_host: hosts on their way: pool, and until when they
            count as such.
        down_until: hosts in maintenance, and when it ends at the soonest.
        pause_until: hosts that refused an order and are left alone.
        ordering: hosts with an order on its way.
    """

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        runner_events: runner_events.RunnerEventHandler,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._runner_events = runner_events
        self.host_by_name: dict[str, site.Host] = {}
        self.idle_since: dict[str, float] = {}
        self.coming_by_host: dict[str, tuple[str, float]] = {}
        self.maintenance_until: dict[str, float] = {}
        self.paused_until: dict[str, float] = {}
        self.commanded_hosts: set[str] = set()
        self._unregistered_since: dict[str, float] = {}

    def update_hosts(self, hosts: tuple[site.Host, ...], now: float) -> None:
        """Take in the platform's list."""
        for host in hosts:
            self._log_host_change(host)
            self._handle_runner_replaced(host, now)
        self.host_by_name = {host.name: host for host in hosts}
        present = {host.runner_id for host in hosts if host.runner_id}
        for host in hosts:
            coming = self.coming_by_host.get(host.name)
            registered = host.runner_id in self._scheduler_state.runner_by_id
            if coming and (now > coming[1] or (host.up and registered)):
                del self.coming_by_host[host.name]
            if host.state is site.HostState.IN_MAINTENANCE:
                self.maintenance_until.setdefault(host.name, now)
            elif host.up and now > self.maintenance_until.get(host.name, 0.0):
                self.maintenance_until.pop(host.name, None)
        self._scheduler_state.draining_runners &= present | set(
            self._scheduler_state.runner_by_id
        )

    def _log_host_change(self, host: site.Host) -> None:
        known = self.host_by_name.get(host.name)
        if known is not None and known.state is host.state:
            return
        catalogue.emit(
            logger,
            events.HostChanged(
                host.name, host.pool, host.state.value, host.runner_id
            ),
        )

    def _handle_runner_replaced(self, host: site.Host, now: float) -> None:
        """Give up the runner of a host that is down or has another one.

        A runner is one life of its host, and lists are read one after the
        other; so this needs no lease to lapse.
        """
        known = self.host_by_name.get(host.name)
        if known is None or not known.runner_id:
            return
        if host.up and host.runner_id == known.runner_id:
            return
        if known.runner_id in self._scheduler_state.runner_by_id:
            reason = f"its host is {host.state.value}"
            self._runner_events.handle_runner_gone(
                known.runner_id, reason, now
            )

    def update_idle_runners(self, now: float) -> None:
        """Note which runners have no tasks now."""
        for runner in self._scheduler_state.runner_by_id.values():
            if runner.run_by_task or runner.need_by_orphan:
                self.idle_since.pop(runner.id, None)
            else:
                self.idle_since.setdefault(runner.id, now)
        for runner_id in list(self.idle_since):
            if runner_id not in self._scheduler_state.runner_by_id:
                del self.idle_since[runner_id]

    def runner_on(self, host: site.Host) -> runner_state.RunnerState | None:
        """Return the runner that lives on a host, if it is registered."""
        return self._scheduler_state.runner_by_id.get(host.runner_id)

    def is_standby_pool(self, pool: str) -> bool:
        """Whether the hosts of a pool are off."""
        config = self._scheduler_state.config
        service = config.service_by_name.get(pool) if config else None
        return service is not None and service.standby

    def may_command(self, host: site.Host, now: float) -> bool:
        """Whether a host may be ordered to move or be maintained."""
        return (
            host.up
            and host.name not in self.commanded_hosts
            and host.name not in self.coming_by_host
            and now >= self.paused_until.get(host.name, 0.0)
        )

    def start_drain(self, host: site.Host) -> None:
        """Place no more tasks on a host."""
        if host.runner_id:
            self._scheduler_state.draining_runners.add(host.runner_id)

    def end_drain(self, host: site.Host) -> None:
        """Let a host take tasks again."""
        self._scheduler_state.draining_runners.discard(host.runner_id)

    def coming_by_pool(self, now: float) -> dict[str, int]:
        """Return how many hosts of each pool will soon take tasks."""
        count_by_pool: dict[str, int] = {}
        for name, host in self.host_by_name.items():
            coming = self.coming_by_host.get(name)
            if coming is None and not self._registering(host, now):
                continue
            pool = coming[0] if coming else host.pool
            count_by_pool[pool] = count_by_pool.get(pool, 0) + 1
        return count_by_pool

    def unavailable_by_pool(self) -> dict[str, int]:
        """Return how many hosts of each pool take no tasks."""
        away: dict[str, int] = {}
        for host in self.host_by_name.values():
            vacating = host.runner_id in self._scheduler_state.draining_runners
            if vacating or host.name in self.maintenance_until or not host.up:
                away[host.pool] = away.get(host.pool, 0) + 1
        return away

    def pool_load(self, pool: str) -> tuple[int, float]:
        """Return a pool's registered hosts and the share that is taken."""
        hosts, total, free = 0, 0, 0
        for runner in self._scheduler_state.runner_by_id.values():
            if runner.entry.service == pool and runner.listed:
                hosts += 1
                total += runner.entry.capacity.cpu
                free += runner.free_capacity().cpu
        return hosts, 1.0 - free / total if total else 0.0

    def _registering(self, host: site.Host, now: float) -> bool:
        """Whether a host's runner will soon take tasks."""
        if not host.up or host.runner_id in self._scheduler_state.runner_by_id:
            self._unregistered_since.pop(host.name, None)
            return False
        since = self._unregistered_since.setdefault(host.name, now)
        return now - since < REGISTRATION_TIMEOUT_S
