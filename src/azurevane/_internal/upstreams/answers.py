"""Answers of runners, passed on or dropped with back-pressure."""

from typing import Any, Protocol

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.upstreams import connection as connection_module
from azurevane._internal.upstreams import verdicts


class AnswerSink(Protocol):
    """Takes the body of an answer and may slow its arrival."""

    def registerProducer(  # noqa: N802 (name of the interface)
        self, producer: Any, streaming: bool
    ) -> None:
        """Note who writes and can be paused."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Note that no more will be written."""

    def write(self, data: bytes) -> None:
        """Take a part of the body."""


@implementer(interfaces.IPushProducer)
class AnswerRelay(protocol.Protocol):
    """Passes a body on to a sink, at its pace until its reader leaves."""

    def __init__(self, sink: AnswerSink | None) -> None:
        self.finished: defer.Deferred[None] = defer.Deferred()
        self._sink = sink
        self._dropping = sink is None

    def connectionMade(self) -> None:  # noqa: N802
        if self._sink is not None:
            self._sink.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._sink is not None:
            self._sink.write(data)

    def discard_rest(self) -> None:
        """Read the rest to its end, however slow the reader is."""
        self._dropping = True
        if self.transport is not None:
            self.transport.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the runner while the sink is full."""
        if not self._dropping:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read from the runner again."""
        self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the rest, because the sink is gone.

        The runner is read to the end, since its slot is free only then.
        """
        self.discard_rest()

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        if self._sink is not None:
            self._sink.unregisterProducer()
        if reason.check(client.ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(reason)


class RunnerAnswer:
    """The head of a runner's answer; its body can be read once.

    Attributes:
        length: bytes of the body; None if it is chunked.
        failure: what the status stands for, if it is a failure.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        connection: connection_module.RunnerConnection,
        response: iweb.IResponse,
        not_after: float,
        failure: verdict_models.Failure | None,
    ) -> None:
        self.status: int = response.code
        self.phrase: bytes = response.phrase
        self.headers: http_headers.Headers = response.headers
        self.length: int | None = (
            None if response.length is iweb.UNKNOWN_LENGTH else response.length
        )
        self.failure = failure
        self._reactor = reactor
        self._connection = connection
        self._response = response
        self._not_after = not_after

    async def deliver_body(
        self, relay: AnswerRelay
    ) -> verdict_models.Failure | None:
        """Read the body to its end; return why it isn't whole, if so."""
        self._response.deliverBody(relay)
        left_s = max(self._not_after - self._reactor.seconds(), 0.0)
        relay.finished.addTimeout(left_s, self._reactor)
        try:
            await relay.finished
        except Exception as reason:  # Whatever it is, the body isn't whole.
            self._connection.abort()
            return verdicts.classify_answer_error(reason)
        return None

    async def discard_body(self) -> verdict_models.Failure | None:
        """Read the body to its end and drop it."""
        return await self.deliver_body(AnswerRelay(None))
