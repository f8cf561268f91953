"""Stand-in for upstream runners that counts what they run."""

import argparse
import hashlib
from typing import Any

import msgspec
from twisted.internet import interfaces
from twisted.web import http
from twisted.web import resource
from twisted.web import server

import azurevane
from azurevane._internal.standins import faults as fault_models
from azurevane._internal.standins import run_record

_HANG_S = 3600.0


class RunnerResource(resource.Resource):
    """One runner: answers each request after its requested run time.

    A request may set the headers ``X-Run-Ms`` (run time) and
    ``X-Answer-Bytes`` (response size). The response repeats
    ``X-Request-Id`` and the digest of the request body, so that a caller
    can match responses to requests. As at a real service, a run continues
    after its connection has closed; only a run under the ``hang`` fault
    ends with its connection. ``GET /record`` returns the run counts of
    all runners of this process.
    """

    isLeaf = True

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        name: str,
        record: run_record.RunRecord | None = None,
    ) -> None:
        super().__init__()
        self.name = name
        self.faults = fault_models.ServerFaults()
        self.record = record or run_record.RunRecord()
        self._reactor = reactor

    def render(self, request: server.Request) -> Any:
        """Run a request, or answer a control call of the tests."""
        path = request.path.decode()
        if path == "/faults":
            self.faults = msgspec.json.decode(
                request.content.read(), type=fault_models.ServerFaults
            )
            return b"{}"
        if path == "/record":
            return msgspec.json.encode(self.record.to_json_values())
        if self.faults.draining:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            request.setHeader(b"Azurevane-Verdict", b"not-run")
            return b""
        return self._run_request(request)

    def _run_request(self, request: server.Request) -> Any:
        request_id = request.getHeader("X-Request-Id") or ""
        team = request.getHeader("X-Azurevane-Team") or ""
        self.record.record_start(request_id, self.name, team)
        if self.faults.fail_all:
            self.record.record_end(self.name, team, 0.0)
            request.setResponseCode(http.INTERNAL_SERVER_ERROR)
            return b""
        started_at = self._reactor.seconds()
        body = request.content.read()
        connected = [True]

        def finish_run() -> None:
            elapsed_s = self._reactor.seconds() - started_at
            self.record.record_end(self.name, team, elapsed_s)
            if connected[0]:
                self._send_answer(request, request_id, body)

        def handle_disconnect(_: object) -> None:
            connected[0] = False
            if hang_timer is not None and hang_timer.active():
                hang_timer.cancel()
                finish_run()

        run_s = float(request.getHeader("X-Run-Ms") or 0) / 1000
        hang_timer = None
        if self.faults.hang:
            hang_timer = self._reactor.callLater(_HANG_S, finish_run)
        else:
            self._reactor.callLater(run_s + self.faults.delay_s, finish_run)
        request.notifyFinish().addBoth(handle_disconnect)
        return server.NOT_DONE_YET

    def _send_answer(
        self, request: server.Request, request_id: str, body: bytes
    ) -> None:
        size = int(request.getHeader("X-Answer-Bytes") or 0)
        answer = msgspec.json.encode(
            {
                "runner": self.name,
                "request_id": request_id,
                "digest": hashlib.sha256(body).hexdigest(),
            }
        )
        answer += b" " * max(size - len(answer), 0)
        request.setHeader(b"X-Request-Id", request_id.encode())
        tag = request.getHeader(b"Azurevane-Request") or b""
        request.setHeader(b"Azurevane-Request", tag)
        request.setHeader(b"Content-Length", str(len(answer)).encode())
        if self.faults.cut_body_at is not None:
            request.write(answer[: self.faults.cut_body_at])
            request.transport.loseConnection()
            return
        request.write(answer)
        request.finish()


def main() -> None:
    """Serve runners on consecutive ports until stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(
        description="Stand-in for upstream runners."
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--first-port", type=int, default=9100)
    parser.add_argument("--names", default="runner-0")
    parser.add_argument(
        "--version",
        action="version",
        version=f"%(prog)s {azurevane.__version__}",
    )
    options = parser.parse_args()
    record = run_record.RunRecord()
    for index, name in enumerate(options.names.split(",")):
        reactor.listenTCP(
            options.first_port + index,
            server.Site(RunnerResource(reactor, name, record)),
            interface=options.address,
        )
    reactor.run()


if __name__ == "__main__":
    main()
