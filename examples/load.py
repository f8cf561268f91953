"""Send burst traffic to the entry hosts and record each response.

Each queue in turn has five times its mean load for some seconds, then a
twentieth. Like the platform's load balancer, sends only to entry hosts
whose /readyz answers 200. Writes one JSON line per request at the end.
"""

import argparse
import hashlib
import json
import pathlib
import random
import time

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
READY_INTERVAL_S = 0.25
POST_PROBABILITY = 0.25
RUN_MS_MEAN = 300


class OneShotBody:
    """In-memory request body of a POST."""

    def __init__(self, data):
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer):  # noqa: N802
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):  # noqa: N802
        pass

    def resumeProducing(self):  # noqa: N802
        pass

    def stopProducing(self):  # noqa: N802
        pass


def plan_requests(seed, queues, teams, seconds, mean_rate, burst_s):
    """Return (at, queue, team, method, run_ms), sorted by time."""
    rng = random.Random(seed)
    weights = [team["share"] for team in teams]
    plan = []
    for index, queue in enumerate(queues):
        at = 0.0
        while at < seconds:
            burst_queue = int(at / burst_s) % len(queues)
            burst_over = int(at / burst_s) >= index + 1
            factor = 1.0
            if burst_queue == index:
                factor = BURST_FACTOR
            elif burst_over:
                factor = QUIET_FACTOR
            at += rng.expovariate(mean_rate * factor)
            method = "POST" if rng.random() < POST_PROBABILITY else "GET"
            team = rng.choices(teams, weights)[0]["name"]
            run_ms = int(rng.uniform(0.5, 1.5) * RUN_MS_MEAN)
            plan.append((at, queue, team, method, run_ms))
    return sorted(plan)


class RequestSender:
    """Sends the planned requests and writes the responses."""

    def __init__(self, options):
        manifest = json.loads(pathlib.Path(options.manifest).read_text())
        self.queues = [queue["name"] for queue in manifest["queues"]]
        self.key_by_team = json.loads(pathlib.Path(options.keys).read_text())
        self.entries = options.entries.split(",")
        self.ready = set()
        self.rows = []
        self.out_path = pathlib.Path(options.out)
        self.rng = random.Random(options.seed + 1)
        self.plan = plan_requests(
            options.seed,
            self.queues,
            manifest["teams"],
            options.seconds,
            options.mean_rate,
            options.burst_seconds,
        )
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 200
        pool.retryAutomatically = False
        self.agent = client.Agent(reactor, connectTimeout=2, pool=pool)
        self.sends = []

    @defer.inlineCallbacks
    def check_ready(self, entry):
        try:
            response_wait = self.agent.request(
                b"GET", f"http://{entry}/readyz".encode()
            )
            response_wait.addTimeout(1.0, reactor)
            response = yield response_wait
            yield client.readBody(response)
            ready = response.code == 200
        except Exception:
            ready = False
        (self.ready.add if ready else self.ready.discard)(entry)

    def check_all_ready(self):
        return defer.gatherResults(
            [self.check_ready(entry) for entry in self.entries]
        )

    @defer.inlineCallbacks
    def send_request(self, number, queue, team, method, run_ms):
        request_id = f"r{number}"
        body = f"order {number}".encode() if method == "POST" else b""
        headers = {
            "Authorization": [f"Bearer {self.key_by_team[team]}"],
            "X-Run-Ms": [str(run_ms)],
            "X-Request-Id": [request_id],
        }
        if method == "POST":
            headers["Idempotency-Key"] = [request_id]
        entry = self.rng.choice(sorted(self.ready) or self.entries)
        row = {
            "id": request_id,
            "queue": queue,
            "team": team,
            "method": method,
            "run_ms": run_ms,
            "sent_at": time.time(),
            "entry": entry,
        }
        try:
            response_wait = self.agent.request(
                method.encode(),
                f"http://{entry}/q/{queue}/work".encode(),
                http_headers.Headers(headers),
                OneShotBody(body) if body else None,
            )
            response_wait.addTimeout(20, reactor)
            response = yield response_wait
            data = yield client.readBody(response)
            row["status"] = response.code
            answer = json.loads(data)
            row["problem"] = answer.get("type", "").rsplit(":", 1)[-1]
            row["verdict"] = answer.get("verdict", "")
            row["own"] = (
                answer.get("request_id") == request_id
                and answer.get("digest") == hashlib.sha256(body).hexdigest()
            )
        except Exception as error:
            row["status"] = 0
            row["problem"] = type(error).__name__
            row["verdict"] = "no-answer"
        row["ended_at"] = time.time()
        self.rows.append(row)

    @defer.inlineCallbacks
    def run(self, _):
        looping = task.LoopingCall(self.check_all_ready)
        yield self.check_all_ready()
        looping.start(READY_INTERVAL_S)
        started = time.monotonic()
        for number, (at, queue, team, method, run_ms) in enumerate(self.plan):
            wait = at - (time.monotonic() - started)
            if wait > 0:
                yield task.deferLater(reactor, wait, lambda: None)
            self.sends.append(
                self.send_request(number, queue, team, method, run_ms)
            )
        yield defer.DeferredList(self.sends)
        looping.stop()
        lines = [json.dumps(row) + "\n" for row in self.rows]
        self.out_path.write_text("".join(lines))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--manifest", required=True)
    parser.add_argument("--keys", required=True)
    parser.add_argument("--entries", required=True)
    parser.add_argument("--out", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--burst-seconds", type=float, default=5.0)
    parser.add_argument("--mean-rate", type=float, default=50.0)
    task.react(RequestSender(parser.parse_args()).run)


if __name__ == "__main__":
    main()
