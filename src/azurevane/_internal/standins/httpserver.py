"""JSON over HTTP for the stand-ins."""

import io
import socket
from typing import Any

import msgspec
from twisted.internet import interfaces
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from azurevane._internal.standins import faults as fault_models


class JsonResource(resource.Resource):
    """Answers JSON, showing the faults that it is told to show.

    Tests and the demo set faults by ``PUT /faults``.
    """

    isLeaf = True

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        super().__init__()
        self.faults = fault_models.Faults()
        self._reactor = reactor

    def answer(
        self, method: str, path: str, args: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Return status and body of one call."""
        raise LookupError(path)

    def render(self, request: server.Request) -> Any:
        """Answer a request, with the faults in force."""
        method = request.method.decode()
        path = request.path.decode()
        content = request.content or io.BytesIO()
        data = content.read()
        body = msgspec.json.decode(data) if data else None
        if path == "/faults":
            self.faults = msgspec.convert(body, type=fault_models.Faults)
            return b"{}"
        prefix = self.faults.down_prefix
        if self.faults.down or (prefix and path.startswith(prefix)):
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b'{"error": "down"}'
        args = {
            key.decode(): values[0].decode()
            for key, values in request.args.items()
        }
        try:
            status, answer = self.answer(method, path, args, body)
        except LookupError:
            status, answer = 404, {"error": f"no {path}"}
        if self.faults.lose_answers:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", b"application/json")
        encoded = msgspec.json.encode(answer)
        if not self.faults.delay_s:
            return encoded
        self._reactor.callLater(self.faults.delay_s, _finish, request, encoded)
        return server.NOT_DONE_YET


def _finish(request: server.Request, body: bytes) -> None:
    if request.channel is None:
        return
    request.write(body)
    request.finish()


def open_socket(address: str, port: int) -> socket.socket:
    """Return a listening socket that can be bound again at once."""
    listening = socket.create_server((address, port), reuse_port=False)
    listening.setblocking(False)
    return listening
