"""Hosts as the platform lists them, updated by commands sent since."""

from collections.abc import Collection
import dataclasses
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import site
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# A commanded host counts as incoming until its runner registers, for at most
# this much longer than the move or maintenance takes.
REGISTRATION_TIMEOUT_S = 3.0


class HostTable:
    """State of the hosts: the platform's list and the commands sent since.

    Times are monotonic seconds.

    Attributes:
        host_by_name: listed hosts, updated by commands that were accepted.
        idle_since: since when each idle runner, by its id, has had no tasks.
        incoming_by_host: hosts that join a pool after a move or maintenance:
            the pool, and until when they count as incoming.
        maintenance_until: hosts in maintenance, and its earliest end.
        paused_until: until when hosts get no command, after one that wasn't
            accepted or that a previous leader sent.
        unsettled_until: until when hosts get no tasks, after a command
            without a response that may still take effect.
        commanded_hosts: hosts with a command that is planned or in flight,
            and the pool that each joins; empty for maintenance.
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
        self.incoming_by_host: dict[str, tuple[str, float]] = {}
        self.maintenance_until: dict[str, float] = {}
        self.paused_until: dict[str, float] = {}
        self.unsettled_until: dict[str, float] = {}
        self.commanded_hosts: dict[str, str] = {}
        self._unregistered_since: dict[str, float] = {}
        # When a command for a host was accepted.
        self._commanded_at_by_host: dict[str, float] = {}

    def record_moving(self, host: site.Host, pool: str, now: float) -> None:
        """Record that a host has left its pool, which older lists don't show.

        Args:
            pool: pool that the host joins.
        """
        self._commanded_at_by_host[host.name] = now
        self.host_by_name[host.name] = dataclasses.replace(
            host, pool=pool, state=site.HostState.MOVING, runner_id=""
        )

    def update_hosts(
        self, hosts: tuple[site.Host, ...], *, asked_at: float, now: float
    ) -> None:
        """Update the table with the platform's list.

        Args:
            asked_at: when the list was requested.
        """
        hosts = tuple(self._newest_state(host, asked_at) for host in hosts)
        for host in hosts:
            self._log_host_change(host)
        self._handle_lost_runners(hosts, now)
        self._handle_unlisted_runners(hosts, asked_at, now)
        self.host_by_name = {host.name: host for host in hosts}
        for host in hosts:
            incoming = self.incoming_by_host.get(host.name)
            registered = host.runner_id in self._scheduler_state.runner_by_id
            if incoming and (now > incoming[1] or (host.up and registered)):
                del self.incoming_by_host[host.name]
        self._update_maintenance(asked_at, now)

    def _update_maintenance(self, asked_at: float, now: float) -> None:
        """Update which hosts are in maintenance.

        A host that is down after it, or isn't listed any more, isn't.
        """
        undecided = {
            host.name
            for host in self.host_by_name.values()
            if host.state in (site.HostState.MOVING, site.HostState.UNKNOWN)
        }
        for host in self.host_by_name.values():
            if host.state is site.HostState.IN_MAINTENANCE:
                self.maintenance_until.setdefault(host.name, now)
                undecided.add(host.name)
        for name, until in list(self.maintenance_until.items()):
            if name not in undecided and asked_at > until:
                del self.maintenance_until[name]

    def _newest_state(self, host: site.Host, asked_at: float) -> site.Host:
        """Return a listed host with what is known better than by the list."""
        known = self.host_by_name.get(host.name)
        if known is None:
            return host
        if self._commanded_at_by_host.get(host.name, asked_at) > asked_at:
            return known
        if host.state is site.HostState.UNKNOWN:
            return dataclasses.replace(known, state=host.state)
        return host

    def _log_host_change(self, host: site.Host) -> None:
        previous = self.host_by_name.get(host.name)
        if previous is not None and previous.state is host.state:
            return
        catalogue.emit(
            logger,
            events.HostChanged(
                host.name, host.pool, host.state.value, host.runner_id
            ),
        )

    def _handle_lost_runners(
        self, hosts: tuple[site.Host, ...], now: float
    ) -> None:
        """Give up the runners of hosts that are down or have another one.

        A runner is one incarnation of its host, and the lists are read one
        after the other, so the runner has certainly ended and its lease
        needn't expire first.
        """
        reason_by_crashed: dict[str, str] = {}
        for host in hosts:
            previous = self.host_by_name.get(host.name)
            if previous is None or not previous.runner_id:
                continue
            if host.up and host.runner_id == previous.runner_id:
                continue
            if host.state is site.HostState.UNKNOWN:
                continue
            reason = f"its host is {host.state.value}"
            if host.up or host.state is site.HostState.DOWN:
                reason_by_crashed[previous.runner_id] = reason
            else:
                self._runner_events.handle_runner_gone(
                    previous.runner_id, reason, now
                )
        self._runner_events.handle_runners_crashed(reason_by_crashed, now)

    def _handle_unlisted_runners(
        self, hosts: tuple[site.Host, ...], asked_at: float, now: float
    ) -> None:
        """Give up runners without a process that no host has.

        Their hosts may never have been listed with them: the leader is new,
        or the runner crashed before it was listed.
        """
        listed = {host.runner_id for host in hosts}
        self._runner_events.handle_runners_crashed(
            {
                runner.id: "no host has it"
                for runner in self._scheduler_state.runner_by_id.values()
                if runner.id not in listed
                and runner.was_reset_before(asked_at)
            },
            now,
        )

    def update_idle_runners(self, now: float) -> None:
        """Update since when runners have had no tasks."""
        for runner in self._scheduler_state.runner_by_id.values():
            if self._scheduler_state.maybe_has_runs(runner):
                self.idle_since.pop(runner.id, None)
            else:
                self.idle_since.setdefault(runner.id, now)
        for runner_id in list(self.idle_since):
            if runner_id not in self._scheduler_state.runner_by_id:
                del self.idle_since[runner_id]

    def runner_on(self, host: site.Host) -> runner_state.RunnerState | None:
        """Return the runner on a host, if it is registered."""
        return self._scheduler_state.runner_by_id.get(host.runner_id)

    def is_standby_pool(self, pool: str) -> bool:
        """Whether the hosts of a pool are on standby and run no tasks."""
        config = self._scheduler_state.config
        service = config.service_by_name.get(pool) if config else None
        return service is not None and service.standby

    def may_command(self, host: site.Host, now: float) -> bool:
        """Whether a host may get a move or maintenance command."""
        return (
            host.up
            and host.name not in self.commanded_hosts
            and host.name not in self.incoming_by_host
            and now >= self.paused_until.get(host.name, 0.0)
        )

    def start_drain(self, host: site.Host) -> None:
        """Place no more tasks on a host's runner."""
        if host.runner_id:
            self._scheduler_state.draining_runners.add(host.runner_id)

    def end_other_drains(self, leaving: Collection[str], now: float) -> None:
        """Allow tasks on all runners but those of hosts that are to leave.

        Args:
            leaving: hosts that drain for a command that is still planned.
        """
        for name, until in list(self.unsettled_until.items()):
            if now >= until:
                del self.unsettled_until[name]
        needed = {*leaving, *self.commanded_hosts, *self.unsettled_until}
        self._scheduler_state.draining_runners.intersection_update(
            host.runner_id
            for host in map(self.host_by_name.get, needed)
            if host is not None
        )

    def incoming_by_pool(self, now: float) -> dict[str, int]:
        """Return how many hosts of each pool will soon accept tasks."""
        count_by_pool: dict[str, int] = {}
        for name, host in self.host_by_name.items():
            incoming = self.incoming_by_host.get(name)
            pool = incoming[0] if incoming else self.commanded_hosts.get(name)
            if not pool and not self._awaits_registration(host, now):
                continue
            pool = pool or host.pool
            count_by_pool[pool] = count_by_pool.get(pool, 0) + 1
        return count_by_pool

    def unavailable_by_pool(self) -> dict[str, int]:
        """Return how many hosts of each pool accept no tasks."""
        unavailable: dict[str, int] = {}
        for host in self.host_by_name.values():
            draining = host.runner_id in self._scheduler_state.draining_runners
            if draining or host.name in self.maintenance_until or not host.up:
                unavailable[host.pool] = unavailable.get(host.pool, 0) + 1
        return unavailable

    def pool_load(self, pool: str) -> tuple[int, float]:
        """Return a pool's registered hosts and the share of CPU in use."""
        hosts, total, free = 0, 0, 0
        for runner in self._scheduler_state.runner_by_id.values():
            if runner.entry.service == pool and runner.listed:
                hosts += 1
                total += runner.entry.capacity.cpu
                free += runner.free_capacity().cpu
        return hosts, 1.0 - free / total if total else 0.0

    def _awaits_registration(self, host: site.Host, now: float) -> bool:
        """Whether a host's runner may still register in time."""
        if not host.up or host.runner_id in self._scheduler_state.runner_by_id:
            self._unregistered_since.pop(host.name, None)
            return False
        unregistered_since = self._unregistered_since.setdefault(
            host.name, now
        )
        return now - unregistered_since < REGISTRATION_TIMEOUT_S
