"""Carries out waves of maintenance."""

import logging
from typing import Protocol

import msgspec

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import site
from azurevane._internal.policy import wave_steps
from azurevane._internal.scheduler import availability
from azurevane._internal.scheduler import host_commands
from azurevane._internal.scheduler import host_table
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Share of a wave's time after which tasks on its hosts are stopped.
STOP_TASKS_SHARE = 0.6


class Leader(Protocol):
    """What waves need of the leader."""

    def store_now(self) -> float:
        """Return the store's steady time in seconds."""

    def write_wave_progress(
        self, number: int, value: bytes, *, completed: bool
    ) -> None:
        """Have a wave's progress and status stored."""


class _WaveRecord(msgspec.Struct, array_like=True):
    begun_at: float
    done: list[str]
    completed: bool


class WaveProgress:
    """Progress of a wave.

    Attributes:
        begun_at: when it was first seen, by the store's clock.
        done: hosts that have begun their maintenance.
    """

    def __init__(self, wave: site.Wave, begun_at: float) -> None:
        self.wave = wave
        self.begun_at = begun_at
        self.done: set[str] = set()
        self.completed = False
        self.announced = False

    def encode(self) -> bytes:
        """Return the value of the row that keeps the progress."""
        return msgspec.json.encode(
            _WaveRecord(self.begun_at, sorted(self.done), self.completed)
        )

    def restore(self, value: bytes) -> None:
        """Take in the progress that a row holds."""
        record = msgspec.json.decode(value, type=_WaveRecord)
        self.begun_at = record.begun_at
        self.done = set(record.done)
        self.completed = record.completed


class WaveManager:
    """Chooses the hosts of waves that are vacated and maintained next."""

    def __init__(
        self,
        leader: Leader,
        scheduler_state: state_module.SchedulerState,
        table: host_table.HostTable,
    ) -> None:
        self._leader = leader
        self._scheduler_state = scheduler_state
        self._table = table
        self._wave_by_number: dict[int, WaveProgress] = {}
        self._record_by_number: dict[int, bytes] = {}

    def restore_wave(self, number: int, value: bytes) -> None:
        """Take in a wave's progress under an earlier leader."""
        self._record_by_number[number] = value

    def set_waves(self, wave_by_number: dict[int, site.Wave]) -> None:
        """Take in the waves that the operators ask for."""
        for number in list(self._wave_by_number):
            if number not in wave_by_number:
                del self._wave_by_number[number]
        for number, wave in wave_by_number.items():
            known = self._wave_by_number.get(number)
            if known is not None:
                known.wave = wave
                continue
            state = WaveProgress(wave, self._leader.store_now())
            record = self._record_by_number.get(number)
            if record:
                state.restore(record)
            self._wave_by_number[number] = state

    def plan_commands(self, now: float) -> list[host_commands.HostCommand]:
        """Return the hosts to maintain now, and vacate those to come."""
        commands: list[host_commands.HostCommand] = []
        for number, state in sorted(self._wave_by_number.items()):
            if state.completed:
                continue
            if not state.announced:
                state.announced = True
                self._store_progress(state)
            due = self._due_hosts(state, now)
            if not due and not self._remaining_hosts(state):
                state.completed = True
                self._store_progress(state)
                continue
            commands += self._plan_wave(number, state, due, now)
        return commands

    def due_host_names(self) -> set[str]:
        """Return all hosts that are due for maintenance."""
        return {
            name
            for state in self._wave_by_number.values()
            if not state.completed
            for name in self._remaining_hosts(state)
        }

    def record_maintenance_begun(self, number: int, host_name: str) -> None:
        """Record that a host needs no more maintenance in a wave."""
        state = self._wave_by_number.get(number)
        if state is not None:
            state.done.add(host_name)
            self._store_progress(state)

    def _remaining_hosts(self, state: WaveProgress) -> list[str]:
        """Return hosts of a wave that haven't begun and are still there."""
        return [
            name
            for name in state.wave.hosts
            if name not in state.done and name in self._table.host_by_name
        ]

    def _store_progress(self, state: WaveProgress) -> None:
        number = state.wave.number
        self._leader.write_wave_progress(
            number, state.encode(), completed=state.completed
        )
        catalogue.emit(
            logger,
            events.WaveStatus(
                number,
                "completed" if state.completed else "running",
                len(state.done),
                len(state.wave.hosts),
            ),
        )

    def _due_hosts(
        self, state: WaveProgress, now: float
    ) -> list[wave_steps.DueHost]:
        due = []
        unavailable_by_pool = self._table.unavailable_by_pool()
        for name in self._remaining_hosts(state):
            host = self._table.host_by_name[name]
            if not self._table.may_command(host, now):
                continue
            runner = self._table.runner_on(host)
            standby = self._table.is_standby_pool(host.pool)
            if runner is None and not standby and host.runner_id:
                # Its runner hasn't registered, or is gone.
                continue
            hosts, load = self._table.pool_load(host.pool)
            empty = runner is None or (
                not runner.run_by_task and not runner.need_by_orphan
            )
            due.append(
                wave_steps.DueHost(
                    name=name,
                    pool=host.pool,
                    empty=empty,
                    draining=host.runner_id
                    in self._scheduler_state.draining_runners,
                    standby=standby,
                    load=load,
                    pool_hosts=hosts,
                    pool_unavailable=unavailable_by_pool.get(host.pool, 0),
                )
            )
        return due

    def _plan_wave(
        self,
        number: int,
        state: WaveProgress,
        due: list[wave_steps.DueHost],
        now: float,
    ) -> list[host_commands.HostCommand]:
        elapsed_s = self._leader.store_now() - state.begun_at
        down = sum(
            name in self._table.maintenance_until for name in state.wave.hosts
        )
        steps = wave_steps.plan_wave(
            due,
            down=down,
            max_down=state.wave.max_down,
            elapsed_s=elapsed_s,
            within_s=state.wave.within_s,
        )
        for name in steps.drain:
            self._table.start_drain(self._table.host_by_name[name])
        pressing = elapsed_s >= state.wave.within_s * STOP_TASKS_SHARE
        for item in due:
            self._stop_tasks(
                self._table.host_by_name[item.name], now, pressing
            )
        commands = []
        for name in steps.maintain:
            host = self._table.host_by_name[name]
            self._table.start_drain(host)
            commands.append(
                host_commands.HostCommand(host, f"wave {number}", wave=number)
            )
        return commands

    def _stop_tasks(self, host: site.Host, now: float, pressing: bool) -> None:
        """Stop what a vacated host's tasks lose little by."""
        runner = self._table.runner_on(host)
        if (
            runner is None
            or runner.id not in self._scheduler_state.draining_runners
        ):
            return
        for run in list(runner.run_by_task.values()):
            if run.phase is not runs.Phase.RUNNING:
                continue
            wanted = pressing or run.step.long_running
            if wanted and availability.may_stop(run):
                self._scheduler_state.stop_run(run, "host maintenance", now)
