"""Control daemons of a site in virtual time, with a fake table.

The same seed gives the same run. Each daemon has its own clock offset, can
be paused, resumed and killed, and reaches the table and the workers only
through their clients.
"""

import random

from twisted.internet import defer
from twisted.internet import task

from azurevane import exceptions
from azurevane._internal.standins import table as standin_table
from azurevane._internal.table_service import table


class DaemonClock:
    """Reactor clock of one daemon, which can be paused and killed."""

    def __init__(self, clock, offset):
        self._clock = clock
        self._offset = offset
        self._deferred_calls = []
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
            self._deferred_calls.append((call, args, kwargs))
            return
        call(*args, **kwargs)

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        deferred, self._deferred_calls = self._deferred_calls, []
        for call, args, kwargs in deferred:
            self._run(call, args, kwargs)


class StoreFaults:
    def __init__(self):
        self.down = False
        self.lost_answer_rate = 0.0
        self.late_apply_rate = 0.0
        self.timeout_s = 2.0


class ControlWorld:
    """Virtual clock, table and table faults of a site."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = task.Clock()
        self.table = standin_table.MemoryTable()
        self.faults = StoreFaults()
        self.cut_off = set()
        # Daemons without an answer of the store since they were cut off.
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
    """Table client of one daemon, which injects the store's faults."""

    def __init__(self, world, name, clock):
        self._world = world
        self._name = name
        self._clock = clock

    def _send_call(self, operation, writes):
        world = self._world
        answer = defer.Deferred()
        unreachable = world.faults.down or self._name in world.cut_off
        answer_lost = (
            writes and world.random.random() < world.faults.lost_answer_rate
        )
        applied_late = (
            writes and world.random.random() < world.faults.late_apply_rate
        )

        def arrive():
            if unreachable:
                return reject()
            result = operation()
            if answer_lost or applied_late:
                return None
            self._clock.callLater(
                world.latency(), self._deliver, answer, result
            )
            return None

        def reject():
            error = exceptions.StoreUnavailable("no answer")
            self._clock.callLater(0.0, self._reject, answer, error)

        if answer_lost or applied_late:
            self._clock.callLater(
                world.faults.timeout_s,
                self._reject,
                answer,
                exceptions.StoreUnavailable("time-out"),
            )
        delay = world.latency() + (
            world.random.uniform(0, 6) if applied_late else 0.0
        )
        # A call that was sent is applied even if the daemon is paused or
        # killed meanwhile.
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
        version, value = await self._send_call(
            lambda: self._world.table.read(name), writes=False
        )
        return table.Row(name, version, value)

    async def read_prefix(self, prefix):
        rows = await self._send_call(
            lambda: self._world.table.read_prefix(prefix), writes=False
        )
        return tuple(table.Row(*row) for row in rows)

    async def transact(self, transaction):
        applied, versions = await self._send_call(
            lambda: self._world.table.transact(
                transaction.version_by_checked_row, transaction.value_by_row
            ),
            writes=True,
        )
        return table.TransactionResult(applied, versions)
