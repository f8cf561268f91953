"""Sends requests to runners."""

from collections.abc import Callable
import dataclasses
from typing import Any

from returns import pipeline
from returns import result
from twisted.web import _newclient
from twisted.web import http
from twisted.web import http_headers

from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.upstreams import answers
from azurevane._internal.upstreams import connection as connection_module
from azurevane._internal.upstreams import connections
from azurevane._internal.upstreams import verdicts
from azurevane._internal.utils import tokens

# Headers that belong to one connection (RFC 9110, section 7.6.1), or that
# carry the caller's key, which upstreams must not see.
_DROPPED_REQUEST_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"authorization",
        b"expect",
        b"host",
        b"azurevane-deadline-ms",
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it goes to a runner.

    Attributes:
        body: ``IBodyProducer``, or None if there is no body.
        team: name of the caller's team; empty if it has none.
        deadline: monotonic seconds; the runner is told what is left.
        wanted: says whether anybody still waits for the answer.
    """

    method: str
    path: str
    headers: http_headers.Headers
    body: Any
    team: str
    idempotent: bool
    deadline: float
    wanted: Callable[[], bool] = lambda: True


class RunnerClient:
    """Sends one request at a time on each connection to a runner."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._tag_prefix = tokens.new_token()
        self._requests_sent = 0
        self._connections_by_address: dict[
            tuple[str, int], connections.RunnerConnections
        ] = {}

    async def send_request(
        self,
        outgoing: OutgoingRequest,
        runner: manifest_models.Runner,
        seats: int,
        not_after: float,
    ) -> result.Result[answers.RunnerAnswer, verdict_models.Failure]:
        """Send a request to a runner and wait for the answer's head.

        Args:
            seats: entry hosts that share the runner's connections.
            not_after: monotonic seconds at which the run is given up.
        """
        # The runner may close an idle connection just when a request is
        # written on it, which would leave the verdict open. Only what may
        # be repeated takes that risk. A request with a body gets a fresh
        # one too, so that an early answer can only be its own.
        acquired = await self.connections_to(runner).acquire(
            connections.connections_per_host(runner.connections, seats),
            fresh=not outgoing.idempotent or outgoing.body is not None,
        )
        if not pipeline.is_successful(acquired):
            return result.Failure(acquired.failure())
        connection = acquired.unwrap()
        if not outgoing.wanted():
            connection.abort()
            return result.Failure(verdicts.build_failure("not-wanted"))
        return await self._exchange(outgoing, runner, connection, not_after)

    async def _exchange(
        self,
        outgoing: OutgoingRequest,
        runner: manifest_models.Runner,
        connection: connection_module.RunnerConnection,
        not_after: float,
    ) -> result.Result[answers.RunnerAnswer, verdict_models.Failure]:
        now = self._reactor.seconds()
        self._requests_sent += 1
        tag = f"{self._tag_prefix}-{self._requests_sent}"
        request = _newclient.Request(
            outgoing.method.encode(),
            outgoing.path.encode(),
            _request_headers(outgoing, runner, now, tag),
            outgoing.body,
            persistent=True,
        )
        head = connection.send(request, tag)
        head.addTimeout(max(not_after - now, 0.0), self._reactor)
        try:
            response = await head
        except Exception as reason:  # Whatever it is, there is no answer.
            connection.abort()
            if connection.request_cut:
                return result.Failure(verdicts.build_failure("request-cut"))
            return result.Failure(verdicts.classify_answer_error(reason))
        echoed = connection.echoed_tag
        if echoed is False or (not echoed and connection.requests_sent > 1):
            connection.abort()
            return result.Failure(verdicts.build_failure("unasked-answer"))
        failure = verdicts.classify_status(response.code, response.headers)
        answer = answers.RunnerAnswer(
            self._reactor, connection, response, not_after, failure
        )
        bodiless = (
            outgoing.method == "HEAD" or response.code in http.NO_BODY_CODES
        )
        if not bodiless and not connection.delimited_answer:
            connection.abort()
            await answer.discard_body()
            return result.Failure(
                verdicts.build_failure("answer-without-length")
            )
        return result.Success(answer)

    def connections_to(
        self, runner: manifest_models.Runner
    ) -> connections.RunnerConnections:
        """Return the connections to a runner."""
        address = (runner.address, runner.port)
        if address not in self._connections_by_address:
            self._connections_by_address[address] = (
                connections.RunnerConnections(self._reactor, *address)
            )
        return self._connections_by_address[address]

    def close(self) -> None:
        """Close the idle connections to every runner."""
        for item in self._connections_by_address.values():
            item.close()


def _request_headers(
    outgoing: OutgoingRequest,
    runner: manifest_models.Runner,
    now: float,
    tag: str,
) -> http_headers.Headers:
    nominated = {
        token.strip().lower()
        for value in outgoing.headers.getRawHeaders(b"Connection", [])
        for token in value.split(b",")
    }
    passed = http_headers.Headers()
    for name, values in outgoing.headers.getAllRawHeaders():
        lowered = name.lower()
        if lowered in _DROPPED_REQUEST_HEADERS or lowered in nominated:
            continue
        passed.setRawHeaders(name, values)
    passed.setRawHeaders("Host", [f"{runner.address}:{runner.port}"])
    passed.setRawHeaders(connection_module.TAG_HEADER, [tag])
    passed.setRawHeaders("X-Azurevane-Team", [outgoing.team])
    left_ms = max(int((outgoing.deadline - now) * 1000), 0)
    passed.setRawHeaders("Azurevane-Deadline-Ms", [str(left_ms)])
    return passed
