"""HTTP transport for calls to the platform with JSON bodies."""

import io
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

from azurevane import exceptions
from azurevane._internal.table_service import breaker as breaker_module


class JsonTransport:
    """Sends JSON over HTTP and decodes JSON answers, within a timeout.

    After consecutive failures, a circuit breaker rejects calls at once.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        base_url: str,
        timeout_s: float,
        *,
        agent: iweb.IAgent | None = None,
        breaker: breaker_module.CircuitBreaker | None = None,
    ) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        pool = client.HTTPConnectionPool(reactor)
        # An automatic retry would send a request twice if the platform has
        # just closed the connection. The caller decides about retries.
        pool.retryAutomatically = False
        self._pool = pool
        self.breaker = breaker or breaker_module.CircuitBreaker()
        self._agent = agent or client.Agent(
            reactor, connectTimeout=timeout_s, pool=pool
        )

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        if_none_match: int | None = None,
    ) -> tuple[int, Any]:
        """Send one call and return its status and decoded body.

        Args:
            if_none_match: row version for which the platform answers with
                status 304 and no body.

        Raises:
            StoreNotCalled: the circuit breaker is open.
            StoreUnavailable: no complete answer arrived in time; the call
                may have taken effect.
        """
        if not self.breaker.allow_call(self._reactor.seconds()):
            raise exceptions.StoreNotCalled(
                f"{method} {path} isn't sent: the platform failed"
                f" {self.breaker.failures} times in a row"
            )
        try:
            status, answer = await self._call_with_timeout(
                method, path, body, if_none_match
            )
        except BaseException:
            self.breaker.record_failure(self._reactor.seconds())
            raise
        self.breaker.record_success()
        return status, answer

    async def _call_with_timeout(
        self, method: str, path: str, body: Any, if_none_match: int | None
    ) -> tuple[int, Any]:
        call = defer.ensureDeferred(
            self._send_call(method, path, body, if_none_match)
        )
        call.addTimeout(self._timeout_s, self._reactor)
        try:
            return await call
        except (
            error.ConnectError,
            error.ConnectionClosed,
            error.DNSLookupError,
            defer.TimeoutError,
            defer.CancelledError,
            client.ResponseFailed,
            client.PartialDownloadError,
            msgspec.DecodeError,
        ) as failure:
            raise exceptions.StoreUnavailable(
                f"{method} {path} at the platform: {failure!r}"
            ) from failure

    async def _send_call(
        self, method: str, path: str, body: Any, if_none_match: int | None
    ) -> tuple[int, Any]:
        headers = http_headers.Headers({"Content-Type": ["application/json"]})
        if if_none_match is not None:
            headers.addRawHeader("If-None-Match", f'"{if_none_match}"')
        producer = None
        if body is not None:
            producer = client.FileBodyProducer(
                io.BytesIO(msgspec.json.encode(body))
            )
        response = await self._agent.request(
            method.encode(),
            f"{self._base_url}{path}".encode(),
            headers,
            producer,
        )
        data = await client.readBody(response)
        if response.code >= 500 or response.code == 429:
            raise exceptions.StoreUnavailable(
                f"{method} {path} at the platform: HTTP {response.code}"
            )
        return response.code, msgspec.json.decode(data) if data else None

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self._pool.closeCachedConnections()
