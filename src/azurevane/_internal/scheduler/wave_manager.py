"""Plans the maintenance of hosts in waves that the operators ask for."""

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
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.utils import json_decoding

logger = logging.getLogger(__name__)

# Share of a wave's time after which all tasks on its draining hosts are
# stopped. Before that, only long-running tasks are.
STOP_TASKS_AFTER_SHARE = 0.6


class Leader(Protocol):
    """Interface of the leader that the wave manager needs."""

    def store_now(self) -> float:
        """Return the store's monotonic time in seconds."""

    def write_wave_progress(
        self, number: int, value: bytes, *, completed: bool
    ) -> None:
        """Queue a wave's progress and status for storing."""


class _WaveRecord(msgspec.Struct, array_like=True):
    begun_at: float
    done: list[str]
    completed: bool


class WaveProgress:
    """Progress of a wave.

    Attributes:
        begun_at: when a leader first read the wave, by the store's clock.
        handled_hosts: names of hosts whose maintenance has begun, or that
            the platform reports as not part of the wave.
        completed: whether no host is left.
        announced: whether this leader has stored and logged the wave.
    """

    def __init__(self, wave: site.Wave, begun_at: float) -> None:
        self.wave = wave
        self.begun_at = begun_at
        self.handled_hosts: set[str] = set()
        self.completed = False
        self.announced = False

    def encode(self) -> bytes:
        """Return the value of the row that stores the progress."""
        return msgspec.json.encode(
            _WaveRecord(
                self.begun_at, sorted(self.handled_hosts), self.completed
            )
        )

    def restore(self, value: bytes) -> None:
        """Restore the progress from the value of a stored row."""
        stored_value = json_decoding.decode(value, _WaveRecord)
        self.begun_at = stored_value.begun_at
        self.handled_hosts = set(stored_value.done)
        self.completed = stored_value.completed


class WaveManager:
    """Chooses the hosts of waves to drain and to maintain next.

    Args:
        table: its paused hosts are those that previous leaders commanded.
    """

    def __init__(
        self,
        leader: Leader,
        scheduler_state: state_module.SchedulerState,
        table: host_table.HostTable,
    ) -> None:
        self._leader = leader
        self._scheduler_state = scheduler_state
        self._table = table
        # A command of a previous leader may be carried out only after this
        # one has read the list of hosts.
        self._commanded_until = dict(table.paused_until)
        self._progress_by_number: dict[int, WaveProgress] = {}
        self._stored_value_by_number: dict[int, bytes] = {}
        self._drained_hosts: set[str] = set()

    def restore_wave(self, number: int, value: bytes) -> None:
        """Keep a wave's progress that a previous leader stored."""
        self._stored_value_by_number[number] = value

    def set_waves(self, wave_by_number: dict[int, site.Wave]) -> None:
        """Update the waves that the operators ask for."""
        for number in list(self._progress_by_number):
            if number not in wave_by_number:
                del self._progress_by_number[number]
        for number, wave in wave_by_number.items():
            current = self._progress_by_number.get(number)
            if current is not None:
                current.wave = wave
                continue
            progress = WaveProgress(wave, self._leader.store_now())
            stored_value = self._stored_value_by_number.get(number)
            if stored_value:
                self._restore(progress, stored_value)
            self._progress_by_number[number] = progress

    @staticmethod
    def _restore(progress: WaveProgress, stored_value: bytes) -> None:
        try:
            progress.restore(stored_value)
        except msgspec.MsgspecError as error:
            # The wave begins anew: the platform doesn't repeat the
            # maintenance of a host in a wave.
            key = records.wave_key(progress.wave.number)
            catalogue.emit(
                logger,
                events.RowUnreadable(records.STATE_TABLE, key, str(error)),
            )

    def plan_commands(self, now: float) -> list[host_commands.HostCommand]:
        """Return the maintenance to begin now, and drain the hosts to follow.

        A wave without hosts left is completed.
        """
        commands: list[host_commands.HostCommand] = []
        for number, progress in sorted(self._progress_by_number.items()):
            if progress.completed:
                continue
            if not progress.announced:
                progress.announced = True
                self._store_progress(progress)
            due = self._due_hosts(progress, now)
            if not due and not self._remaining_hosts(progress):
                progress.completed = True
                self._store_progress(progress)
                continue
            commands += self._plan_wave(number, progress, due, now)
        return commands

    def due_host_names(self) -> set[str]:
        """Return all hosts that are due for maintenance."""
        return {
            name
            for progress in self._progress_by_number.values()
            if not progress.completed
            for name in self._remaining_hosts(progress)
        }

    def draining_host_names(self) -> set[str]:
        """Return the due hosts that this manager has drained."""
        self._drained_hosts &= self.due_host_names()
        return set(self._drained_hosts)

    def record_maintenance_begun(self, number: int, host_name: str) -> None:
        """Record that a host needs no more maintenance in a wave."""
        progress = self._progress_by_number.get(number)
        if progress is not None:
            progress.handled_hosts.add(host_name)
            self._store_progress(progress)

    def _remaining_hosts(self, progress: WaveProgress) -> list[str]:
        """Return hosts of a wave that are listed and not yet handled."""
        return [
            name
            for name in progress.wave.hosts
            if name not in progress.handled_hosts
            and name in self._table.host_by_name
        ]

    def _store_progress(self, progress: WaveProgress) -> None:
        number = progress.wave.number
        self._leader.write_wave_progress(
            number, progress.encode(), completed=progress.completed
        )
        catalogue.emit(
            logger,
            events.WaveStatus(
                number,
                "completed" if progress.completed else "running",
                len(progress.handled_hosts),
                len(progress.wave.hosts),
            ),
        )

    def _due_hosts(
        self, progress: WaveProgress, now: float
    ) -> list[wave_steps.DueHost]:
        due = []
        unavailable_by_pool = self._table.unavailable_by_pool()
        for name in self._remaining_hosts(progress):
            host = self._table.host_by_name[name]
            if not self._table.may_command(host, now):
                continue
            runner = self._table.runner_on(host)
            standby = self._table.is_standby_pool(host.pool)
            if runner is None and not standby and host.runner_id:
                # Its runner hasn't registered yet, or was given up.
                continue
            hosts, load = self._table.pool_load(host.pool)
            empty = runner is None or not self._scheduler_state.maybe_has_runs(
                runner
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
        progress: WaveProgress,
        due: list[wave_steps.DueHost],
        now: float,
    ) -> list[host_commands.HostCommand]:
        elapsed_s = self._leader.store_now() - progress.begun_at
        # A host whose command isn't answered yet may be down already.
        down_hosts = sum(
            name in self._table.maintenance_until
            or name in self._table.commanded_hosts
            or now < self._commanded_until.get(name, now)
            for name in progress.wave.hosts
        )
        steps = wave_steps.plan_wave(
            due,
            down=down_hosts,
            max_down=progress.wave.max_down,
            elapsed_s=elapsed_s,
            within_s=progress.wave.within_s,
        )
        for name in (*steps.drain, *steps.maintain):
            self._drained_hosts.add(name)
            self._table.start_drain(self._table.host_by_name[name])
        late = elapsed_s >= progress.wave.within_s * STOP_TASKS_AFTER_SHARE
        for due_host in due:
            self._stop_tasks(
                self._table.host_by_name[due_host.name], now, late
            )
        commands = []
        for name in steps.maintain:
            host = self._table.host_by_name[name]
            commands.append(
                host_commands.HostCommand(host, f"wave {number}", wave=number)
            )
        return commands

    def _stop_tasks(self, host: site.Host, now: float, late: bool) -> None:
        """Stop tasks on a draining host if their availability allows it.

        Long-running tasks are stopped at once, since they lose little; the
        others run to their ends unless the wave is late.
        """
        runner = self._table.runner_on(host)
        if (
            runner is None
            or runner.id not in self._scheduler_state.draining_runners
        ):
            return
        for run in list(runner.run_by_task.values()):
            if run.phase is not runs.Phase.RUNNING:
                continue
            should_stop = late or run.step.long_running
            if should_stop and availability.may_stop(run, now):
                self._scheduler_state.stop_run(run, "host maintenance", now)
