"""A delayed call whose process decides when it runs once it is due."""

from twisted.internet import error


class HeldCall:
    """A delayed call that may also wait for its process.

    Args:
        on_due: called with this call when its delay is over; the process
            then calls ``run`` at once or later.
    """

    def __init__(self, clock, delay, on_due, function, arguments, options):
        self._call = function, arguments, options
        self._pending = True
        self._timer = clock.callLater(delay, on_due, self)

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
