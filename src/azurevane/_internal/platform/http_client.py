"""HTTP client for the platform's services, the runners and other hosts."""

import dataclasses
from typing import Any, TypeVar

import msgspec
from twisted.internet import defer
from twisted.internet import error
from twisted.web import http

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import verdict
from azurevane._internal.platform import http_connections
from azurevane._internal.utils import json_decoding
from azurevane._internal.utils import process_lag as process_lag_module


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response; ``body`` holds the bytes as received."""

    status: int
    body: bytes


_T = TypeVar("_T")


def decode_response(response: Response, body_type: type[_T], what: str) -> _T:
    """Return the decoded body of a response with status 200.

    Args:
        what: description of the call for the error message.

    Raises:
        CallFailed: the status isn't 200, so that the request wasn't run,
            or the body can't be decoded.
    """
    if response.status != http.OK:
        raise exceptions.CallFailed(
            f"{what}: HTTP {response.status}", verdict.Verdict.NOT_RUN
        )
    try:
        return json_decoding.decode(response.body, body_type)
    except msgspec.MsgspecError as error:
        raise exceptions.CallFailed(
            f"{what}: {error}", verdict.Verdict.RAN
        ) from error


class HttpClient:
    """Sends requests with JSON bodies, each with its own timeout.

    Args:
        process_lag: time by which this process has been late. A call's
            timeout doesn't run meanwhile, since its response may have
            arrived already.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        process_lag: process_lag_module.ProcessLag | None = None,
    ) -> None:
        self._reactor = reactor
        self._lag = process_lag or process_lag_module.ProcessLag(reactor)
        self._peer_by_address: dict[
            host_settings.Address, http_connections.Peer
        ] = {}
        self._closing_call: Any = None

    async def call(
        self,
        address: host_settings.Address,
        method: bytes,
        path: str,
        body: Any = None,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        max_parallel: int = 0,
        send_before: float | None = None,
        new_connection: bool = False,
    ) -> Response:
        """Send a request and return the complete response of any status.

        A call that is cancelled closes its connection.

        Args:
            body: value to send as JSON, or None for no body.
            timeout_s: time from the call to the end of the response.
            max_parallel: number of calls with such a limit that the address
                gets at a time; further ones wait. 0 for no limit.
            send_before: monotonic time from which the request isn't sent
                any more; the call then fails as not run.
            new_connection: whether to use no connection that is open, as
                those may have gone silent.

        Raises:
            CallFailed: no complete response arrived; the verdict says
                whether the request may have run.
        """
        peer = self._peer(address)

        def cancel(_: "defer.Deferred[Response]") -> None:
            peer.give_up(exchange, defer.CancelledError())

        done: defer.Deferred[Response] = defer.Deferred(cancel)
        exchange = http_connections.Exchange(
            _encode_request(address, method, path, body, headers),
            max_parallel,
            lambda status, content: done.callback(Response(status, content)),
            done.errback,
            send_before,
            new_connection,
        )
        timer = _CallTimer(self._reactor, self._lag, timeout_s, peer, exchange)
        peer.begin(exchange)
        try:
            return await done
        except Exception as failure:
            may_have_run = exchange.sent
            raise exceptions.CallFailed(
                f"{method.decode()} {path} at {address}: {failure!r}",
                verdict.Verdict.MAY_HAVE_RUN
                if may_have_run
                else verdict.Verdict.NOT_RUN,
                refused=isinstance(failure, error.ConnectionRefusedError),
                timed_out=isinstance(failure, defer.TimeoutError),
            ) from failure
        finally:
            timer.cancel()

    def _peer(self, address: host_settings.Address) -> http_connections.Peer:
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = http_connections.Peer(self._reactor, address)
            self._peer_by_address[address] = peer
        if self._closing_call is None:
            self._closing_call = self._reactor.callLater(
                http_connections.CLOSE_IDLE_INTERVAL_S, self._close_idle
            )
        return peer

    def _close_idle(self) -> None:
        self._closing_call = None
        unused_since = (
            self._reactor.seconds()
            - http_connections.IDLE_CONNECTION_TIMEOUT_S
        )
        for address, peer in list(self._peer_by_address.items()):
            peer.close_idle(unused_since)
            if peer.unused:
                del self._peer_by_address[address]
        if self._peer_by_address:
            self._closing_call = self._reactor.callLater(
                http_connections.CLOSE_IDLE_INTERVAL_S, self._close_idle
            )


class _CallTimer:
    """Ends a call that gets no response in time.

    The time stands still while this process is late, for as long as the
    timeout at most. When it is over, what has arrived is read first.
    """

    __slots__ = (
        "_exchange",
        "_extension_s",
        "_lag",
        "_lag_before_s",
        "_peer",
        "_reactor",
        "_timeout_s",
        "_timer",
    )

    def __init__(
        self,
        reactor: Any,
        lag: process_lag_module.ProcessLag,
        timeout_s: float,
        peer: http_connections.Peer,
        exchange: http_connections.Exchange,
    ) -> None:
        self._reactor = reactor
        self._lag = lag
        self._lag_before_s = lag.total_s()
        self._extension_s = 0.0
        self._timeout_s = timeout_s
        self._peer = peer
        self._exchange = exchange
        self._timer = reactor.callLater(timeout_s, self._expire)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer.active():
            self._timer.cancel()

    def _expire(self) -> None:
        late_s = min(self._lag.total_s() - self._lag_before_s, self._timeout_s)
        pause_s = late_s - self._extension_s
        if pause_s > 0:
            self._extension_s = late_s
            self._timer = self._reactor.callLater(pause_s, self._expire)
            return
        # The reactor runs timers before it reads from connections.
        self._timer = self._reactor.callLater(0, self._end)

    def _end(self) -> None:
        self._peer.give_up(self._exchange, defer.TimeoutError())


def _encode_request(
    address: host_settings.Address,
    method: bytes,
    path: str,
    body: Any,
    headers: dict[str, str] | None,
) -> bytes:
    lines = [f"{method.decode()} {path} HTTP/1.1\r\nHost: {address}\r\n"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}\r\n")
    if body is None:
        lines.append("\r\n")
        return "".join(lines).encode()
    content = msgspec.json.encode(body)
    lines.append(
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    return "".join(lines).encode() + content
