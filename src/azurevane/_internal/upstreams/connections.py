"""Connection pools of an entry host, one for each runner."""

import collections
from typing import Any

from returns import result
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.upstreams import connection as connection_module
from azurevane._internal.upstreams import verdicts

# Lower bound of the connections of an entry host to a runner, also where the
# runner allows fewer than one per entry host.
_MIN_CONNECTIONS_PER_HOST = 1
CONNECT_TIMEOUT_S = 2.0
# Shorter than the keep-alive time of common HTTP servers (5 s and more), so
# that a runner rarely closes a connection just when it is reused.
_IDLE_TIMEOUT_S = 4.0


def connections_per_host(connections: int, seats: int) -> int:
    """Return how many connections to a runner each entry host may open.

    Args:
        connections: connections that the runner allows in total.
        seats: number of entry hosts that share them.
    """
    return max(connections // max(seats, 1), _MIN_CONNECTIONS_PER_HOST)


class RunnerConnections:
    """Owns this host's connections to one runner, idle and in use."""

    def __init__(self, reactor: Any, address: str, port: int) -> None:
        self._reactor = reactor
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, address, port, timeout=CONNECT_TIMEOUT_S
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
        self, limit: int, *, new_only: bool
    ) -> result.Result[
        connection_module.RunnerConnection, verdict_models.Failure
    ]:
        """Return a connection that is ready for a request.

        Args:
            limit: maximum number of connections to this runner.
            new_only: whether idle connections mustn't be reused.
        """
        while self._idle and not new_only:
            connection = self._pop_idle()
            if connection.is_ready():
                return result.Success(connection)
            self._discard(connection)
        while self._idle and self.count >= limit:
            self._discard(self._pop_idle())
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
        if not connection.is_ready():
            self._discard(connection)
            return result.Failure(
                verdicts.build_failure("closed-before-request")
            )
        return result.Success(connection)

    def _pop_idle(self) -> connection_module.RunnerConnection:
        # The most recently used connection is the least likely to have been
        # closed by the runner.
        connection = self._idle.pop()
        self._timer_by_idle.pop(connection).cancel()
        return connection

    def _discard(self, connection: connection_module.RunnerConnection) -> None:
        self._open.discard(connection)
        connection.abort()

    def handle_connection_idle(
        self, connection: connection_module.RunnerConnection
    ) -> None:
        """Take back a connection whose answer was read to its end."""
        self._idle.append(connection)
        self._timer_by_idle[connection] = self._reactor.callLater(
            _IDLE_TIMEOUT_S, self._close_expired, connection
        )

    def _close_expired(
        self, connection: connection_module.RunnerConnection
    ) -> None:
        self._idle.remove(connection)
        del self._timer_by_idle[connection]
        self._discard(connection)

    def handle_connection_lost(
        self, connection: connection_module.RunnerConnection
    ) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        timer = self._timer_by_idle.pop(connection, None)
        if timer is not None:
            timer.cancel()
            self._idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._discard(self._pop_idle())
