"""An entry host whose process has little processor time, in virtual time.

Each callback of the host costs a fixed time. Callbacks that are due while
another one runs wait for their turn, in the order in which they came due.
"""

import collections

from twisted.internet import defer

from azurevane import exceptions
from support import held_call


class ChargedReactor:
    """Reactor of one host, on a clock that it shares with the platform."""

    def __init__(self, clock, cost_s):
        self.clock = clock
        self.cost_s = cost_s
        self._ready = collections.deque()
        self._busy = False

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, delay, function, *arguments):  # noqa: N802
        return held_call.HeldCall(
            self.clock, delay, self.enqueue, function, arguments, {}
        )

    def listenTCP(self, port, factory, **options):  # noqa: N802
        """Ignore the request to listen."""

    def enqueue(self, call):
        self._ready.append(call)
        if not self._busy:
            self._busy = True
            self.clock.callLater(0, self._run_next)

    def _run_next(self):
        if not self._ready:
            self._busy = False
            return
        self._ready.popleft().run()
        self.clock.callLater(self.cost_s, self._run_next)

    def turn(self):
        """Return a Deferred that fires when the process comes to it."""
        reached = defer.Deferred()
        self.callLater(0, reached.callback, None)
        return reached


class ChargedClient:
    """Client whose requests and responses wait for the processor."""

    def __init__(self, client, reactor):
        self._client = client
        self._reactor = reactor

    @property
    def silent(self):
        return self._client.silent

    @silent.setter
    def silent(self, value):
        self._client.silent = value

    async def call(self, *arguments, **options):
        await self._reactor.turn()
        try:
            response = await self._client.call(*arguments, **options)
        except exceptions.CallFailed:
            await self._reactor.turn()
            raise
        await self._reactor.turn()
        return response
