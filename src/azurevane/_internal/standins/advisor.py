"""Stand-in for the placement advisor."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer

from azurevane._internal.standins import site_store

Response = site_store.Response


@dataclasses.dataclass(eq=False, slots=True)
class _Call:
    step: str
    runners: list[str]
    response: "defer.Deferred[Response]"
    left: bool = False


class Advisor:
    """Answers each calling host's requests one at a time, in turn.

    Args:
        decision_s: time for a call, without that for the runners.
        per_runner_s: time for each runner named in a call.
        ticket_validity_s: time from an answer until its tickets expire.
        max_waiting: waiting calls of a host beyond which it answers 429.
        answers_left: whether it also works on calls whose caller has left.

    Attributes:
        allows: whether the policy allows a step on a runner.
        slowness: multiple of the time that calls take.
        reject_status: status with which all calls are answered at once.
        answers_to_lose: number of next answers that don't arrive.
        calls: time and step of each call that arrived.
        answered: number of answers.
        most_waiting: highest number of waiting calls of a host.
        rejected_starts: number of starts without a valid ticket.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        decision_s: float,
        per_runner_s: float,
        ticket_validity_s: float,
        max_waiting: int = 32,
        answers_left: bool = True,
    ) -> None:
        self._reactor = reactor
        self._decision_s = decision_s
        self._per_runner_s = per_runner_s
        self._ticket_validity_s = ticket_validity_s
        self._max_waiting = max_waiting
        self._answers_left = answers_left
        self._waiting_by_host: dict[str, list[_Call]] = {}
        self._busy_hosts: set[str] = set()
        self._valid_until_by_ticket: dict[tuple[str, str, str], float] = {}
        self._mute = False
        self.allows: Callable[[str, str], bool] = lambda step, runner: True
        self.slowness = 1.0
        self.reject_status: int | None = None
        self.answers_to_lose = 0
        self.calls: list[tuple[float, str]] = []
        self.answered = 0
        self.most_waiting = 0
        self.rejected_starts = 0

    @property
    def mute(self) -> bool:
        """Whether calls are taken but nothing is answered."""
        return self._mute

    @mute.setter
    def mute(self, mute: bool) -> None:
        self._mute = mute
        if not mute:
            for host in list(self._waiting_by_host):
                self._work(host)

    def handle_request(
        self, host: str, body: Any
    ) -> "Response | defer.Deferred[Response]":
        """Return the response to a call, usually deferred."""
        self.calls.append((self._reactor.seconds(), body["step"]))
        if self.reject_status is not None:
            return Response(self.reject_status)
        waiting = self._waiting_by_host.setdefault(host, [])
        if len(waiting) >= self._max_waiting:
            return Response(429)

        def leave(_: "defer.Deferred[Response]") -> None:
            call.left = True

        response: defer.Deferred[Response] = defer.Deferred(leave)
        call = _Call(body["step"], body["workers"], response)
        waiting.append(call)
        self.most_waiting = max(self.most_waiting, len(waiting))
        self._work(host)
        return response

    def _work(self, host: str) -> None:
        waiting = self._waiting_by_host[host]
        if self._mute or host in self._busy_hosts:
            return
        if not self._answers_left:
            waiting[:] = [call for call in waiting if not call.left]
        if not waiting:
            return
        call = waiting.pop(0)
        self._busy_hosts.add(host)
        took_s = self._decision_s + self._per_runner_s * len(call.runners)
        self._reactor.callLater(
            took_s * self.slowness, self._answer, host, call
        )

    def _answer(self, host: str, call: _Call) -> None:
        self._busy_hosts.discard(host)
        now = self._reactor.seconds()
        good = []
        for runner in call.runners:
            if self.allows(call.step, runner):
                ticket = f"t-{len(self._valid_until_by_ticket)}"
                key = call.step, runner, ticket
                self._valid_until_by_ticket[key] = (
                    now + self._ticket_validity_s
                )
                good.append([runner, ticket])
        if self.answers_to_lose:
            self.answers_to_lose -= 1
        elif not call.left:
            self.answered += 1
            call.response.callback(
                Response(
                    200,
                    {
                        "good": good,
                        "validMs": round(self._ticket_validity_s * 1000),
                    },
                )
            )
        self._work(host)

    def accepts(self, task: str, runner: str, ticket: str) -> bool:
        """Whether a start with a ticket is allowed now."""
        key = task.rpartition(".")[0], runner, ticket
        valid_until = self._valid_until_by_ticket.get(key, 0.0)
        accepted = bool(self._reactor.seconds() < valid_until)
        self.rejected_starts += not accepted
        return accepted
