"""A site's control daemons in virtual time, with fakes at the interfaces.

Seeded: the same seed gives the same run. Each daemon has its own clock
with its own offset, can be paused, continued and killed, and meets the
table and the workers only through their clients.
"""

import random

from twisted.internet import defer
from twisted.internet import task

from azurevane import exceptions
from azurevane._internal.standins import table as standin_table
from azurevane._internal.table_service import table


class DaemonClock:
    """Reactor time of one daemon: offset, pause, kill."""

    def __init__(self, clock, offset):
        self._clock = clock
        self._offset = offset
        self._held = []
        self.paused = False
        self.killed = False

    def seconds(self):
        return self._clock.seconds() + self._offset

    def callLater(self, delay, call, *args, **kwargs):
        return self._clock.callLater(delay, self._run, call, args, kwargs)

    def _run(self, call, args, kwargs):
        if self.killed:
            return
        if self.paused:
            self._held.append((call, args, kwargs))
            return
        call(*args, **kwargs)

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        held, self._held = self._held, []
        for call, args, kwargs in held:
            self._run(call, args, kwargs)


class StoreFaults:
    def __init__(self):
        self.down = False
        self.lost_answer_rate = 0.0
        self.late_apply_rate = 0.0
        self.timeout_s = 2.0


class World:
    """The virtual clock, the table and its faults."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = task.Clock()
        self.table = standin_table.MemoryTable()
        self.faults = StoreFaults()
        self.cut_off = set()
        # Daemons with no answer of the store since they were cut off.
        self.unconfirmed = set()

    def daemon_clock(self):
        return DaemonClock(self.clock, self.random.uniform(0, 1000))

    def advance(self, seconds, step=0.05, check=None):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            if check is not None:
                check()

    def latency(self):
        return self.random.uniform(0.001, 0.02)


class FakeTable:
    """The table client of one daemon."""

    def __init__(self, world, name, clock):
        self._world = world
        self._name = name
        self._clock = clock

    def _call(self, operation, writes):
        world = self._world
        answer = defer.Deferred()
        unreachable = world.faults.down or self._name in world.cut_off
        lost = writes and world.random.random() < world.faults.lost_answer_rate
        late = writes and world.random.random() < world.faults.late_apply_rate

        def arrive():
            if unreachable:
                return fail()
            result = operation()
            if lost or late:
                return None
            self._clock.callLater(
                world.latency(), self._deliver, answer, result
            )
            return None

        def fail():
            error = exceptions.StoreUnavailable("no answer")
            self._clock.callLater(0.0, self._reject, answer, error)

        if lost or late:
            self._clock.callLater(
                world.faults.timeout_s,
                self._reject,
                answer,
                exceptions.StoreUnavailable("time-out"),
            )
        delay = world.latency() + (world.random.uniform(0, 6) if late else 0.0)
        # The table acts on a call that has left a daemon even if that
        # daemon is paused or killed meanwhile.
        world.clock.callLater(delay, arrive)
        return answer

    def _deliver(self, answer, result):
        if not answer.called:
            if self._name not in self._world.cut_off:
                self._world.unconfirmed.discard(self._name)
            answer.callback(result)

    @staticmethod
    def _reject(answer, error):
        if not answer.called:
            answer.errback(error)

    async def read(self, name):
        version, value = await self._call(
            lambda: self._world.table.read(name), writes=False
        )
        return table.Row(name, version, value)

    async def read_prefix(self, prefix):
        rows = await self._call(
            lambda: self._world.table.read_prefix(prefix), writes=False
        )
        return tuple(table.Row(*row) for row in rows)

    async def transact(self, transaction):
        applied, versions = await self._call(
            lambda: self._world.table.transact(
                transaction.version_by_checked_row, transaction.value_by_row
            ),
            writes=True,
        )
        return table.TransactionResult(applied, versions)
