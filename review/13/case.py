"""Jobs of an advised queue come in a burst; the advisor is asked in vain."""

import json
import os
import pathlib
import sys
import time

import site_3
from twisted.internet import reactor
from twisted.web import resource
from twisted.web import server

from azurevane._internal.standins import site_runner

# Of the queue, in the words of PROTOCOL.md.
ADVISOR = {"decideMs": 150, "perItemMs": 15, "validMs": 3000}
MAX_WAITING_CALLS = 32
JOBS = 66
# Five times the mean of a queue, as a queue asks in its turn, and the mean.
BURST_PER_S = 15.0
MEAN_PER_S = 3.0
MACHINES = 8
WATCHED_S = 60.0
TASK_S = 0.5


class Advisor(resource.Resource):
    """Answers one call at a time, in the order in which they came.

    A call whose caller has left is dropped when its turn comes.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self._waiting = []
        self._busy = False
        self._until_by_ticket = {}
        self.answered = 0
        self.left = 0
        self.refused = 0

    def render(self, request):
        """Take a call, or answer 429 while 32 are waiting."""
        body = json.loads(request.content.read())
        if len(self._waiting) >= MAX_WAITING_CALLS:
            self.refused += 1
            request.setResponseCode(429)
            return b"{}"
        gone = []
        request.notifyFinish().addErrback(gone.append)
        self._waiting.append((request, body, gone))
        self._take_next()
        return server.NOT_DONE_YET

    def _take_next(self):
        if self._busy or not self._waiting:
            return
        self._busy = True
        request, body, gone = self._waiting.pop(0)
        if gone:
            self.left += 1
            self._busy = False
            self._take_next()
            return
        took_ms = ADVISOR["decideMs"] + ADVISOR["perItemMs"] * len(
            body["workers"]
        )
        reactor.callLater(took_ms / 1000, self._answer, request, body, gone)

    def _answer(self, request, body, gone):
        self._busy = False
        rows = []
        for worker in body["workers"]:
            # The policy allows every second worker.
            if int(worker[-4:]) % 2:
                continue
            ticket = f"{time.monotonic_ns():x}"
            key = body["step"], worker, ticket
            self._until_by_ticket[key] = (
                time.monotonic() + ADVISOR["validMs"] / 1000
            )
            rows.append([worker, ticket])
        if gone:
            self.left += 1
        else:
            self.answered += 1
            request.setHeader("Content-Type", "application/json")
            answer = {"good": rows, "validMs": ADVISOR["validMs"]}
            request.write(json.dumps(answer).encode())
            request.finish()
        self._take_next()

    def allows(self, step, worker, ticket):
        """Whether a start carries a ticket that is valid now."""
        until = self._until_by_ticket.get((step, worker, ticket), 0.0)
        return time.monotonic() < until


class _AdvisedRunner(site_runner.SiteRunner):
    """A runner of a queue with an advisor."""

    advisor: Advisor

    def _start_task(self, body):
        step = body["task"].rpartition(".")[0]
        if not self.advisor.allows(step, self.id, body.get("ticket")):
            return self._answer(409, reason="ticket")
        return super()._start_task(body)


async def play(site, trouble, advisor):
    """Return the broken rules."""
    await site_3.sleep(2.0)
    step = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 500}
    job_ids = [f"ad{number:014x}" for number in range(JOBS)]
    for job_id in job_ids:
        body = {"spec": "s", "phases": [step]}
        await site.submit(job_id, body, TASK_S)
        await site_3.sleep(1 / (BURST_PER_S if trouble else MEAN_PER_S))
    since = site.now()
    while site.now() - since < WATCHED_S:
        await site_3.sleep(5.0)
        site.write(
            f"advisor: {advisor.answered} calls answered, {advisor.left} were"
            f" left before their answer, {advisor.refused} got 429"
        )
        done = {run[0] for run in site.runs() if run[4] is not None}
        if len(done) == 2 * JOBS:
            break
    broken = []
    now = site.now()
    for job_id in job_ids:
        _, text = await site.call("GET", job_id)
        lately = any(
            run[0].startswith(job_id) and (run[4] or now) > now - 3.0
            for run in site.runs()
        )
        if "completed" not in text and not lately:
            broken.append(
                f"LOST {job_id} has nothing running {now - since:.0f} s after"
                f" the end of the traffic, with all workers free: {text}"
            )
    return broken


def main():
    """Play the case."""
    advisor = Advisor()
    _AdvisedRunner.advisor = advisor
    site_runner.SiteRunner = _AdvisedRunner
    port = reactor.listenTCP(0, server.Site(advisor), interface="127.0.0.1")
    return site_3.run(
        pathlib.Path(__file__).resolve().parent,
        lambda site, trouble: play(site, trouble, advisor),
        machines=MACHINES,
        route={"advisor": ADVISOR},
        settings={"advisor": f"127.0.0.1:{port.getHost().port}"},
    )


if __name__ == "__main__":
    os.environ.setdefault("TROUBLE", "1")
    sys.exit(main())
