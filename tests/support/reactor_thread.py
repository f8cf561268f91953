"""Runs the real reactor in a thread, for code that owns sockets."""

import inspect
import threading

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import threads


def start():
    if not reactor.running:
        thread = threading.Thread(
            target=reactor.run, args=(False,), daemon=True
        )
        thread.start()


def call(function, *arguments):
    """Run a function or coroutine in the reactor; return its result."""

    def begin():
        outcome = function(*arguments)
        if inspect.iscoroutine(outcome):
            return defer.ensureDeferred(outcome)
        return outcome

    return threads.blockingCallFromThread(reactor, begin)
