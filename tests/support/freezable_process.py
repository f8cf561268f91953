"""A process that can be frozen, in virtual time."""

from twisted.internet import error


class HeldCall:
    """A delayed call that waits while its process is frozen."""

    def __init__(self, process, delay, function, arguments, options):
        self._call = function, arguments, options
        self._pending = True
        self._process = process
        self._timer = process.clock.callLater(delay, process.run, self)

    def run(self):
        if self._pending:
            self._pending = False
            function, arguments, options = self._call
            function(*arguments, **options)

    def active(self):
        return self._pending

    def cancel(self):
        if not self._pending:
            raise error.AlreadyCalled
        self._pending = False
        if self._timer.active():
            self._timer.cancel()


class FreezableProcess:
    """Reactor of a process that can be frozen; its clock goes on."""

    def __init__(self, clock):
        self.clock = clock
        self.frozen = False
        self.killed = False
        self._held = []

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, delay, function, *arguments, **options):  # noqa: N802
        return HeldCall(self, delay, function, arguments, options)

    def listenTCP(self, port, factory, **options):  # noqa: N802
        """Ignore the request to listen."""

    def run(self, call):
        if self.frozen:
            self._held.append(call)
        else:
            call.run()

    def thaw(self):
        """Run everything that became due meanwhile, unless it was killed."""
        if self.killed:
            return
        self.frozen = False
        held, self._held = self._held, []
        for call in held:
            call.run()
