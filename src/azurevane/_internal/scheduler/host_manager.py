"""Has hosts moved and maintained while this host leads."""

import dataclasses
import logging
from typing import Protocol

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import site
from azurevane._internal.platform import host_calls
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import host_commands
from azurevane._internal.scheduler import host_table
from azurevane._internal.scheduler import move_manager
from azurevane._internal.scheduler import recent_commands
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.scheduler import wave_manager

logger = logging.getLogger(__name__)

# How often pools and waves are looked at, and how often the platform's
# list of hosts is read.
HOST_STEP_INTERVAL_S = 0.25
HOST_LIST_INTERVAL_S = 0.5
# A host that refused an order is left alone for a while.
REFUSED_COMMAND_PAUSE_S = 1.0


class Leader(wave_manager.Leader, Protocol):
    """What the keeper needs of the leader."""

    scheduler_state: state_module.SchedulerState
    runner_events: runner_events.RunnerEventHandler

    def now(self) -> float:
        """Return the steady time in seconds."""

    def leadership_confirmed_at(self) -> float:
        """Return when a stored write last proved the leadership."""

    def may_send_commands(self) -> bool:
        """Whether this host certainly leads."""

    def request_planning(self) -> None:
        """Plan again soon."""

    def confirm_leadership(self) -> "defer.Deferred[None]":
        """Store something, which proves that this host leads."""


class HostManager:
    """Reads the list of hosts and sends orders; times are steady seconds.

    Args:
        known_commands: hosts that are ordered, for later leaders.
    """

    def __init__(
        self,
        leader: Leader,
        calls: host_calls.HostCalls,
        *,
        move_s: float,
        maintenance_s: float,
        known_commands: recent_commands.RecentCommands,
    ) -> None:
        self._leader = leader
        self._calls = calls
        self._move_s = move_s
        self._maintenance_s = maintenance_s
        self.recent_commands = known_commands
        self._listed_at = float("-inf")
        self._table = host_table.HostTable(
            leader.scheduler_state, leader.runner_events
        )
        store_offset_s = leader.store_now() - leader.now()
        for (
            name,
            available_at,
        ) in known_commands.available_at_by_host().items():
            self._table.paused_until[name] = available_at - store_offset_s
        self.waves = wave_manager.WaveManager(
            leader, leader.scheduler_state, self._table
        )
        self._moves = move_manager.MoveManager(
            leader.scheduler_state, self._table
        )

    async def run_step(self) -> None:
        """Read the list of hosts if it is old, then order what is due."""
        if self._leader.now() - self._listed_at >= HOST_LIST_INTERVAL_S:
            try:
                hosts = await self._calls.list_hosts()
            except exceptions.CallFailed as failure:
                logger.info("List of hosts: %s", failure)
                return
            self._listed_at = self._leader.now()
            self._table.update_hosts(hosts, self._listed_at)
        if (
            not self._leader.may_send_commands()
            or not self._table.host_by_name
        ):
            return
        now = self._leader.now()
        self._table.update_idle_runners(now)
        commands = self._plan(now)
        self._leader.request_planning()
        if not commands:
            return
        self.recent_commands.record_commands(
            (command.host.name for command in commands),
            self._leader.store_now(),
        )
        try:
            await self._leader.confirm_leadership()
        except Exception:
            self._release_hosts(commands)
            raise
        for command in commands:
            background.spawn(self._send_command(command), "order for a host")

    def _plan(self, now: float) -> list[host_commands.HostCommand]:
        commands = self.waves.plan_commands(now)
        # A host on standby may be due and wanted at once.
        self._table.commanded_hosts.update(
            command.host.name for command in commands
        )
        moves = self._moves.plan_commands(self.waves.due_host_names(), now)
        self._table.commanded_hosts.update(
            command.host.name for command in moves
        )
        return commands + moves

    def _release_hosts(
        self, commands: list[host_commands.HostCommand]
    ) -> None:
        for command in commands:
            self._table.commanded_hosts.discard(command.host.name)
            if not command.wave:
                self._table.end_drain(command.host)

    async def _send_command(self, command: host_commands.HostCommand) -> None:
        host = command.host
        leader = self._leader
        outcome = host_calls.CommandOutcome.RETRY_LATER
        fresh = (
            leader.now() - leader.leadership_confirmed_at()
            < recent_commands.MAX_COMMAND_DELAY_S
        )
        try:
            if fresh and leader.may_send_commands():
                outcome = await self._call_platform(command)
        finally:
            self._table.commanded_hosts.discard(host.name)
        self._handle_outcome(command, outcome)
        catalogue.emit(
            logger,
            events.HostOrdered(
                host.name,
                "maintain" if command.wave else "move",
                str(command.wave or command.pool),
                outcome.value,
                command.reason,
            ),
        )

    async def _call_platform(
        self, command: host_commands.HostCommand
    ) -> host_calls.CommandOutcome:
        if command.wave:
            return await self._calls.start_maintenance(
                command.host.name, command.wave
            )
        return await self._calls.move_host(command.host.name, command.pool)

    def _handle_outcome(
        self,
        command: host_commands.HostCommand,
        outcome: host_calls.CommandOutcome,
    ) -> None:
        now = self._leader.now()
        host, table = command.host, self._table
        taken = outcome is host_calls.CommandOutcome.ACCEPTED
        not_due = outcome is host_calls.CommandOutcome.NOT_DUE
        if command.wave and (taken or not_due):
            self.waves.record_maintenance_begun(command.wave, host.name)
        if taken:
            self._handle_accepted(command, now)
            return
        if outcome is host_calls.CommandOutcome.UNKNOWN:
            if command.wave:
                # It may have begun its maintenance.
                table.maintenance_until[host.name] = now + self._maintenance_s
            return
        if outcome is host_calls.CommandOutcome.INVALID and command.pool:
            self._moves.record_refused(host.name, command.pool)
        table.paused_until[host.name] = now + REFUSED_COMMAND_PAUSE_S
        if not command.wave:
            table.end_drain(host)

    def _handle_accepted(
        self, command: host_commands.HostCommand, now: float
    ) -> None:
        host, table = command.host, self._table
        self._moves.record_moved(host.name)
        self._leader.runner_events.handle_runner_gone(
            host.runner_id, "host ordered away", now
        )
        pool = command.pool or host.pool
        length_s = self._maintenance_s if command.wave else self._move_s
        if not table.is_standby_pool(pool):
            until = now + length_s + host_table.REGISTRATION_TIMEOUT_S
            table.coming_by_host[host.name] = pool, until
        if command.wave:
            table.maintenance_until[host.name] = now + length_s
        table.host_by_name[host.name] = dataclasses.replace(
            host, pool=pool, state=site.HostState.MOVING, runner_id=""
        )
        table.end_drain(host)
