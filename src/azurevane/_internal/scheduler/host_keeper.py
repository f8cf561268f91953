"""Has hosts moved and maintained while this host leads."""

import dataclasses
import logging
from typing import Protocol

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import site
from azurevane._internal.platform import machine_calls
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import host_orders
from azurevane._internal.scheduler import host_table
from azurevane._internal.scheduler import move_keeper
from azurevane._internal.scheduler import order_marks
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.scheduler import wave_keeper

logger = logging.getLogger(__name__)

# How often pools and waves are looked at, and how often the platform's
# list of hosts is read.
STEP_S = 0.25
LIST_S = 0.5
# A host that refused an order is left alone for a while.
REFUSED_PAUSE_S = 1.0


class Leader(wave_keeper.Leader, Protocol):
    """What the keeper needs of the leader."""

    scheduler_state: state_module.SchedulerState
    runner_events: runner_events.RunnerEventHandler

    def now(self) -> float:
        """Return the steady time in seconds."""

    def proven_at(self) -> float:
        """Return when a stored write last proved the leadership."""

    def may_order(self) -> bool:
        """Whether this host certainly leads."""

    def pump(self) -> None:
        """Plan again soon."""

    def prove(self) -> "defer.Deferred[None]":
        """Store something, which proves that this host leads."""


class HostKeeper:
    """Reads the list of hosts and sends orders; times are steady seconds.

    Args:
        marks: hosts that are ordered, for later leaders.
    """

    def __init__(
        self,
        leader: Leader,
        calls: machine_calls.MachineCalls,
        *,
        move_s: float,
        maintenance_s: float,
        marks: order_marks.OrderMarks,
    ) -> None:
        self._leader = leader
        self._calls = calls
        self._move_s = move_s
        self._maintenance_s = maintenance_s
        self.marks = marks
        self._listed_at = float("-inf")
        self._table = host_table.HostTable(
            leader.scheduler_state, leader.runner_events
        )
        store_offset_s = leader.store_now() - leader.now()
        for name, free_at in marks.free_at_by_host().items():
            self._table.pause_until[name] = free_at - store_offset_s
        self.waves = wave_keeper.WaveKeeper(
            leader, leader.scheduler_state, self._table
        )
        self._moves = move_keeper.MoveKeeper(
            leader.scheduler_state, self._table
        )

    async def step(self) -> None:
        """Read the list of hosts if it is old, then order what is due."""
        if self._leader.now() - self._listed_at >= LIST_S:
            try:
                hosts = await self._calls.hosts()
            except exceptions.CallFailed as failure:
                logger.info("List of hosts: %s", failure)
                return
            self._listed_at = self._leader.now()
            self._table.note_hosts(hosts, self._listed_at)
        if not self._leader.may_order() or not self._table.host_by_name:
            return
        now = self._leader.now()
        self._table.note_idle(now)
        orders = self._plan(now)
        self._leader.pump()
        if not orders:
            return
        self.marks.note(
            (order.host.name for order in orders), self._leader.store_now()
        )
        try:
            await self._leader.prove()
        except Exception:
            self._release(orders)
            raise
        for order in orders:
            background.spawn(self._send(order), "order for a host")

    def _plan(self, now: float) -> list[host_orders.HostOrder]:
        orders = self.waves.orders(now)
        # A host on standby may be due and wanted at once.
        self._table.ordering.update(order.host.name for order in orders)
        moves = self._moves.orders(self.waves.due_names(), now)
        self._table.ordering.update(order.host.name for order in moves)
        return orders + moves

    def _release(self, orders: list[host_orders.HostOrder]) -> None:
        for order in orders:
            self._table.ordering.discard(order.host.name)
            if not order.wave:
                self._table.occupy(order.host)

    async def _send(self, order: host_orders.HostOrder) -> None:
        host = order.host
        leader = self._leader
        outcome = machine_calls.OrderOutcome.LATER
        fresh = leader.now() - leader.proven_at() < order_marks.ORDER_WITHIN_S
        try:
            if fresh and leader.may_order():
                outcome = await self._call(order)
        finally:
            self._table.ordering.discard(host.name)
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

    async def _call(
        self, order: host_orders.HostOrder
    ) -> machine_calls.OrderOutcome:
        if order.wave:
            return await self._calls.maintain(order.host.name, order.wave)
        return await self._calls.move(order.host.name, order.pool)

    def _note_outcome(
        self,
        order: host_orders.HostOrder,
        outcome: machine_calls.OrderOutcome,
    ) -> None:
        now = self._leader.now()
        host, table = order.host, self._table
        taken = outcome is machine_calls.OrderOutcome.TAKEN
        not_due = outcome is machine_calls.OrderOutcome.NOT_DUE
        if order.wave and (taken or not_due):
            self.waves.note_begun(order.wave, host.name)
        if taken:
            self._note_taken(order, now)
            return
        if outcome is machine_calls.OrderOutcome.UNKNOWN:
            if order.wave:
                # It may have begun its maintenance.
                table.down_until[host.name] = now + self._maintenance_s
            return
        if outcome is machine_calls.OrderOutcome.INVALID and order.pool:
            self._moves.note_refused(host.name, order.pool)
        table.pause_until[host.name] = now + REFUSED_PAUSE_S
        if not order.wave:
            table.occupy(host)

    def _note_taken(self, order: host_orders.HostOrder, now: float) -> None:
        host, table = order.host, self._table
        self._moves.note_moved(host.name)
        self._leader.runner_events.handle_runner_gone(
            host.runner_id, "host ordered away", now
        )
        pool = order.pool or host.pool
        length_s = self._maintenance_s if order.wave else self._move_s
        if not table.on_standby(pool):
            until = now + length_s + host_table.REGISTER_S
            table.coming_by_host[host.name] = pool, until
        if order.wave:
            table.down_until[host.name] = now + length_s
        table.host_by_name[host.name] = dataclasses.replace(
            host, pool=pool, state=site.HostState.MOVING, runner_id=""
        )
        table.occupy(host)
