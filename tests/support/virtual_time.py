"""Runs state machines on a simulated network in virtual time.

A state machine has ``next_due`` and the methods ``handle(now, peer,
message)`` and ``tick(now)``, which return effects. The local clock of each
node differs from virtual time by a fixed offset. All random values are
derived from one seed.
"""

import dataclasses
import heapq
import itertools
import random

from azurevane._internal.models import effects as effect_models


@dataclasses.dataclass
class NetworkFaults:
    """Probability of each fault per message.

    Attributes:
        max_extra_delay_s: longest additional delay of a reordered message.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    max_extra_delay_s: float = 0.2


@dataclasses.dataclass(eq=False)
class Node:
    """One incarnation of a host.

    Attributes:
        machine: state machine that the node runs.
        offset: local clock minus virtual time, in seconds.
        deferred: actions to run when the pause ends.
    """

    name: str
    machine: object
    offset: float
    alive: bool = True
    paused_until: float = 0.0
    tick_at: float | None = None
    deferred: list = dataclasses.field(default_factory=list)


class VirtualNetwork:
    """Nodes that exchange messages in virtual time.

    Args:
        on_effect: called with (node, effect) for effects other than Send.
    """

    def __init__(self, seed, on_effect=None, faults=None, delay_s=0.0005):
        self.now = 0.0
        self.random = random.Random(seed)
        self.faults = faults or NetworkFaults()
        self.node_by_name = {}
        self.cut_links = set()
        self.sent_count = 0
        self.on_send = None
        self._on_effect = on_effect or (lambda node, effect: None)
        self._delay_s = delay_s
        self._event_heap = []
        self._sequence = itertools.count()

    def schedule_at(self, when, action):
        heapq.heappush(self._event_heap, (when, next(self._sequence), action))

    def schedule_after(self, delay_s, action):
        self.schedule_at(self.now + delay_s, action)

    def run_until(self, end):
        while self._event_heap and self._event_heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._event_heap)
            action()
        self.now = end

    def add_node(self, name, machine):
        """Start a host, or a new incarnation of one that was killed."""
        node = Node(name, machine, self.random.uniform(-1000.0, 1000.0))
        self.node_by_name[name] = node
        return node

    def kill_node(self, name):
        node = self.node_by_name.pop(name)
        node.alive = False

    def pause_node(self, name, seconds):
        """Pause a host; what arrives meanwhile is processed on resume."""
        node = self.node_by_name[name]
        node.paused_until = self.now + seconds
        self.schedule_at(node.paused_until, lambda: self._resume(node))

    def cut_link(self, sender, receiver, seconds):
        """Drop every message in one direction for some seconds."""
        self.cut_links.add((sender, receiver))
        self.schedule_after(
            seconds, lambda: self.cut_links.discard((sender, receiver))
        )

    def run_action(self, node, action):
        """Run ``action(machine, local_now)`` and apply its effects.

        A paused node runs the action on resume, a killed one never.
        """
        if not node.alive:
            return
        if self.now < node.paused_until:
            node.deferred.append(action)
            return
        decided = action(node.machine, self.now + node.offset)
        for effect in decided or ():
            if isinstance(effect, effect_models.Send):
                self._send(node, effect)
            else:
                self._on_effect(node, effect)
        self._schedule_tick(node)

    def _resume(self, node):
        waiting, node.deferred = node.deferred, []
        for action in waiting:
            self.run_action(node, action)
        self._schedule_tick(node)

    def _schedule_tick(self, node):
        due = node.machine.next_due
        if due is None:
            return
        due = max(due - node.offset, self.now)
        if node.tick_at is None or due < node.tick_at:
            node.tick_at = due
            self.schedule_at(due, lambda: self._tick(node, due))

    def _tick(self, node, due):
        if node.tick_at == due:
            node.tick_at = None
            # Adding the offset rounds, so the due time may be slightly ahead
            # of the local clock.
            self.run_action(
                node, lambda machine, now: machine.tick(now + 1e-9)
            )

    def _send(self, node, effect):
        self.sent_count += 1
        if self.on_send:
            self.on_send(node.name, effect)
        if (node.name, effect.peer) in self.cut_links:
            return
        draw = self.random.random
        if draw() < self.faults.loss:
            return
        copies = 2 if draw() < self.faults.duplicate else 1
        for _ in range(copies):
            delay_s = self._delay_s
            if draw() < self.faults.reorder:
                delay_s += draw() * self.faults.max_extra_delay_s
            self.schedule_after(
                delay_s, self._build_delivery(node.name, effect)
            )

    def _build_delivery(self, sender, effect):
        def deliver():
            receiver = self.node_by_name.get(effect.peer)
            if receiver is not None:
                self.run_action(
                    receiver,
                    lambda machine, now: machine.handle(
                        now, sender, effect.message
                    ),
                )

        return deliver
