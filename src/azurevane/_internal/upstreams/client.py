"""HTTP client that sends requests to runners."""

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

# Headers that aren't forwarded: hop-by-hop headers (RFC 9110, section 7.6.1),
# and headers that carry the caller's API key, which upstreams must not see.
_REMOVED_REQUEST_HEADERS = frozenset(
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
    """A request as it is sent to a runner.

    Attributes:
        body: ``IBodyProducer``, or None if there is no body.
        team: name of the caller's team; empty if it has none.
        idempotent: whether the request may be repeated.
        deadline: in monotonic seconds; the remaining time is sent to the
            runner.
        wanted: returns whether the caller still waits for the answer.
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
    """Sends requests to runners, one at a time on each connection."""

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
        """Send a request to a runner and wait for the head of the answer.

        Args:
            seats: number of entry hosts that share the runner's
                connections.
            not_after: time at which the request is abandoned, in monotonic
                seconds.
        """
        # A runner may close an idle connection while a request is written to
        # it, and then it isn't known whether the request ran. So only
        # idempotent requests reuse connections. A request with a body also
        # gets a new connection, so that an early answer can't belong to
        # another request.
        began_at = self._reactor.seconds()
        acquired = await self.connections_to(runner).acquire(
            connections.connections_per_host(runner.connections, seats),
            new_only=not outgoing.idempotent or outgoing.body is not None,
        )
        if not pipeline.is_successful(acquired):
            return result.Failure(acquired.failure())
        connection = acquired.unwrap()
        # No timer ends the attempt while the process stands still, and the
        # fleet state under which the request was admitted may have changed.
        opened_s = self._reactor.seconds() - began_at
        if opened_s > connections.CONNECT_TIMEOUT_S:
            connection.abort()
            return result.Failure(
                verdicts.build_failure("connect-time-out", "process was late")
            )
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
            _build_request_headers(outgoing, runner, now, tag),
            outgoing.body,
            persistent=True,
        )
        head = connection.send_request(request, tag)
        head.addTimeout(max(not_after - now, 0.0), self._reactor)
        try:
            response = await head
        except Exception as reason:  # Any error means that there is no answer.
            connection.abort()
            if connection.request_truncated:
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
        has_no_body = (
            outgoing.method == "HEAD" or response.code in http.NO_BODY_CODES
        )
        if not has_no_body and not connection.answer_is_delimited:
            connection.abort()
            await answer.discard_body()
            return result.Failure(
                verdicts.build_failure("answer-without-length")
            )
        return result.Success(answer)

    def connections_to(
        self, runner: manifest_models.Runner
    ) -> connections.RunnerConnections:
        """Return this host's connections to a runner."""
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


def _build_request_headers(
    outgoing: OutgoingRequest,
    runner: manifest_models.Runner,
    now: float,
    tag: str,
) -> http_headers.Headers:
    connection_headers = {
        token.strip().lower()
        for value in outgoing.headers.getRawHeaders(b"Connection", [])
        for token in value.split(b",")
    }
    forwarded = http_headers.Headers()
    for name, values in outgoing.headers.getAllRawHeaders():
        lowered = name.lower()
        if (
            lowered in _REMOVED_REQUEST_HEADERS
            or lowered in connection_headers
        ):
            continue
        forwarded.setRawHeaders(name, values)
    forwarded.setRawHeaders("Host", [f"{runner.address}:{runner.port}"])
    forwarded.setRawHeaders(connection_module.TAG_HEADER, [tag])
    forwarded.setRawHeaders("X-Azurevane-Team", [outgoing.team])
    remaining_ms = max(int((outgoing.deadline - now) * 1000), 0)
    forwarded.setRawHeaders("Azurevane-Deadline-Ms", [str(remaining_ms)])
    return forwarded
