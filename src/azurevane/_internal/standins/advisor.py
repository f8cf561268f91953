"""Stand-in for the placement advisor."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from azurevane._internal.standins import serial_peer

Response = serial_peer.Response


class Advisor:
    """Answers each calling host's requests one at a time, in turn.

    Args:
        decision_s: time for a call, without that for the runners.
        per_runner_s: time for each runner named in a call.
        ticket_validity_s: time from an answer until its tickets expire.
        serves_left: whether it also works on calls whose caller has left.

    Attributes:
        allows: whether the policy allows a step on a runner.
        calls: time and step of each call that arrived.
        answered: number of calls that were worked on.
        rejected_starts: number of starts without a valid ticket.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        decision_s: float,
        per_runner_s: float,
        ticket_validity_s: float,
        serves_left: bool = True,
    ) -> None:
        self._reactor = reactor
        self._decision_s = decision_s
        self._per_runner_s = per_runner_s
        self._ticket_validity_s = ticket_validity_s
        self._serves_left = serves_left
        self._peer_by_host: dict[str, serial_peer.SerialPeer] = {}
        self._valid_until_by_ticket: dict[tuple[str, str, str], float] = {}
        self.allows: Callable[[str, str], bool] = lambda step, runner: True
        self.calls: list[tuple[float, str]] = []
        self.answered = 0
        self.rejected_starts = 0

    @property
    def most_waiting(self) -> int:
        """Highest number of waiting calls of a host."""
        peers = self._peer_by_host.values()
        return max((peer.most_waiting for peer in peers), default=0)

    def peer(self, host: str) -> serial_peer.SerialPeer:
        """Return what handles the calls of an entry host."""
        if host not in self._peer_by_host:
            self._peer_by_host[host] = serial_peer.SerialPeer(
                self._reactor, serves_left=self._serves_left
            )
        return self._peer_by_host[host]

    def handle_request(
        self, host: str, body: Any
    ) -> "Response | defer.Deferred[Response]":
        """Return the response to a call, usually deferred."""
        self.calls.append((self._reactor.seconds(), body["step"]))
        work_s = self._decision_s + self._per_runner_s * len(body["workers"])
        return self.peer(host).handle(
            work_s, lambda: self._decide(body["step"], body["workers"])
        )

    def _decide(self, step: str, runners: list[str]) -> Response:
        self.answered += 1
        valid_until = self._reactor.seconds() + self._ticket_validity_s
        good = []
        for runner in runners:
            if self.allows(step, runner):
                ticket = f"t-{len(self._valid_until_by_ticket)}"
                self._valid_until_by_ticket[step, runner, ticket] = valid_until
                good.append([runner, ticket])
        valid_ms = round(self._ticket_validity_s * 1000)
        return Response(200, {"good": good, "validMs": valid_ms})

    def accepts(self, task: str, runner: str, ticket: str) -> bool:
        """Whether a start with a ticket is allowed now."""
        key = task.rpartition(".")[0], runner, ticket
        valid_until = self._valid_until_by_ticket.get(key, 0.0)
        accepted = bool(self._reactor.seconds() < valid_until)
        self.rejected_starts += not accepted
        return accepted
