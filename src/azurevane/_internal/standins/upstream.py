"""Stand-in for upstream runners, with a record of what they ran."""

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
    """One runner: waits for the time asked for, then answers.

    A request may say ``X-Run-Ms`` (run time) and ``X-Answer-Bytes``
    (size of the answer). The answer repeats ``X-Request-Id`` and the
    digest of the body, so that a caller can tell whose answer it is.
    A run goes on after its connection has closed, as it would at a real
    service; only a hanging one ends with its connection.
    ``GET /record`` returns what all runners of this process have run.
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
        self.faults = fault_models.Faults()
        self.record = record or run_record.RunRecord()
        self._reactor = reactor

    def render(self, request: server.Request) -> Any:
        """Run a request, or answer a call of the tests."""
        path = request.path.decode()
        if path == "/faults":
            self.faults = msgspec.json.decode(
                request.content.read(), type=fault_models.Faults
            )
            return b"{}"
        if path == "/record":
            return msgspec.json.encode(self.record.as_plain())
        if self.faults.draining:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            request.setHeader(b"Azurevane-Verdict", b"not-run")
            return b""
        return self._run(request)

    def _run(self, request: server.Request) -> Any:
        request_id = request.getHeader("X-Request-Id") or ""
        team = request.getHeader("X-Azurevane-Team") or ""
        self.record.started(request_id, self.name, team)
        if self.faults.fail_all:
            self.record.ended(self.name, team, 0.0)
            request.setResponseCode(http.INTERNAL_SERVER_ERROR)
            return b""
        started_at = self._reactor.seconds()
        body = request.content.read()
        connected = [True]

        def finish() -> None:
            spent = self._reactor.seconds() - started_at
            self.record.ended(self.name, team, spent)
            if connected[0]:
                self._answer(request, request_id, body)

        def closed(_: object) -> None:
            connected[0] = False
            if hanging is not None and hanging.active():
                hanging.cancel()
                finish()

        run_s = float(request.getHeader("X-Run-Ms") or 0) / 1000
        hanging = None
        if self.faults.hang:
            hanging = self._reactor.callLater(_HANG_S, finish)
        else:
            self._reactor.callLater(run_s + self.faults.delay_s, finish)
        request.notifyFinish().addBoth(closed)
        return server.NOT_DONE_YET

    def _answer(
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
    """Run runners on consecutive ports until stopped."""
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
