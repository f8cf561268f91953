"""Answers of runners, passed on with back-pressure or discarded."""

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
    """Consumer of an answer's body; may apply back-pressure."""

    def registerProducer(  # noqa: N802 (name of the interface)
        self, producer: Any, streaming: bool
    ) -> None:
        """Register the producer that writes the body and can be paused."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregister the producer; nothing more will be written."""

    def write(self, data: bytes) -> None:
        """Receive a part of the body."""


@implementer(interfaces.IPushProducer)
class AnswerRelay(protocol.Protocol):
    """Passes a body on to a sink, with back-pressure while it reads.

    Attributes:
        finished: fires when the body was read to its end, or fails.
    """

    def __init__(self, sink: AnswerSink | None) -> None:
        self.finished: defer.Deferred[None] = defer.Deferred()
        self._sink = sink
        self._discarding = sink is None

    def connectionMade(self) -> None:  # noqa: N802
        if self._sink is not None:
            self._sink.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._sink is not None:
            self._sink.write(data)

    def discard_rest(self) -> None:
        """Read the rest of the body without back-pressure."""
        self._discarding = True
        if self.transport is not None:
            self.transport.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause reading from the runner while the sink is full."""
        if not self._discarding:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the runner."""
        self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the rest, because the sink is closed.

        The answer is read to its end, since the runner's slot is free only
        then.
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
        length: length of the body in bytes; None if it is chunked.
        failure: failure that the status stands for, or None.
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
        """Pass the body on to a relay; return a failure if it is cut off."""
        self._response.deliverBody(relay)
        remaining_s = max(self._not_after - self._reactor.seconds(), 0.0)
        relay.finished.addTimeout(remaining_s, self._reactor)
        try:
            await relay.finished
        except Exception as reason:  # Any error means an incomplete body.
            self._connection.abort()
            return verdicts.classify_answer_error(reason)
        return None

    async def discard_body(self) -> verdict_models.Failure | None:
        """Read the body to its end and discard it."""
        return await self.deliver_body(AnswerRelay(None))
