"""JSON over HTTP with fault injection, for the stand-ins."""

import dataclasses
import io
import random
from typing import Any

import msgspec
from twisted.internet import interfaces
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from azurevane._internal.standins import faults as fault_models
from azurevane._internal.utils import token_bucket

_TOO_MANY_REQUESTS = 429  # twisted.web.http has no name for it


class JsonResource(resource.Resource):
    """Answers calls with JSON and injects the configured faults.

    Tests and the demo set the faults with ``PUT /faults``.
    """

    isLeaf = True

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        super().__init__()
        self.faults = fault_models.ServerFaults()
        self._reactor = reactor
        self._random = random.Random(1)
        self._bucket: token_bucket.TokenBucket | None = None

    def answer(
        self, method: str, path: str, args: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Return the status and body of the response to a call."""
        raise LookupError(path)

    def render(self, request: server.Request) -> Any:
        """Answer a request, subject to the configured faults."""
        method = request.method.decode()
        path = request.path.decode()
        content = request.content or io.BytesIO()
        data = content.read()
        body = msgspec.json.decode(data) if data else None
        if path == "/faults":
            self.faults = msgspec.convert(body, type=fault_models.ServerFaults)
            return b"{}"
        args = {
            key.decode(): values[0].decode()
            for key, values in request.args.items()
        }
        call = _PendingCall(request, method, path, args, body)
        if not path.startswith(self.faults.only):
            return self._answer_call(call, fault_models.ServerFaults())
        refused = self._refusal_status()
        if refused is not None:
            request.setResponseCode(refused)
            return b'{"error": "refused by a fault"}'
        if not self.faults.slow_s:
            return self._answer_call(call, self.faults)
        # The call has been read already, so it is applied even if the
        # client disconnects meanwhile.
        self._reactor.callLater(
            self.faults.slow_s, self._answer_call_later, call, self.faults
        )
        return server.NOT_DONE_YET

    def _refusal_status(self) -> int | None:
        if self.faults.down or self._random.random() < (
            self.faults.reject_share
        ):
            return http.SERVICE_UNAVAILABLE
        if self.faults.calls_per_s is None:
            return None
        bucket = self._bucket
        if bucket is None or bucket.rate != self.faults.calls_per_s:
            bucket = token_bucket.TokenBucket(
                self.faults.calls_per_s,
                max(self.faults.calls_per_s, 1.0)
                if self.faults.calls_per_s
                else 0.0,
            )
            self._bucket = bucket
        if bucket.try_acquire(self._reactor.seconds()):
            return None
        return _TOO_MANY_REQUESTS

    def _answer_call_later(
        self, call: "_PendingCall", faults: fault_models.ServerFaults
    ) -> None:
        answer = self._answer_call(call, faults)
        if answer is not server.NOT_DONE_YET:
            _finish_response(call.request, answer)

    def _answer_call(
        self, call: "_PendingCall", faults: fault_models.ServerFaults
    ) -> Any:
        request = call.request
        try:
            status, answer = self.answer(
                call.method, call.path, call.args, call.body
            )
        except LookupError:
            status, answer = 404, {"error": f"no {call.path}"}
        if faults.down_after and call.path.startswith(faults.down_after):
            self.faults = dataclasses.replace(
                self.faults, down=True, down_after=""
            )
        if faults.lose_answers:
            if request.channel is not None:
                request.transport.abortConnection()
            return server.NOT_DONE_YET
        encoded = msgspec.json.encode(answer)
        if request.channel is not None:
            request.setResponseCode(status)
            request.setHeader(b"Content-Type", b"application/json")
            tag = self.entity_tag(answer)
            if tag and request.setETag(tag) is http.CACHED:
                encoded = b""
        if not faults.delay_s:
            return encoded
        self._reactor.callLater(
            faults.delay_s, _finish_response, request, encoded
        )
        return server.NOT_DONE_YET

    def entity_tag(self, answer: Any) -> bytes | None:
        """Return the ETag of an answer, or None."""
        return None


@dataclasses.dataclass(frozen=True)
class _PendingCall:
    request: server.Request
    method: str
    path: str
    args: dict[str, str]
    body: Any


def _finish_response(request: server.Request, body: bytes) -> None:
    if request.channel is None:
        return
    request.write(body)
    request.finish()
