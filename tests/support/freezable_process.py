"""A process that can be frozen, in virtual time."""

from support import held_call


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
        return held_call.HeldCall(
            self.clock, delay, self.run, function, arguments, options
        )

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
