"""One request of a caller and its answer, streamed both ways."""

from typing import Any, Protocol

from returns import pipeline
from twisted.web import http
from twisted.web import http_headers

from azurevane._internal.callers import body as body_module
from azurevane._internal.callers import heads
from azurevane._internal.callers import problems
from azurevane._internal.models import request as request_models

# After an early answer, this much of the rest of a body is read and
# dropped before the connection is closed.
DISCARD_LIMIT_BYTES = 256 * 1024
# A sender whose body is being read must send something within this time.
BODY_STALL_S = 10.0

_DROPPED_RESPONSE_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"trailer",
        b"upgrade",
        b"azurevane-verdict",
        b"azurevane-request",
    )
)


class ExchangeHandler(Protocol):
    """Decides about each request; implemented by the entry daemon."""

    def handle_request(self, exchange: "CallerRequest") -> None:
        """Handle a request whose head has arrived."""

    def handle_caller_disconnect(self, exchange: "CallerRequest") -> None:
        """Handle the loss of the caller's connection."""

    def handle_input_failure(
        self, exchange: "CallerRequest", refusal: request_models.Refusal
    ) -> None:
        """Refuse a request whose body turned out to be unacceptable."""


class CallerRequest(http.Request):
    """A request that is admitted or refused before its body is read.

    ``twisted.web`` would spool a larger body into a temporary file; the
    hosts have no disks, so the body is passed on as it arrives.

    Attributes:
        head_accepted: whether its head was complete and valid.
        streaming: whether the head of a runner's answer was passed on.
        answered: whether the answer is complete or the caller disconnected.
        max_body_bytes: limit that is checked while the body arrives.
        active_request: state that the handler keeps for the request.
    """

    handler: ExchangeHandler
    head: heads.RequestHead
    body: body_module.CallerBody
    head_accepted = False
    streaming = False
    chunked: int
    answered = False
    max_body_bytes: int | None = None
    active_request: Any = None
    _discarded_bytes = 0
    _stall_check_call: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Check the complete head and hand over the request."""
        self.method = self.channel._command
        self.uri = self.channel._path
        self.clientproto = self.channel._version
        self.body = body_module.CallerBody(
            length, self.channel.transport, self._handle_body_wanted
        )
        parsed = heads.parse_head(
            self.method.decode("ascii"),
            self.uri.decode("latin-1"),
            self.requestHeaders,
            length,
            self.clientproto,
        )
        if not pipeline.is_successful(parsed):
            self.channel.refuse_input(http.BAD_REQUEST, "malformed")
            return
        self.head = parsed.unwrap()
        self.head_accepted = True
        self.notifyFinish().addErrback(lambda _: self._handle_disconnect())
        if length != 0:
            self.body.pause()
            self.handler.handle_request(self)

    @property
    def body_paused(self) -> bool:
        """Whether the caller's connection must not be read now."""
        return self.head_accepted and not self.answered and self.body.paused

    def _handle_body_wanted(self) -> None:
        expected = self.requestHeaders.getRawHeaders(b"Expect", [b""])[0]
        if (
            expected.lower() == b"100-continue"
            and self.clientproto == b"HTTP/1.1"
            and not self.body.received_bytes
            and not self.streaming
        ):
            self.channel._send100Continue()
        if self._stall_check_call is None:
            self._stall_check_call = self.channel.callLater(
                BODY_STALL_S, self._check_stall, self.body.received_bytes
            )

    def _check_stall(self, received_before: int) -> None:
        self._stall_check_call = None
        if self.answered or self.body.complete:
            return
        received = self.body.received_bytes
        if self.body.awaits_data and received == received_before:
            self._refuse_body(http.REQUEST_TIMEOUT, "body-too-slow")
            return
        self._stall_check_call = self.channel.callLater(
            BODY_STALL_S, self._check_stall, received
        )

    def _refuse_body(self, status: int, problem: str) -> None:
        detail = "The body is too slow or too large"
        self.abort_input(request_models.Refusal("", status, problem, detail))

    def abort_input(self, refusal: request_models.Refusal) -> None:
        """Fail a request whose body can't be received whole."""
        if not self.answered:
            self.handler.handle_input_failure(self, refusal)
        self.body.abort()

    def _handle_disconnect(self) -> None:
        self._cancel_stall_check()
        if not self.answered:
            self.answered = True
            self.handler.handle_caller_disconnect(self)
        self.body.abort()

    def _cancel_stall_check(self) -> None:
        if self._stall_check_call is not None:
            self._stall_check_call.cancel()
            self._stall_check_call = None

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Pass a chunk of the body on, or drop it after an early answer."""
        if not self.head_accepted:
            return
        if self.answered:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > DISCARD_LIMIT_BYTES:
                self.channel.loseConnection()
            return
        limit = self.max_body_bytes
        received = self.body.received_bytes + len(data)
        if limit is not None and received > limit:
            self._refuse_body(http.REQUEST_ENTITY_TOO_LARGE, "body-too-large")
            return
        self.body.handle_data(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handle the end of the request's input."""
        self._cancel_stall_check()
        if not self.head_accepted:
            return
        self.body.handle_complete()
        if self.head.length == 0:
            # Handed over only now: twisted.web can't finish a request
            # before it has recorded the end of its (empty) body.
            self.handler.handle_request(self)
        elif self.answered and not self.finished and not self._disconnected:
            self.finish()

    def refuse(self, refusal: request_models.Refusal) -> None:
        """Answer with a problem document and end the exchange.

        If part of a runner's answer was passed on, the connection is
        aborted instead.
        """
        if self.answered:
            return
        if self.streaming:
            self.abort()
            return
        body = problems.encode_problem(refusal)
        self.setResponseCode(refusal.status)
        self.setHeader(b"Content-Type", b"application/problem+json")
        self.setHeader(b"Azurevane-Verdict", refusal.verdict.value.encode())
        retry_after = problems.retry_after_header(refusal)
        if retry_after is not None:
            self.setHeader(b"Retry-After", retry_after)
        if refusal.status == http.UNAUTHORIZED:
            self.setHeader(b"WWW-Authenticate", b"Bearer")
        self.answer_bytes(body)

    def answer_bytes(self, body: bytes) -> None:
        """Write a whole body and end the exchange."""
        if self.answered:
            return
        self.setHeader(b"Content-Length", str(len(body)).encode())
        self._announce_close()
        self.write(body)
        self.end_answer()

    def start_answer(
        self,
        status: int,
        phrase: bytes | None,
        headers: http_headers.Headers,
        length: int | None,
    ) -> None:
        """Pass on the head of an answer; the body follows by ``write``."""
        assert not self.answered and not self.streaming, "one answer only"
        self.streaming = True
        self.setResponseCode(status, phrase)
        nominated = {
            token.strip().lower()
            for value in headers.getRawHeaders(b"Connection", [])
            for token in value.split(b",")
        }
        for name, values in headers.getAllRawHeaders():
            lowered = name.lower()
            if lowered not in _DROPPED_RESPONSE_HEADERS | nominated:
                self.responseHeaders.setRawHeaders(name, values)
        bodiless = self.method == b"HEAD" or status in http.NO_BODY_CODES
        if length is not None and not bodiless:
            self.setHeader(b"Content-Length", str(length).encode())
        self._announce_close()

    def _announce_close(self) -> None:
        if not self.body.complete or self.channel.factory.closing:
            self.channel.persistent = False
        if not self.channel.persistent:
            self.setHeader(b"Connection", b"close")

    def end_answer(self) -> None:
        """End an answer that was written whole."""
        if self.answered:
            return
        self.answered = True
        self._cancel_stall_check()
        if self.producer is not None:
            # An early answer ends before the runner's answer is read whole.
            self.unregisterProducer()
        if self.body.complete:
            self.finish()
            return
        # The whole answer is sent at once. The rest of the request's body is
        # read and dropped for ``channel.LINGER_S``, since closing with
        # unread input would reset the connection and could lose the answer.
        if not self.startedWriting:
            self.write(b"")
        if self.chunked:
            self.channel.write(b"0\r\n\r\n")
            self.chunked = 0
        self.body.abort()
        self.channel.begin_lingering_close()

    def abort(self) -> None:
        """Abort the connection, so that no partial answer looks whole."""
        self.answered = True
        self._cancel_stall_check()
        self.body.abort()
        if not self._disconnected and self.channel is not None:
            self.channel.transport.abortConnection()
