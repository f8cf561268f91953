"""Plans moves of hosts between pools as the pools' demand changes."""

import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import scheduling_settings
from azurevane._internal.policy import pool_sizing
from azurevane._internal.scheduler import demand
from azurevane._internal.scheduler import host_commands
from azurevane._internal.scheduler import host_table
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# A host that was moved takes tasks this long after the move: its runner
# registers, and the leader reaches it for the first time.
REGISTRATION_S = 0.3


class MoveManager:
    """Chooses the hosts that move now and those to drain for a later move.

    Args:
        move_s: how long the move of a host takes.
        scheduling: optional decisions that are in use.

    Attributes:
        draining: names of hosts that drain for a later move.
    """

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        table: host_table.HostTable,
        move_s: float,
        scheduling: scheduling_settings.SchedulingSettings,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._table = table
        self._demand = demand.DemandMeter(
            scheduler_state,
            move_s + REGISTRATION_S,
            forecast=scheduling.forecast,
        )
        self._sizes_by_pool: dict[str, tuple[int, int, int]] = {}
        self.draining: frozenset[str] = frozenset()
        self._rejected_moves: set[tuple[str, str]] = set()

    def plan_commands(
        self, due_host_names: set[str], now: float
    ) -> list[host_commands.HostCommand]:
        """Return the moves to send now, and drain hosts for later moves.

        Args:
            due_host_names: hosts that are due for maintenance.
        """
        config = self._scheduler_state.config
        if config is None:
            return []
        standby_pools = [
            service.name
            for service in config.service_by_name.values()
            if service.standby
        ]
        if not standby_pools:
            return []
        hosts = list(self._table.host_by_name.values())
        demands = self._demand.measure(
            hosts, self._table.incoming_by_pool(now), now
        )
        self._log_pool_sizes(demands)
        plan = pool_sizing.plan_moves(
            demands,
            self._idle_hosts(due_host_names, now),
            self._busy_hosts(now),
            self._standby_hosts(due_host_names, now),
            standby_pools[0],
        )
        self.draining = plan.drain
        for name in plan.drain:
            self._table.start_drain(self._table.host_by_name[name])
        commands = []
        for move in plan.moves:
            if (move.host, move.target) in self._rejected_moves:
                continue
            host = self._table.host_by_name[move.host]
            self._table.start_drain(host)
            commands.append(
                host_commands.HostCommand(host, move.reason, pool=move.target)
            )
        return commands

    def record_rejected(self, host_name: str, pool: str) -> None:
        """Record that the platform rejected a move; it isn't repeated."""
        self._rejected_moves.add((host_name, pool))

    def _log_pool_sizes(self, demands: list[pool_sizing.PoolDemand]) -> None:
        for pool in demands:
            wanted = pool_sizing.wanted_host_count(pool)
            sizes = wanted, pool.ready_hosts, pool.incoming_hosts
            if self._sizes_by_pool.get(pool.name) == sizes:
                continue
            self._sizes_by_pool[pool.name] = sizes
            catalogue.emit(
                logger,
                events.PoolSized(
                    pool.name,
                    wanted,
                    pool.ready_hosts,
                    pool.incoming_hosts,
                    len(pool.rooms),
                    round(pool.running.cpu),
                    round(pool.waiting.cpu),
                    round(pool.arriving.cpu),
                    round((pool.running + pool.waiting).memory),
                    round(pool.arriving.memory),
                ),
            )

    def _idle_hosts(
        self, due_host_names: set[str], now: float
    ) -> list[pool_sizing.IdleHost]:
        idle = []
        for host in self._table.host_by_name.values():
            if not self._table.may_command(host, now):
                continue
            idle_since = self._table.idle_since.get(host.runner_id)
            draining = host.name in self.draining
            if idle_since is None:
                continue
            if (
                host.runner_id in self._scheduler_state.draining_runners
                and not draining
            ):
                continue
            idle.append(
                pool_sizing.IdleHost(
                    host.name,
                    host.pool,
                    now - idle_since,
                    host.name in due_host_names,
                    draining,
                )
            )
        return idle

    def _busy_hosts(self, now: float) -> list[pool_sizing.BusyHost]:
        """Return hosts whose tasks all end by themselves once they drain."""
        busy = []
        for host in self._table.host_by_name.values():
            runner = self._table.runner_on(host)
            if runner is None or not self._table.may_command(host, now):
                continue
            draining = host.name in self.draining
            if (
                runner.id in self._scheduler_state.draining_runners
                and not draining
            ):
                continue
            tasks = list(runner.run_by_task.values())
            if not tasks or any(run.step.long_running for run in tasks):
                continue
            busy.append(
                pool_sizing.BusyHost(
                    host.name, host.pool, len(tasks), draining
                )
            )
        return busy

    def _standby_hosts(
        self, due_host_names: set[str], now: float
    ) -> list[str]:
        hosts = [
            host
            for host in self._table.host_by_name.values()
            if self._table.is_standby_pool(host.pool)
            and self._table.may_command(host, now)
            and host.zone not in self._scheduler_state.zones_out
        ]
        labels = self._demand.wanted_labels()
        hosts.sort(
            key=lambda host: (
                labels.isdisjoint(host.labels),
                host.name in due_host_names,
                host.name,
            )
        )
        return [host.name for host in hosts]
