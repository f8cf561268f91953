"""Repeats a call that is overdue, and still listens to earlier attempts.

Designed for a peer that turns slow or loses single responses, which the
caller can't tell apart. Giving up an attempt to repeat it would make each
call to a slow peer wait for several timeouts.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.models import verdict

_T = TypeVar("_T")

# An overdue attempt is repeated this much later at the latest, whatever
# speaks against it.
MAX_REPEAT_DELAY_S = 0.6
REPEAT_CHECK_INTERVAL_S = 0.02


class RepeatedCall(Generic[_T]):
    """One call, in several attempts; times are monotonic seconds.

    Args:
        send: sends an attempt that ends within the given time; the second
            argument tells whether it repeats an earlier one.
        overdue_after_s: returns how long the response to the next attempt
            usually takes at most, after which it is repeated. Its argument
            is the second one of ``send``.
        on_overdue: called with the time at which an overdue attempt was sent.
        may_repeat: whether an attempt that was sent at a time may be repeated
            now. If not, it is repeated after ``MAX_REPEAT_DELAY_S``.
        deadline: when all attempts end.
    """

    def __init__(
        self,
        reactor: Any,
        send: Callable[[float, bool], Awaitable[_T]],
        *,
        overdue_after_s: Callable[[bool], float],
        on_overdue: Callable[[float], None],
        may_repeat: Callable[[float], bool],
        deadline: float,
    ) -> None:
        self._reactor = reactor
        self._send = send
        self._overdue_after_s = overdue_after_s
        self._on_overdue = on_overdue
        self._may_repeat = may_repeat
        self._deadline = deadline
        self._done: defer.Deferred[_T] = defer.Deferred()
        self._open_attempts = 0
        self._repeated = False
        self._may_have_run = False
        self._timer: Any = None

    async def run(self) -> _T:
        """Return the first response.

        Raises:
            CallFailed: no attempt got a usable response; the verdict and
                the text are those of the last one, unless an earlier one may
                have run.
        """
        self._begin_attempt()
        try:
            return await self._done
        finally:
            if self._timer.active():
                self._timer.cancel()

    def _begin_attempt(self) -> None:
        sent_at = self._reactor.seconds()
        self._open_attempts += 1
        repeated, self._repeated = self._repeated, True
        attempt = defer.ensureDeferred(
            self._send(self._deadline - sent_at, repeated)
        )
        self._timer = self._reactor.callLater(
            self._overdue_after_s(repeated), self._handle_overdue, sent_at
        )
        attempt.addCallbacks(self._handle_response, self._handle_failure)

    def _handle_overdue(self, sent_at: float) -> None:
        # The reactor runs timers before it reads from connections.
        self._timer = self._reactor.callLater(0, self._repeat, sent_at)

    def _repeat(self, sent_at: float) -> None:
        self._on_overdue(sent_at)
        self._repeat_when_allowed(
            sent_at, self._reactor.seconds() + MAX_REPEAT_DELAY_S
        )

    def _repeat_when_allowed(self, sent_at: float, latest: float) -> None:
        now = self._reactor.seconds()
        if now >= self._deadline:
            return
        if now >= latest or self._may_repeat(sent_at):
            self._begin_attempt()
            return
        self._timer = self._reactor.callLater(
            REPEAT_CHECK_INTERVAL_S, self._repeat_when_allowed, sent_at, latest
        )

    def _handle_response(self, response: _T) -> None:
        self._open_attempts -= 1
        if not self._done.called:
            self._done.callback(response)

    def _handle_failure(self, failure: Any) -> None:
        self._open_attempts -= 1
        error = failure.value
        if isinstance(error, exceptions.CallFailed):
            not_run = error.verdict is verdict.Verdict.NOT_RUN
            self._may_have_run = self._may_have_run or not not_run
            if self._open_attempts:
                return
            if not_run and self._may_have_run:
                error = exceptions.CallFailed(
                    str(error), verdict.Verdict.MAY_HAVE_RUN
                )
        if not self._done.called:
            self._done.errback(error)
