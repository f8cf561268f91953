"""Load model for sizes of pools: jobs arrive, hosts come a move later.

A pool's hosts are taken as one room: only processors are counted, and tasks
never wait for a host of their own. Times are in seconds.
"""

import collections
import dataclasses
import heapq
import math
import random

HOST_CPU = 64000
# A move, its registration and the leader's first contact.
MOVE_S = 1.8
TICK_S = 0.05
PLANNING_S = 0.25
# An idle host leaves after this time, as pool_sizing has it.
IDLE_S = 1.15


@dataclasses.dataclass
class Job:
    """A job of equal steps, one after the other."""

    arrived_at: float
    tasks: int
    cpu: float
    run_s: float
    steps: int
    waiting: int = 0
    running: int = 0
    ended_at: float = math.inf

    @property
    def work(self):
        return self.steps * self.tasks * self.cpu * self.run_s

    @property
    def objective_at(self):
        return self.arrived_at + 1.6 * self.run_s * self.total + 0.6

    def __post_init__(self):
        self.total, self.waiting = self.steps, self.tasks

    def start_by(self):
        return self.objective_at - self.run_s * self.steps


def make_jobs(rate_at, end, *, run_s, cpu, seed, max_rate):
    """Return jobs that arrive at a rate that changes with time."""
    rng, at, jobs = random.Random(seed), 0.0, []
    while (at := at + rng.expovariate(max_rate)) < end:
        if rng.random() * max_rate > rate_at(at):
            continue
        jobs.append(
            Job(
                at,
                min(1 + round(rng.expovariate(1 / 7)), 32),
                cpu * rng.lognormvariate(-0.1, 0.45),
                run_s * rng.lognormvariate(-0.1, 0.45),
                rng.choice((1, 1, 2, 2, 3)),
            )
        )
    return jobs


@dataclasses.dataclass
class Pool:
    """What a policy sees of a pool, and what came of it."""

    jobs: list
    name: str = "press"
    now: float = 0.0
    ready: int = 2
    used_cpu: float = 0.0
    waiting: list = dataclasses.field(default_factory=list)
    arrived: list = dataclasses.field(default_factory=list)
    host_seconds: float = 0.0
    moves: int = 0

    def __post_init__(self):
        self.incoming, self.running = [], []
        self.used = collections.deque()
        self.arrivals = iter([*self.jobs, None])
        self.next_job = next(self.arrivals)

    def in_time(self, since=0.0, until=math.inf):
        """Return the share of the jobs that ended within their objective."""
        jobs = [job for job in self.jobs if since <= job.arrived_at < until]
        done = sum(job.ended_at <= job.objective_at for job in jobs)
        return done / len(jobs)

    def play(self, wanted, end):
        """Run the load; ``wanted(pool)`` returns the wanted hosts."""
        play_together([self], wanted, end)

    def admit(self, now):
        """Go on to a time and take in the jobs that have arrived."""
        self.now = now
        while self.next_job is not None and self.next_job.arrived_at <= now:
            self.waiting.append(self.next_job)
            self.arrived.append(self.next_job)
            self.next_job = next(self.arrivals)

    def tick(self, wanted):
        """Run tasks and move hosts; no pass is due if ``wanted`` is None."""
        self._run_tasks()
        if wanted is not None:
            self._move_hosts(wanted(self))
        self.host_seconds += TICK_S * (self.ready + len(self.incoming))

    def _run_tasks(self):
        while self.incoming and self.incoming[0] <= self.now:
            heapq.heappop(self.incoming)
            self.ready += 1
        while self.running and self.running[0][0] <= self.now:
            ended_at, _, job = heapq.heappop(self.running)
            self.used_cpu -= job.cpu
            job.running -= 1
            if job.running or job.waiting:
                continue
            job.steps -= 1
            if job.steps:
                job.waiting = job.tasks
                self.waiting.append(job)
            else:
                job.ended_at = ended_at
        # As job_order does: jobs that may end in time, the others by age.
        self.waiting.sort(
            key=lambda job: (
                job.start_by() < self.now,
                job.start_by()
                if job.start_by() >= self.now
                else job.arrived_at,
            )
        )
        room = self.ready * HOST_CPU
        for job in self.waiting:
            while job.waiting and self.used_cpu + job.cpu <= room:
                job.waiting -= 1
                job.running += 1
                self.used_cpu += job.cpu
                entry = self.now + job.run_s, id(job), job
                heapq.heappush(self.running, entry)
        self.waiting = [job for job in self.waiting if job.waiting]
        self.used.append((self.now, self.used_cpu))
        while self.used[0][0] < self.now - IDLE_S:
            self.used.popleft()

    def _move_hosts(self, wanted):
        missing = wanted - self.ready - len(self.incoming)
        for _ in range(missing):
            heapq.heappush(self.incoming, self.now + MOVE_S)
        most_used = max(used for _, used in self.used)
        idle = self.ready - math.ceil(most_used / HOST_CPU)
        leaving = max(min(-missing, idle), 0)
        self.ready -= leaving
        self.moves += max(missing, 0) + leaving


def play_together(pools, wanted, end):
    """Run the loads of several pools side by side."""
    for number in range(round(end / TICK_S)):
        planning = number % round(PLANNING_S / TICK_S) == 0
        for pool in pools:
            pool.admit(number * TICK_S)
        for pool in pools:
            pool.tick(wanted if planning else None)
