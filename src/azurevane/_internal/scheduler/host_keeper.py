"""Moves hosts between pools and carries out waves of maintenance."""

import dataclasses
import logging
from typing import Protocol

import msgspec
from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import site
from azurevane._internal.platform import machine_calls
from azurevane._internal.policy import pool_sizing
from azurevane._internal.policy import wave_steps
from azurevane._internal.scheduler import availability
from azurevane._internal.scheduler import book as book_module
from azurevane._internal.scheduler import demand
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs

logger = logging.getLogger(__name__)

# How often pools and waves are looked at, and how often the platform's
# list of hosts is read.
STEP_S = 0.25
LIST_S = 0.5
# An order must follow the write that proves the leadership within this.
ORDER_WITHIN_S = 0.7
# A host that was ordered counts as coming until its runner registers, at
# most this much longer than the move takes.
REGISTER_S = 3.0
# Share of a wave's time after which tasks on its hosts are stopped.
STOP_TASKS_SHARE = 0.6
# A host that refused an order is left alone for a while.
REFUSED_PAUSE_S = 1.0


class Leader(Protocol):
    """What the keeper needs of the leader."""

    book: book_module.Book
    runner_events: runner_events.RunnerEvents

    def now(self) -> float:
        """Return the steady time in seconds."""

    def store_now(self) -> float:
        """Return the store's steady time in seconds."""

    def proven_at(self) -> float:
        """Return when a stored write last proved the leadership."""

    def may_order(self) -> bool:
        """Whether this host certainly leads."""

    def pump(self) -> None:
        """Plan again soon."""

    def write_wave(
        self, number: int, value: bytes, *, completed: bool
    ) -> None:
        """Have a wave's progress and status stored."""

    def prove(self) -> "defer.Deferred[None]":
        """Store something, which proves that this host leads."""


class _WaveRecord(msgspec.Struct, array_like=True):
    begun_at: float
    done: list[str]
    completed: bool


class WaveState:
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    host: site.Host
    reason: str
    pool: str = ""
    wave: int = 0


class HostKeeper:
    """Decides and orders moves and maintenance; times are steady seconds.

    Args:
        orders_from: time before which no host is ordered, so that two
            holders don't take turns within a host's lease.
    """

    def __init__(
        self,
        leader: Leader,
        calls: machine_calls.MachineCalls,
        *,
        move_s: float,
        maintenance_s: float,
        orders_from: float,
    ) -> None:
        self._leader = leader
        self._book = leader.book
        self._calls = calls
        self._move_s = move_s
        self._maintenance_s = maintenance_s
        self._orders_from = orders_from
        self._demand = demand.DemandMeter(leader.book)
        self._host_by_name: dict[str, site.Host] = {}
        self._listed_at = float("-inf")
        self._wave_by_number: dict[int, WaveState] = {}
        self._record_by_number: dict[int, bytes] = {}
        self._idle_since: dict[str, float] = {}
        # Hosts on their way: pool and the time until which they count.
        self._coming_by_host: dict[str, tuple[str, float]] = {}
        self._size_by_pool: dict[str, tuple[int, int, int]] = {}
        # Hosts that are vacated for a move.
        self._leaving: set[str] = set()
        self._unregistered_since: dict[str, float] = {}
        self._down_until: dict[str, float] = {}
        self._pause_until: dict[str, float] = {}
        self._refused_moves: set[tuple[str, str]] = set()
        self._ordering: set[str] = set()

    # Waves.

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
            state = WaveState(wave, self._leader.store_now())
            record = self._record_by_number.get(number)
            if record:
                state.restore(record)
            self._wave_by_number[number] = state

    # One step.

    async def step(self) -> None:
        """Read the list of hosts if it is old, then order what is due."""
        now = self._leader.now()
        if now - self._listed_at >= LIST_S:
            try:
                hosts = await self._calls.hosts()
            except exceptions.CallFailed as failure:
                logger.info("List of hosts: %s", failure)
                return
            self._note_hosts(hosts)
        if not self._leader.may_order() or not self._host_by_name:
            return
        now = self._leader.now()
        self._note_idle(now)
        orders = self._wave_orders(now) + self._move_orders(now)
        self._leader.pump()
        if not orders or now < self._orders_from:
            self._release(orders)
            return
        try:
            await self._leader.prove()
        except Exception:
            self._release(orders)
            raise
        for order in orders:
            self._ordering.add(order.host.name)
            defer.ensureDeferred(self._send(order)).addErrback(
                lambda failure: logger.error(
                    "Order failed: %s", failure.getTraceback()
                )
            )

    def _release(self, orders: list[_Order]) -> None:
        for order in orders:
            if not order.wave:
                self._book.vacating.discard(order.host.runner_id)

    def _note_hosts(self, hosts: tuple[site.Host, ...]) -> None:
        now = self._leader.now()
        self._listed_at = now
        for host in hosts:
            self._note_change(host)
            self._note_death(host, now)
        self._host_by_name = {host.name: host for host in hosts}
        present = {host.runner_id for host in hosts if host.runner_id}
        for host in hosts:
            coming = self._coming_by_host.get(host.name)
            registered = host.runner_id in self._book.runner_by_id
            if coming and (now > coming[1] or (host.up and registered)):
                del self._coming_by_host[host.name]
            if host.state is site.HostState.IN_MAINTENANCE:
                self._down_until.setdefault(host.name, now)
            elif host.up and now > self._down_until.get(host.name, 0.0):
                self._down_until.pop(host.name, None)
        self._book.vacating &= present | set(self._book.runner_by_id)

    def _note_change(self, host: site.Host) -> None:
        known = self._host_by_name.get(host.name)
        if known is not None and known.state is host.state:
            return
        catalogue.emit(
            logger,
            events.HostChanged(
                host.name, host.pool, host.state.value, host.runner_id
            ),
        )

    def _note_death(self, host: site.Host, now: float) -> None:
        """Give up the runner of a host that is down or has another one.

        A runner is one life of its host, and lists are read one after the
        other; so this needs no lease to lapse.
        """
        known = self._host_by_name.get(host.name)
        if known is None or not known.runner_id:
            return
        if host.up and host.runner_id == known.runner_id:
            return
        if known.runner_id in self._book.runner_by_id:
            reason = f"its host is {host.state.value}"
            self._leader.runner_events.gone(known.runner_id, reason, now)

    def _note_idle(self, now: float) -> None:
        for runner in self._book.runner_by_id.values():
            if runner.run_by_task or runner.need_by_orphan:
                self._idle_since.pop(runner.id, None)
            else:
                self._idle_since.setdefault(runner.id, now)
        for runner_id in list(self._idle_since):
            if runner_id not in self._book.runner_by_id:
                del self._idle_since[runner_id]

    def _runner(self, host: site.Host) -> runner_state.RunnerState | None:
        return self._book.runner_by_id.get(host.runner_id)

    def _standby(self, pool: str) -> bool:
        config = self._book.config
        service = config.service_by_name.get(pool) if config else None
        return service is not None and service.standby

    def _free_to_order(self, host: site.Host, now: float) -> bool:
        return (
            host.up
            and host.name not in self._ordering
            and host.name not in self._coming_by_host
            and now >= self._pause_until.get(host.name, 0.0)
        )

    # Waves.

    def _wave_orders(self, now: float) -> list[_Order]:
        orders: list[_Order] = []
        for number, state in sorted(self._wave_by_number.items()):
            if state.completed:
                continue
            if not state.announced:
                state.announced = True
                self._store_wave(state)
            due = self._due_hosts(state, now)
            if not due and not self._left(state):
                state.completed = True
                self._store_wave(state)
                continue
            orders += self._orders_of_wave(number, state, due, now)
        return orders

    def _left(self, state: WaveState) -> list[str]:
        """Return hosts of a wave that haven't begun and are still there."""
        return [
            name
            for name in state.wave.hosts
            if name not in state.done and name in self._host_by_name
        ]

    def _store_wave(self, state: WaveState) -> None:
        number = state.wave.number
        self._leader.write_wave(
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
        self, state: WaveState, now: float
    ) -> list[wave_steps.DueHost]:
        due = []
        away_by_pool = self._away_by_pool()
        for name in self._left(state):
            host = self._host_by_name[name]
            if not self._free_to_order(host, now):
                continue
            runner = self._runner(host)
            standby = self._standby(host.pool)
            if runner is None and not standby and host.runner_id:
                # Its runner hasn't registered, or is gone.
                continue
            hosts, load = self._pool_load(host.pool)
            empty = runner is None or (
                not runner.run_by_task and not runner.need_by_orphan
            )
            due.append(
                wave_steps.DueHost(
                    name=name,
                    pool=host.pool,
                    empty=empty,
                    vacating=host.runner_id in self._book.vacating,
                    standby=standby,
                    load=load,
                    pool_hosts=hosts,
                    pool_away=away_by_pool.get(host.pool, 0),
                )
            )
        return due

    def _away_by_pool(self) -> dict[str, int]:
        away: dict[str, int] = {}
        for host in self._host_by_name.values():
            vacating = host.runner_id in self._book.vacating
            if vacating or host.name in self._down_until or not host.up:
                away[host.pool] = away.get(host.pool, 0) + 1
        return away

    def _pool_load(self, pool: str) -> tuple[int, float]:
        hosts, total, free = 0, 0, 0
        for runner in self._book.runner_by_id.values():
            if runner.entry.service == pool and runner.listed:
                hosts += 1
                total += runner.entry.capacity.cpu
                free += runner.free().cpu
        return hosts, 1.0 - free / total if total else 0.0

    def _orders_of_wave(
        self,
        number: int,
        state: WaveState,
        due: list[wave_steps.DueHost],
        now: float,
    ) -> list[_Order]:
        elapsed_s = self._leader.store_now() - state.begun_at
        down = sum(name in self._down_until for name in state.wave.hosts)
        steps = wave_steps.plan_wave(
            due,
            down=down,
            max_down=state.wave.max_down,
            elapsed_s=elapsed_s,
            within_s=state.wave.within_s,
        )
        for name in steps.vacate:
            self._vacate(self._host_by_name[name])
        pressing = elapsed_s >= state.wave.within_s * STOP_TASKS_SHARE
        for item in due:
            self._stop_tasks(self._host_by_name[item.name], now, pressing)
        orders = []
        for name in steps.maintain:
            host = self._host_by_name[name]
            self._vacate(host)
            orders.append(_Order(host, f"wave {number}", wave=number))
        return orders

    def _vacate(self, host: site.Host) -> None:
        if host.runner_id:
            self._book.vacating.add(host.runner_id)

    def _stop_tasks(self, host: site.Host, now: float, pressing: bool) -> None:
        """Stop what a vacated host's tasks lose little by."""
        runner = self._runner(host)
        if runner is None or runner.id not in self._book.vacating:
            return
        for run in list(runner.run_by_task.values()):
            if run.phase is not runs.Phase.RUNNING:
                continue
            wanted = pressing or run.step.long_running
            if wanted and availability.may_stop(run):
                self._book.stop(run, "host maintenance", now)

    # Moves.

    def _move_orders(self, now: float) -> list[_Order]:
        config = self._book.config
        if config is None:
            return []
        standby_pools = [
            service.name
            for service in config.service_by_name.values()
            if service.standby
        ]
        if not standby_pools:
            return []
        coming_by_pool: dict[str, int] = {}
        for name, host in self._host_by_name.items():
            coming = self._coming_by_host.get(name)
            if coming is None and not self._registering(host, now):
                continue
            pool = coming[0] if coming else host.pool
            coming_by_pool[pool] = coming_by_pool.get(pool, 0) + 1
        due_names = {
            name
            for state in self._wave_by_number.values()
            if not state.completed
            for name in self._left(state)
        }
        hosts = list(self._host_by_name.values())
        demands = self._demand.measure(hosts, coming_by_pool, now)
        self._note_sizes(demands)
        plan = pool_sizing.plan_moves(
            demands,
            self._idle_hosts(due_names, now),
            self._busy_hosts(now),
            self._standby_hosts(due_names, now),
            standby_pools[0],
        )
        self._set_leaving(plan.vacate)
        orders = []
        for move in plan.moves:
            if (move.host, move.target) in self._refused_moves:
                continue
            host = self._host_by_name[move.host]
            self._vacate(host)
            orders.append(_Order(host, move.reason, pool=move.target))
        return orders

    def _note_sizes(self, demands: list[pool_sizing.PoolDemand]) -> None:
        for pool in demands:
            wanted = pool_sizing.hosts_wanted(pool)
            size = wanted, pool.ready_hosts, pool.coming_hosts
            if self._size_by_pool.get(pool.name) == size:
                continue
            self._size_by_pool[pool.name] = size
            catalogue.emit(
                logger,
                events.PoolSized(
                    pool.name,
                    wanted,
                    pool.ready_hosts,
                    pool.coming_hosts,
                    pool.busy_cpu,
                    pool.waiting_cpu,
                    round(pool.arriving_cpu),
                ),
            )

    def _registering(self, host: site.Host, now: float) -> bool:
        """Whether a host's runner will soon take tasks."""
        if not host.up or host.runner_id in self._book.runner_by_id:
            self._unregistered_since.pop(host.name, None)
            return False
        since = self._unregistered_since.setdefault(host.name, now)
        return now - since < REGISTER_S

    def _idle_hosts(
        self, due_names: set[str], now: float
    ) -> list[pool_sizing.IdleHost]:
        idle = []
        for host in self._host_by_name.values():
            if not self._free_to_order(host, now):
                continue
            since = self._idle_since.get(host.runner_id)
            vacated = host.name in self._leaving
            if since is None:
                continue
            if host.runner_id in self._book.vacating and not vacated:
                continue
            idle.append(
                pool_sizing.IdleHost(
                    host.name,
                    host.pool,
                    now - since,
                    host.name in due_names,
                    vacated,
                )
            )
        return idle

    def _busy_hosts(self, now: float) -> list[pool_sizing.BusyHost]:
        """Return hosts that would be empty after a while without starts."""
        busy = []
        for host in self._host_by_name.values():
            runner = self._runner(host)
            if runner is None or not self._free_to_order(host, now):
                continue
            leaving = host.name in self._leaving
            if runner.id in self._book.vacating and not leaving:
                continue
            tasks = list(runner.run_by_task.values())
            if not tasks or any(run.step.long_running for run in tasks):
                continue
            busy.append(
                pool_sizing.BusyHost(host.name, host.pool, len(tasks), leaving)
            )
        return busy

    def _set_leaving(self, names: frozenset[str]) -> None:
        """Vacate hosts for a move; the others of before take tasks again."""
        for name in self._leaving - names:
            host = self._host_by_name.get(name)
            if host is not None and self._idle_since.get(host.runner_id):
                # Empty by now: it moves in this step or the next one.
                continue
            self._leaving.discard(name)
            if host is not None:
                self._book.vacating.discard(host.runner_id)
        for name in names:
            self._leaving.add(name)
            self._vacate(self._host_by_name[name])

    def _standby_hosts(self, due_names: set[str], now: float) -> list[str]:
        hosts = [
            host
            for host in self._host_by_name.values()
            if self._standby(host.pool)
            and self._free_to_order(host, now)
            and host.zone not in self._book.zones_out
        ]
        labels = self._demand.wanted_labels()
        hosts.sort(
            key=lambda host: (
                labels.isdisjoint(host.labels),
                host.name in due_names,
                host.name,
            )
        )
        return [host.name for host in hosts]

    # Orders.

    async def _send(self, order: _Order) -> None:
        host = order.host
        leader = self._leader
        outcome = machine_calls.OrderOutcome.LATER
        fresh = leader.now() - leader.proven_at() < ORDER_WITHIN_S
        if fresh and leader.may_order():
            if order.wave:
                outcome = await self._calls.maintain(host.name, order.wave)
            else:
                outcome = await self._calls.move(host.name, order.pool)
        self._ordering.discard(host.name)
        self._note_outcome(order, outcome)
        catalogue.emit(
            logger,
            events.HostOrdered(
                host.name,
                "maintain" if order.wave else "move",
                str(order.wave or order.pool),
                outcome.value,
                order.reason,
            ),
        )

    def _note_outcome(
        self, order: _Order, outcome: machine_calls.OrderOutcome
    ) -> None:
        now = self._leader.now()
        host = order.host
        taken = outcome is machine_calls.OrderOutcome.TAKEN
        if order.wave and (
            taken or outcome is machine_calls.OrderOutcome.NOT_DUE
        ):
            state = self._wave_by_number.get(order.wave)
            if state is not None:
                state.done.add(host.name)
                self._store_wave(state)
        if taken:
            self._leaving.discard(host.name)
            self._leader.runner_events.gone(
                host.runner_id, "host ordered away", now
            )
            pool = order.pool or host.pool
            length_s = self._maintenance_s if order.wave else self._move_s
            until = now + length_s + REGISTER_S
            if not self._standby(pool):
                self._coming_by_host[host.name] = pool, until
            if order.wave:
                self._down_until[host.name] = now + length_s
            self._host_by_name[host.name] = dataclasses.replace(
                host,
                pool=pool,
                state=site.HostState.MOVING,
                runner_id="",
            )
            self._book.vacating.discard(host.runner_id)
            return
        if outcome is machine_calls.OrderOutcome.UNKNOWN and order.wave:
            # It may have begun its maintenance.
            self._down_until[host.name] = now + self._maintenance_s
        if outcome is machine_calls.OrderOutcome.INVALID and order.pool:
            self._refused_moves.add((host.name, order.pool))
        if outcome is not machine_calls.OrderOutcome.UNKNOWN:
            self._pause_until[host.name] = now + REFUSED_PAUSE_S
            if not order.wave:
                self._book.vacating.discard(host.runner_id)
