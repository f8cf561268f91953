"""State machines on a simulated network in virtual time.

A machine has ``handle(now, peer, message)``, ``tick(now)``, which return
effects, and ``next_due``. Each node has a clock of its own that differs by
a fixed offset. Everything is derived from one seed.
"""

import dataclasses
import heapq
import itertools
import random

from azurevane._internal.models import effects as effect_models


@dataclasses.dataclass
class Faults:
    """Chance of each fault per message, and the most extra delay."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    late_s: float = 0.2


@dataclasses.dataclass(eq=False)
class Node:
    """One incarnation of a host.

    Attributes:
        offset: local clock minus virtual time.
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
        self.faults = faults or Faults()
        self.node_by_name = {}
        self.cuts = set()
        self.sent = 0
        self.on_send = None
        self._on_effect = on_effect or (lambda node, effect: None)
        self._delay_s = delay_s
        self._heap = []
        self._numbers = itertools.count()

    def at(self, when, action):
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def after(self, delay_s, action):
        self.at(self.now + delay_s, action)

    def run_until(self, end):
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def add(self, name, machine):
        """Start a host, or a new incarnation of one that was killed."""
        node = Node(name, machine, self.random.uniform(-1000.0, 1000.0))
        self.node_by_name[name] = node
        return node

    def kill(self, name):
        node = self.node_by_name.pop(name)
        node.alive = False

    def pause(self, name, seconds):
        """Stop a host; what reaches it meanwhile waits in its sockets."""
        node = self.node_by_name[name]
        node.paused_until = self.now + seconds
        self.at(node.paused_until, lambda: self._resume(node))

    def cut(self, sender, receiver, seconds):
        """Drop every message in one direction for a time."""
        self.cuts.add((sender, receiver))
        self.after(seconds, lambda: self.cuts.discard((sender, receiver)))

    def call(self, node, action):
        """Run ``action(machine, local_now)`` and carry out its effects.

        A paused node runs it when it resumes, a dead one never.
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
            self.call(node, action)
        self._schedule_tick(node)

    def _schedule_tick(self, node):
        due = node.machine.next_due
        if due is None:
            return
        due = max(due - node.offset, self.now)
        if node.tick_at is None or due < node.tick_at:
            node.tick_at = due
            self.at(due, lambda: self._tick(node, due))

    def _tick(self, node, due):
        if node.tick_at == due:
            node.tick_at = None
            # The offset rounds times, so a due time may lie just ahead.
            self.call(node, lambda machine, now: machine.tick(now + 1e-9))

    def _send(self, node, effect):
        self.sent += 1
        if self.on_send:
            self.on_send(node.name, effect)
        if (node.name, effect.peer) in self.cuts:
            return
        chance = self.random.random
        if chance() < self.faults.loss:
            return
        copies = 2 if chance() < self.faults.duplicate else 1
        for _ in range(copies):
            delay_s = self._delay_s
            if chance() < self.faults.reorder:
                delay_s += chance() * self.faults.late_s
            self.after(delay_s, self._delivery(node.name, effect))

    def _delivery(self, sender, effect):
        def deliver():
            receiver = self.node_by_name.get(effect.peer)
            if receiver is not None:
                self.call(
                    receiver,
                    lambda machine, now: machine.handle(
                        now, sender, effect.message
                    ),
                )

        return deliver
