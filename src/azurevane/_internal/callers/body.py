"""The body of a caller's request, passed on as it arrives."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import iweb
from zope.interface import implementer

# A body up to this size is buffered until the request has ended, so that it
# can be sent again. It is also the size of one read of Twisted's sockets.
REPEATABLE_BODY_LIMIT_BYTES = 64 * 1024


class BodyIncomplete(Exception):
    """Raised when the caller won't send the rest of a body."""


class CallerBody:
    """Buffers the start of a body and feeds the rest to one attempt.

    Attributes:
        length: bytes; None if the body is chunked.
        complete: whether the whole body has arrived.
        paused: whether reading from the caller is paused.
    """

    def __init__(
        self,
        length: int | None,
        transport: interfaces.ITCPTransport,
        on_data_wanted: Callable[[], None],
    ) -> None:
        self.length = length
        self.complete = length == 0
        self.paused = False
        self.received_bytes = 0
        self._transport = transport
        self._on_data_wanted = on_data_wanted
        self._buffered: list[bytes] | None = []
        self._feed: BodyFeed | None = None
        self._aborted = False

    @property
    def repeatable(self) -> bool:
        """Whether the body can be sent from its start."""
        return self._buffered is not None and not self._aborted

    @property
    def awaits_data(self) -> bool:
        """Whether an attempt waits for bytes from the caller."""
        return self._feed is not None and not self.complete and not self.paused

    def new_feed(self) -> "BodyFeed | None":
        """Return a producer for one attempt; None for an empty body."""
        assert self.repeatable, "the start of the body is no longer buffered"
        if self.length == 0:
            return None
        self._feed = BodyFeed(self)
        return self._feed

    def begin_feed(self, consumer: interfaces.IConsumer) -> bool:
        """Write the buffered data; return whether that is the whole body."""
        assert self._buffered is not None
        for data in self._buffered:
            consumer.write(data)
        if not self.complete:
            self._on_data_wanted()
            self.resume()
        return self.complete

    def handle_data(self, data: bytes) -> None:
        """Buffer a chunk of the body and pass it on to the attempt."""
        if self._aborted:
            return
        self.received_bytes += len(data)
        if self._buffered is not None:
            self._buffered.append(data)
        if self._feed is not None:
            self._feed.write_data(data)
            if (
                self._feed.started
                and self.received_bytes > REPEATABLE_BODY_LIMIT_BYTES
            ):
                self._buffered = None

    def handle_complete(self) -> None:
        """Record that the caller has sent the whole body."""
        self.complete = True
        if self._feed is not None:
            self._feed.finish_body()

    def abort(self) -> None:
        """Drop the body and fail the attempt that still waits for it."""
        self._aborted = True
        self._buffered = None
        if self._feed is not None:
            self._feed.abort_body()

    def detach(self, feed: "BodyFeed") -> None:
        """Stop feeding an attempt that needs no more data."""
        if self._feed is feed:
            self._feed = None
            self.pause()

    def pause(self) -> None:
        """Stop reading from the caller."""
        if not self.complete:
            self.paused = True
            self._transport.pauseProducing()

    def resume(self) -> None:
        """Read from the caller again."""
        self.paused = False
        if not self.complete:
            self._transport.resumeProducing()


@implementer(iweb.IBodyProducer)
class BodyFeed:
    """Writes a body to one attempt at a runner."""

    def __init__(self, body: CallerBody) -> None:
        self.length: Any = (
            iweb.UNKNOWN_LENGTH if body.length is None else body.length
        )
        self._body = body
        self._consumer: interfaces.IConsumer | None = None
        self._finished: defer.Deferred[None] = defer.Deferred()

    def startProducing(  # noqa: N802 (name of the interface)
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        """Write the body to a consumer until it is complete."""
        if not self._body.repeatable:
            return defer.fail(BodyIncomplete())
        self._consumer = consumer
        if self._body.begin_feed(consumer):
            self.finish_body()
        return self._finished

    @property
    def started(self) -> bool:
        """Whether the attempt has begun to read the body."""
        return self._consumer is not None

    def write_data(self, data: bytes) -> None:
        """Write a chunk of the body."""
        if self._consumer is not None:
            self._consumer.write(data)

    def finish_body(self) -> None:
        """Signal that the whole body was written."""
        if self._consumer is not None and not self._finished.called:
            self._finished.callback(None)

    def abort_body(self) -> None:
        """Signal that the rest of the body won't arrive."""
        if self._consumer is not None and not self._finished.called:
            self._finished.errback(BodyIncomplete())

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the caller."""
        self._body.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read from the caller again."""
        self._body.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop feeding, because the runner's connection was lost."""
        self._consumer = None
        self._body.detach(self)
