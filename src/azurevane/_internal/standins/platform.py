"""HTTP stand-in for the platform: table, objects, host list, workers."""

import argparse
import collections
from typing import Any

from twisted.internet import interfaces
from twisted.web import server

import azurevane
from azurevane._internal.standins import httpserver
from azurevane._internal.standins import table
from azurevane._internal.standins import workers


class PlatformResource(httpserver.JsonResource):
    """Serves the platform's APIs on one HTTP port."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        super().__init__(reactor)
        self.table = table.MemoryTable()
        self.object_by_name: dict[str, Any] = {}
        self.hosts: list[dict[str, Any]] = []
        self.worker_by_name: dict[str, workers.MemoryWorker] = {}
        self.calls: collections.Counter[str] = collections.Counter()

    def answer(
        self, method: str, path: str, args: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Return the status and body of the response to a call."""
        self.calls[f"{method} {path}"] += 1
        segments = path.strip("/").split("/")
        if segments[0] == "table":
            return self._answer_table_call(segments[1], args, body)
        if segments[0] == "objects":
            return self._answer_object_call(method, segments[1], body)
        if segments[0] == "workers":
            return self._answer_worker_call(segments[1:], body)
        if path == "/hosts":
            if method == "PUT":
                self.hosts = body
            return 200, self.hosts
        if path == "/counts":
            return 200, {
                "writes": self.table.writes,
                "reads": self.table.reads,
            }
        raise LookupError(path)

    def entity_tag(self, answer: Any) -> bytes | None:
        """Return the version of a row as its ETag."""
        if isinstance(answer, dict) and answer.keys() == {"version", "value"}:
            return f'"{answer["version"]}"'.encode()
        return None

    def _answer_table_call(
        self, call: str, args: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if call == "row":
            version, value = self.table.read(args["name"])
            return 200, {"version": version, "value": value}
        if call == "rows":
            return 200, [
                {"name": name, "version": version, "value": value}
                for name, version, value in self.table.read_prefix(
                    args["prefix"]
                )
            ]
        if call == "transact":
            applied, versions = self.table.transact(
                body["checks"], body["puts"]
            )
            return (200 if applied else 409), {"versions": versions}
        raise LookupError(call)

    def _answer_object_call(
        self, method: str, name: str, body: Any
    ) -> tuple[int, Any]:
        if method == "PUT":
            self.object_by_name[name] = body
        return 200, self.object_by_name[name]

    def _answer_worker_call(
        self, segments: list[str], body: Any
    ) -> tuple[int, Any]:
        if not segments:
            reports = [
                worker.report() for worker in self.worker_by_name.values()
            ]
            return 200, [report for report in reports if report]
        name, call = segments
        if call == "add":
            size = workers.Resources(**body) if body else None
            self.worker_by_name[name] = workers.MemoryWorker(
                name, self._reactor, size
            )
            return 200, {}
        worker = self.worker_by_name.get(name)
        if worker is None:
            raise LookupError(name)
        if call == "faults":
            worker.faults = workers.WorkerFaults(**body)
            return 200, {}
        if call == "starts":
            return 200, worker.starts
        if call in ("pause", "resume", "restart"):
            getattr(worker, call)()
            return 200, {}
        if not worker.available:
            return 504, {"error": f"worker {name} doesn't answer"}
        return (200 if worker.command(call, body) else 409), {}


def main() -> None:
    """Serve the platform stand-in until it is stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(
        description="Stand-in for the platform's services."
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=9000)
    parser.add_argument(
        "--version",
        action="version",
        version=f"%(prog)s {azurevane.__version__}",
    )
    options = parser.parse_args()
    reactor.listenTCP(
        options.port,
        server.Site(PlatformResource(reactor)),
        interface=options.address,
    )
    reactor.run()


if __name__ == "__main__":
    main()
