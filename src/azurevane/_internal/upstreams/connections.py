"""The connections of one entry host to each runner."""

import collections
from typing import Any

from returns import result
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.upstreams import connection as connection_module
from azurevane._internal.upstreams import verdicts

# At least this many connections, also where a runner allows fewer than
# one per entry host.
_LEAST_CONNECTIONS = 1
_CONNECT_TIMEOUT_S = 2.0
# Shorter than the keep-alive time of common HTTP servers (5 s and more),
# so that few connections are closed by the runner just when reused.
_IDLE_TIMEOUT_S = 4.0


def connections_per_host(connections: int, seats: int) -> int:
    """Return an entry host's part of a runner's connections."""
    return max(connections // max(seats, 1), _LEAST_CONNECTIONS)


class RunnerConnections:
    """Owns this host's connections to one runner, idle and in use."""

    def __init__(self, reactor: Any, address: str, port: int) -> None:
        self._reactor = reactor
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, address, port, timeout=_CONNECT_TIMEOUT_S
        )
        self._open: set[connection_module.RunnerConnection] = set()
        self._idle: collections.deque[connection_module.RunnerConnection] = (
            collections.deque()
        )
        self._timer_by_idle: dict[connection_module.RunnerConnection, Any] = {}
        self._opening = 0

    @property
    def count(self) -> int:
        """Number of connections open or being opened."""
        return len(self._open) + self._opening

    async def acquire(
        self, limit: int, *, fresh: bool
    ) -> result.Result[
        connection_module.RunnerConnection, verdict_models.Failure
    ]:
        """Return a connection on which a request may be written now.

        Args:
            limit: most connections to this runner.
            fresh: whether only a new connection will do.
        """
        while self._idle and not fresh:
            connection = self._take_idle()
            if connection.unused():
                return result.Success(connection)
            self._drop(connection)
        while self._idle and self.count >= limit:
            self._drop(self._take_idle())
        if self.count >= limit:
            return result.Failure(verdicts.build_failure("no-connection"))
        return await self._connect()

    async def _connect(
        self,
    ) -> result.Result[
        connection_module.RunnerConnection, verdict_models.Failure
    ]:
        factory = protocol.Factory.forProtocol(
            lambda: connection_module.RunnerConnection(self)
        )
        self._opening += 1
        try:
            connection = await self._endpoint.connect(factory)
        except (error.ConnectError, OSError) as reason:
            return result.Failure(verdicts.classify_connect_error(reason))
        finally:
            self._opening -= 1
        self._open.add(connection)
        if not connection.unused():
            self._drop(connection)
            return result.Failure(
                verdicts.build_failure("closed-before-request")
            )
        return result.Success(connection)

    def _take_idle(self) -> connection_module.RunnerConnection:
        # The one used last is the least likely to be closed by the runner.
        connection = self._idle.pop()
        self._timer_by_idle.pop(connection).cancel()
        return connection

    def _drop(self, connection: connection_module.RunnerConnection) -> None:
        self._open.discard(connection)
        connection.abort()

    def connection_idle(
        self, connection: connection_module.RunnerConnection
    ) -> None:
        """Take back a connection whose answer was read whole."""
        self._idle.append(connection)
        self._timer_by_idle[connection] = self._reactor.callLater(
            _IDLE_TIMEOUT_S, self._expire, connection
        )

    def _expire(self, connection: connection_module.RunnerConnection) -> None:
        self._idle.remove(connection)
        del self._timer_by_idle[connection]
        self._drop(connection)

    def connection_lost(
        self, connection: connection_module.RunnerConnection
    ) -> None:
        """Forget a connection."""
        self._open.discard(connection)
        timer = self._timer_by_idle.pop(connection, None)
        if timer is not None:
            timer.cancel()
            self._idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._drop(self._take_idle())
