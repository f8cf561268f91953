"""Stand-in for upstream runners, with a record of what they ran."""

import argparse
import collections
import hashlib
from typing import Any

import msgspec
from twisted.internet import interfaces
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from azurevane._internal.standins import faults as fault_models


class RunnerResource(resource.Resource):
    """One runner: waits for the time asked for, then answers.

    A request may say ``X-Run-Ms`` (run time) and ``X-Answer-Bytes``
    (size of the answer). The answer repeats ``X-Request-Id`` and the
    digest of the body, so that a caller can tell whose answer it is.
    ``GET /record`` returns how often each request id ran.
    """

    isLeaf = True

    def __init__(self, reactor: interfaces.IReactorTime, name: str) -> None:
        super().__init__()
        self.name = name
        self.faults = fault_models.Faults()
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.highest_running = 0
        self.highest_by_team: collections.Counter[str] = collections.Counter()
        self._running_by_team: collections.Counter[str] = collections.Counter()
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
            return msgspec.json.encode(
                {
                    "runs": dict(self.runs_by_request),
                    "highest_running": self.highest_running,
                    "running": self.running,
                    "running_by_team": dict(self._running_by_team),
                    "highest_by_team": dict(self.highest_by_team),
                }
            )
        if self.faults.draining:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            request.setHeader(b"Azurevane-Verdict", b"not-run")
            return b""
        return self._run(request)

    def _run(self, request: server.Request) -> Any:
        request_id = request.getHeader("X-Request-Id") or ""
        team = request.getHeader("X-Azurevane-Team") or ""
        self.runs_by_request[request_id] += 1
        if self.faults.fail_all:
            request.setResponseCode(http.INTERNAL_SERVER_ERROR)
            return b""
        self.running += 1
        self.highest_running = max(self.highest_running, self.running)
        self._running_by_team[team] += 1
        self.highest_by_team[team] = max(
            self.highest_by_team[team], self._running_by_team[team]
        )
        gone = request.notifyFinish()
        run_s = float(request.getHeader("X-Run-Ms") or 0) / 1000
        if self.faults.hang:
            run_s = 3600.0
        body = request.content.read()
        call = self._reactor.callLater(
            run_s + self.faults.delay_s,
            self._finish,
            request,
            request_id,
            body,
        )

        def ended(_: object) -> None:
            self.running -= 1
            self._running_by_team[team] -= 1
            if call.active():
                call.cancel()

        gone.addBoth(ended)
        return server.NOT_DONE_YET

    def _finish(
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
    options = parser.parse_args()
    for index, name in enumerate(options.names.split(",")):
        reactor.listenTCP(
            options.first_port + index,
            server.Site(RunnerResource(reactor, name)),
            interface=options.address,
        )
    reactor.run()


if __name__ == "__main__":
    main()
