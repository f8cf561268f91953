"""Stand-in for a peer that carries out one call at a time, in turn."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer

from azurevane._internal.standins import site_store

Response = site_store.Response


@dataclasses.dataclass(eq=False, slots=True)
class _Call:
    work_s: float
    execute: Callable[[], "Response | defer.Deferred[Response]"]
    response: "defer.Deferred[Response]"
    left: bool = False


class SerialPeer:
    """Queues calls and answers each when its turn has come and it is done.

    Args:
        max_waiting: number of waiting calls beyond which it answers 429.
        serves_left: whether it also carries out calls whose caller has left.

    Attributes:
        slowness: multiple of the time that calls take.
        mute: whether calls are taken, but none is carried out.
        loses_calls: whether calls neither arrive nor are answered.
        reject_status: status with which all calls are answered at once.
        answers_to_lose: number of next answers that don't arrive.
        call_count: number of calls that arrived.
        most_waiting: highest number of waiting calls.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        max_waiting: int = 32,
        serves_left: bool = True,
    ) -> None:
        self._reactor = reactor
        self._max_waiting = max_waiting
        self._serves_left = serves_left
        self._waiting: list[_Call] = []
        self._busy = False
        self.slowness = 1.0
        self.mute = False
        self.loses_calls = False
        self.reject_status: int | None = None
        self.answers_to_lose = 0
        self.call_count = 0
        self.most_waiting = 0

    def handle(
        self,
        work_s: float,
        execute: Callable[[], "Response | defer.Deferred[Response]"],
    ) -> "Response | defer.Deferred[Response]":
        """Return the response to a call, deferred unless it is rejected.

        Args:
            work_s: time that the call takes.
            execute: carries the call out and returns its answer.
        """
        self.call_count += 1
        if self.loses_calls:
            return defer.Deferred()
        if self.reject_status is not None:
            return Response(self.reject_status)
        if len(self._waiting) >= self._max_waiting:
            return Response(429)

        def leave(_: "defer.Deferred[Response]") -> None:
            call.left = True

        response: defer.Deferred[Response] = defer.Deferred(leave)
        call = _Call(work_s, execute, response)
        self._waiting.append(call)
        self.most_waiting = max(self.most_waiting, len(self._waiting))
        self.work()
        return response

    def work(self) -> None:
        """Begin the next call, if none is in progress."""
        if self.mute or self._busy:
            return
        if not self._serves_left:
            self._waiting = [each for each in self._waiting if not each.left]
        if self._waiting:
            self._busy = True
            call = self._waiting.pop(0)
            self._reactor.callLater(
                call.work_s * self.slowness, self._finish, call
            )

    def _finish(self, call: _Call) -> None:
        self._busy = False
        defer.maybeDeferred(call.execute).addCallbacks(
            lambda response: self._answer(call, response),
            call.response.errback,
        )
        self.work()

    def _answer(self, call: _Call, response: Response) -> None:
        if self.answers_to_lose:
            self.answers_to_lose -= 1
        elif not call.left:
            call.response.callback(response)
