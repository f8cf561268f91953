"""Sends move and maintenance commands for hosts while this host leads."""

import logging
from typing import Any, Protocol

from twisted.internet import defer
from twisted.python import failure

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import scheduling_settings
from azurevane._internal.models import site
from azurevane._internal.platform import host_calls
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import host_command_limit
from azurevane._internal.scheduler import host_commands
from azurevane._internal.scheduler import host_list_reader
from azurevane._internal.scheduler import host_table
from azurevane._internal.scheduler import move_manager
from azurevane._internal.scheduler import recent_commands
from azurevane._internal.scheduler import row_writer
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.scheduler import store_clock
from azurevane._internal.scheduler import wave_manager

logger = logging.getLogger(__name__)

# Interval between two planning passes for pools and waves.
HOST_PLANNING_INTERVAL_S = 0.25
# A command counts as unanswered after this multiple of the time that reading
# the list took, within these bounds. The call stays open, as the platform may
# be slow and carry it out yet.
COMMAND_OVERDUE_FACTOR = 2.0
MAX_COMMAND_OVERDUE_S = 10.0
# A host gets no other command for this long after one wasn't accepted.
COMMAND_RETRY_PAUSE_S = 1.0
# A host whose command got no response gets no tasks and no other command for
# this long. By then the command was carried out, or isn't going to be.
UNANSWERED_COMMAND_SETTLE_S = 1.5


class Leader(wave_manager.Leader, Protocol):
    """Interface of the leader that the host manager needs."""

    scheduler_state: state_module.SchedulerState
    runner_events: runner_events.RunnerEventHandler
    store_clock: store_clock.StoreClock

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def leadership_confirmed_at(self) -> float:
        """Return when the latest committed write was sent."""

    def may_send_commands(self) -> bool:
        """Whether this host certainly leads and may send commands."""

    def commands_valid_until(self) -> float:
        """Return until when this host certainly leads."""

    def request_planning(self) -> None:
        """Schedule a planning pass unless one is pending."""

    def confirm_leadership(self) -> "defer.Deferred[None]":
        """Store a renewal; its success confirms that this host leads."""


class HostManager:
    """Reads the list of hosts and sends commands; times are monotonic seconds.

    Args:
        move_s: how long the move of a host takes.
        maintenance_s: how long the maintenance of a host takes.
        scheduling: optional decisions that are in use.
        known_commands: recent commands of previous leaders; those of this
            one are added for later leaders.
        command_limit: bounds the commands that are sent.
    """

    def __init__(
        self,
        reactor: Any,
        leader: Leader,
        calls: host_calls.HostCalls,
        *,
        move_s: float,
        maintenance_s: float,
        scheduling: scheduling_settings.SchedulingSettings,
        known_commands: recent_commands.RecentCommands,
        command_limit: host_command_limit.HostCommandLimit,
    ) -> None:
        self._reactor = reactor
        self._leader = leader
        self._calls = calls
        self._move_s = move_s
        self._maintenance_s = maintenance_s
        self.recent_commands = known_commands
        self._command_limit = command_limit
        self._list_reader = host_list_reader.HostListReader(
            calls, leader.now, self._handle_list
        )
        self._command_overdue_s = host_command_limit.PROMPT_RESPONSE_S
        # Overdue calls, and when each was sent.
        self._overdue_calls: dict[
            defer.Deferred[host_calls.CommandOutcome], float
        ] = {}
        self._table = host_table.HostTable(
            leader.scheduler_state, leader.runner_events
        )
        clock = leader.store_clock
        for name, until in known_commands.available_at_by_host().items():
            self._table.paused_until[name] = clock.certainly_passed_at(until)
        self.waves = wave_manager.WaveManager(
            leader, leader.scheduler_state, self._table
        )
        self._moves = move_manager.MoveManager(
            leader.scheduler_state, self._table, move_s, scheduling
        )

    @property
    def table(self) -> host_table.HostTable:
        """Hosts as the platform lists them."""
        return self._table

    async def read_list_if_due(self) -> None:
        """Read the list of hosts, unless one is on its way or it isn't due."""
        await self._list_reader.read_if_due()

    def _handle_list(
        self, hosts: tuple[site.Host, ...], asked_at: float
    ) -> None:
        now = self._leader.now()
        took_s = now - asked_at
        self._command_overdue_s = max(
            host_command_limit.PROMPT_RESPONSE_S,
            min(took_s * COMMAND_OVERDUE_FACTOR, MAX_COMMAND_OVERDUE_S),
        )
        window = self._command_limit.window
        window.prompt_s = self._command_overdue_s
        if took_s <= host_command_limit.PROMPT_RESPONSE_S:
            window.record_prompt_response(asked_at)
        # The platform has answered a later call, so that it won't answer
        # these any more.
        for call, sent_at in list(self._overdue_calls.items()):
            if sent_at < asked_at:
                call.cancel()
        self._table.update_hosts(hosts, asked_at=asked_at, now=now)

    def stop(self) -> None:
        """Wait for no response any more; commands sent take effect."""
        self._list_reader.stop()
        for call in list(self._overdue_calls):
            call.cancel()

    def run_planning_pass(self, wave_by_number: dict[int, site.Wave]) -> None:
        """Plan commands, and send them once they are stored with a renewal.

        The list of hosts may be as old as the last one that was read, and
        commands of earlier passes may still be on their way to the store.

        Args:
            wave_by_number: waves that the operators ask for.
        """
        self.waves.set_waves(wave_by_number)
        if (
            not self._leader.may_send_commands()
            or not self._table.host_by_name
        ):
            return
        now = self._leader.now()
        self._table.update_idle_runners(now)
        planned = self._plan_commands(now)
        commands = self._command_limit.admit(
            planned,
            self.recent_commands.announced_bytes(
                self._leader.store_clock.earliest(now)
            ),
            now,
        )
        # The others are planned anew.
        self._release_hosts(planned[len(commands) :])
        self._leader.request_planning()
        if not commands:
            return
        background.spawn(
            self._send_announced(commands), "send commands for hosts"
        )

    async def _send_announced(
        self, commands: list[host_commands.HostCommand]
    ) -> None:
        """Send commands once a renewal that names their hosts is stored."""
        now = self._leader.now()
        announced_until = now + recent_commands.ANNOUNCED_WINDOW_S
        self.recent_commands.record_commands(
            (command.host.name for command in commands),
            self._leader.store_clock.latest(announced_until),
        )
        try:
            await self._leader.confirm_leadership()
        except Exception as error:
            self._release_hosts(commands)
            for _ in commands:
                self._command_limit.window.cancel()
            if isinstance(error, row_writer.NotLeader):
                return
            raise
        for command in commands:
            background.spawn(
                self._send_command(command, announced_until),
                "send a command for a host",
            )

    def _plan_commands(self, now: float) -> list[host_commands.HostCommand]:
        commands: list[host_commands.HostCommand] = []

        def plan_waves() -> None:
            commands.extend(self.waves.plan_commands(now))
            # A standby host may be due for maintenance and wanted by a pool;
            # it gets only one of the commands.
            self._record_commanded(commands)

        def plan_moves() -> None:
            moves = self._moves.plan_commands(self.waves.due_host_names(), now)
            self._record_commanded(moves)
            commands.extend(moves)

        # Neither is to stop because the other fails.
        background.run_step("plan waves", plan_waves)
        background.run_step("plan moves", plan_moves)
        self._table.end_other_drains(
            self.waves.draining_host_names() | self._moves.draining, now
        )
        return commands

    def _record_commanded(
        self, commands: list[host_commands.HostCommand]
    ) -> None:
        self._table.commanded_hosts.update(
            (command.host.name, command.pool) for command in commands
        )

    def _release_hosts(
        self, commands: list[host_commands.HostCommand]
    ) -> None:
        for command in commands:
            self._table.commanded_hosts.pop(command.host.name, None)

    async def _send_command(
        self, command: host_commands.HostCommand, announced_until: float
    ) -> None:
        host = command.host
        leader = self._leader
        outcome = host_calls.CommandOutcome.NOT_SENT
        decided_at = leader.now()
        confirmed_at = leader.leadership_confirmed_at()
        send_before = min(leader.commands_valid_until(), announced_until)
        try:
            if decided_at < send_before and leader.may_send_commands():
                outcome = await self._call_platform(command, send_before)
            else:
                self._command_limit.window.cancel()
        finally:
            self._table.commanded_hosts.pop(host.name, None)
        self._handle_outcome(command, outcome)
        catalogue.emit(
            logger,
            events.HostOrdered(
                host.name,
                "maintain" if command.wave else "move",
                str(command.wave or command.pool),
                outcome.value,
                command.reason,
                self._calls.fencing_token,
                round(leader.store_clock.earliest(decided_at), 3),
                round(decided_at - confirmed_at, 3),
                round(leader.now() - decided_at, 3),
            ),
        )

    async def _call_platform(
        self, command: host_commands.HostCommand, send_before: float
    ) -> host_calls.CommandOutcome:
        """Return a command's outcome, at the latest when it is overdue."""
        sent_at = self._leader.now()
        call = defer.ensureDeferred(self._send(command, send_before))
        known: defer.Deferred[host_calls.CommandOutcome] = defer.Deferred()

        def handle_end(
            outcome: host_calls.CommandOutcome | failure.Failure,
        ) -> None:
            self._count_outcome(outcome, sent_at)
            if self._overdue_calls.pop(call, None) is None:
                known.callback(outcome)
            elif isinstance(outcome, host_calls.CommandOutcome):
                self._handle_late_outcome(command, outcome)
            else:
                background.log_step_failure(
                    "send a command for a host", outcome.value
                )

        call.addBoth(handle_end)
        known.addTimeout(self._command_overdue_s, self._reactor)
        try:
            return await known
        except defer.TimeoutError:
            self._overdue_calls[call] = sent_at
            return host_calls.CommandOutcome.UNKNOWN

    async def _send(
        self, command: host_commands.HostCommand, send_before: float
    ) -> host_calls.CommandOutcome:
        if command.wave:
            return await self._calls.start_maintenance(
                command.host.name, command.wave, send_before=send_before
            )
        return await self._calls.move_host(
            command.host.name, command.pool, send_before=send_before
        )

    def _count_outcome(self, outcome: object, sent_at: float) -> None:
        window = self._command_limit.window
        if outcome is host_calls.CommandOutcome.NOT_SENT:
            window.cancel()
            return
        if outcome is host_calls.CommandOutcome.RETRY_LATER:
            window.reject(sent_at, self._leader.now())
            return
        answered = (
            isinstance(outcome, host_calls.CommandOutcome)
            and outcome is not host_calls.CommandOutcome.UNKNOWN
        )
        window.end(sent_at, self._leader.now(), answered=answered)

    def _handle_late_outcome(
        self,
        command: host_commands.HostCommand,
        outcome: host_calls.CommandOutcome,
    ) -> None:
        """Handle the outcome of a call that was overdue."""
        name, table, now = command.host.name, self._table, self._leader.now()
        if command.wave:
            table.maintenance_until[name] = now + self._maintenance_s
        table.paused_until[name] = now + COMMAND_RETRY_PAUSE_S
        if outcome is not host_calls.CommandOutcome.UNKNOWN:
            self._handle_outcome(command, outcome)

    def _handle_outcome(
        self,
        command: host_commands.HostCommand,
        outcome: host_calls.CommandOutcome,
    ) -> None:
        now = self._leader.now()
        host, table = command.host, self._table
        accepted = outcome is host_calls.CommandOutcome.ACCEPTED
        not_due = outcome is host_calls.CommandOutcome.NOT_DUE
        if command.wave and (accepted or not_due):
            self.waves.record_maintenance_begun(command.wave, host.name)
        if accepted:
            self._handle_accepted(command, now)
            return
        if outcome is host_calls.CommandOutcome.UNKNOWN:
            # The command may have taken effect without a response, or do so
            # until its call ends. It isn't sent again before.
            call_ends_at = now + host_calls.CALL_TIMEOUT_S
            table.paused_until[host.name] = call_ends_at
            if command.wave:
                table.maintenance_until[host.name] = call_ends_at
                return
            settled_at = now + UNANSWERED_COMMAND_SETTLE_S
            table.unsettled_until[host.name] = settled_at
            return
        if outcome is host_calls.CommandOutcome.INVALID and command.pool:
            self._moves.record_rejected(host.name, command.pool)
        table.paused_until[host.name] = now + COMMAND_RETRY_PAUSE_S

    def _handle_accepted(
        self, command: host_commands.HostCommand, now: float
    ) -> None:
        host, table = command.host, self._table
        self._leader.runner_events.handle_runner_gone(
            host.runner_id, "host ordered away", now
        )
        pool = command.pool or host.pool
        duration_s = self._maintenance_s if command.wave else self._move_s
        if not table.is_standby_pool(pool):
            until = now + duration_s + host_table.REGISTRATION_TIMEOUT_S
            table.incoming_by_host[host.name] = pool, until
        if command.wave:
            table.maintenance_until[host.name] = now + duration_s
        table.record_moving(host, pool, now)
