"""A rise of demand while the store is slow, and what can be served of it."""

import dataclasses
import heapq
import json

from twisted.internet import defer

from azurevane._internal.callers import job_handler
from azurevane._internal.scheduler import records
from support import site_world

TASKS_PER_JOB = 8
TASK_CPU = 6000
RUN_S = 0.5
TASKS_PER_HOST = 32000 // TASK_CPU
# By the world's queues: 1.6 times the work, and 0.6 s.
OBJECTIVE_S = 1.6 * RUN_S + 0.6
MOVE_S = 1.5


@dataclasses.dataclass
class _SentJob:
    id: str
    sent_at: float
    completed_at: float = float("inf")

    @property
    def in_time(self):
        return self.completed_at - self.sent_at <= OBJECTIVE_S


class Rise:
    """Jobs that are sent at a rate whatever becomes of the others."""

    def __init__(self, world, queue):
        self._world = world
        self._queue = queue
        self._count = 0

    def send_jobs(self, rate, seconds):
        """Send jobs, let them end, and return them."""
        world, jobs = self._world, []
        for number in range(round(rate * seconds)):
            jobs.append(self._send_job(number))
            self._advance(1.0 / rate, jobs)
        self._advance(3 * OBJECTIVE_S, jobs)
        assert world.platform.record, "nothing ran"
        return jobs

    def _send_job(self, number):
        world = self._world
        self._count += 1
        job_id = f"{number % 16:x}{self._count:015x}"
        phase = {
            "count": TASKS_PER_JOB,
            "cpu": TASK_CPU,
            "memMb": 100,
            "estimateMs": round(RUN_S * 1000),
        }
        request = job_handler.JobRequest(
            method="POST",
            host_name=site_world.HOST_NAME,
            path=f"/{self._queue}/{job_id}",
            authorization=f"Bearer {site_world.KEY}",
            body=json.dumps({"spec": "x", "phases": [phase]}).encode(),
        )
        hosts = list(world.host_by_name.values())
        handler = hosts[number % len(hosts)].job_handler
        defer.ensureDeferred(handler.handle(request))
        return _SentJob(job_id, world.clock.seconds())

    def _advance(self, seconds, jobs):
        world = self._world
        end = world.clock.seconds() + seconds
        while world.clock.seconds() < end:
            world.advance_time(site_world.STEP_S)
            for job in jobs:
                if job.completed_at == float("inf") and self._completed(job):
                    job.completed_at = world.clock.seconds()

    def _completed(self, job):
        value = self._world.platform.store.value(
            records.STATE_TABLE, records.LEADER_PARTITION, job.id
        )
        status = None if value is None else records.decode_status(value)
        return status is not None and status.value == "completed"


def best_in_time(sent_times, *, ready_hosts, hosts, response_s):
    """Return how many jobs a scheduler serves in time at best.

    It knows of the rise with the first job. The store has to answer once
    for a submission and once for an assignment before a task starts, and
    three times until a host that is moved can start tasks: for the
    submission, the name of the host and the entry of its runner.
    """
    moved_at = sent_times[0] + 3 * response_s + MOVE_S
    slots = [0.0] * (ready_hosts * TASKS_PER_HOST)
    slots += [moved_at] * ((hosts - ready_hosts) * TASKS_PER_HOST)
    heapq.heapify(slots)
    in_time = 0
    for sent_at in sent_times:
        starts = [
            max(slot, sent_at + 2 * response_s)
            for slot in heapq.nsmallest(TASKS_PER_JOB, slots)
        ]
        if max(starts) + RUN_S + response_s - sent_at > OBJECTIVE_S:
            continue
        in_time += 1
        for start in starts:
            heapq.heapreplace(slots, start + RUN_S)
    return in_time
