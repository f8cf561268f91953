"""Load of jobs of several teams on one pool, in virtual time."""

import dataclasses
import heapq
import math
import random

from azurevane._internal.policy import job_order

# Kinds of job: steps, tasks of a step, thousandths of a core, seconds of run
# time; each as mean, spread and maximum.
SHORT = ((1.6, 0.4, 4), (8, 0.6, 32), (6200, 0.45, 19000), (0.64, 0.5, 1.6))
LONG = ((2, 0.4, 5), (8, 0.6, 32), (13000, 0.45, 40000), (2.1, 0.5, 5.2))
# Planning passes are at least this far apart, in seconds.
PASS_S = 0.02


@dataclasses.dataclass
class LoadJob:
    """A job of steps that follow each other: (tasks, millicores, run time)."""

    team: int
    arrived_at: float
    steps: list
    estimate_error: float
    beyond_share: bool = False
    begun: bool = False
    ended_at: float = math.inf

    def __post_init__(self):
        self.step = 0
        self.waiting = self.unfinished = self.steps[0][0]
        path_s = self.estimate_error * sum(run_s for _, _, run_s in self.steps)
        self.objective_at = self.arrived_at + 1.6 * path_s + 0.6
        self.work = sum(n * cpu * run_s for n, cpu, run_s in self.steps)

    def widen(self, growth):
        """Let each step have this many times as many tasks."""
        self.steps = [(growth * n, cpu, run_s) for n, cpu, run_s in self.steps]
        self.__post_init__()

    @property
    def in_time(self):
        return self.ended_at <= self.objective_at

    def order_input(self):
        left = self.steps[self.step :]
        return job_order.JobOrderInput(
            priority=0,
            beyond_share=self.beyond_share,
            begun=self.begun,
            long_running=False,
            arrived_at=self.arrived_at,
            objective_at=self.objective_at,
            remaining_s=self.estimate_error * sum(run_s for *_, run_s in left),
        )


def skewed_weights(teams, skew):
    """Return the parts of teams in the load, the largest first."""
    parts = [1 / (number + 1) ** skew for number in range(teams)]
    return [part / sum(parts) for part in parts]


def make_jobs(
    seed, *, kind, cpu, load, seconds, parts, busy_s=None, turn_s=None
):
    """Return the jobs of teams and the weight of each in jobs a second.

    Args:
        load: work that arrives, as a multiple of the pool's ``cpu``.
        parts: part of each team in the jobs.
        busy_s: jobs arrive only during this part of each ``turn_s``.
    """
    rng = random.Random(seed)
    rate = load * cpu / math.prod(mean for mean, _, _ in kind)
    weights = [max(rate * part, 1.0) for part in parts]
    meter = job_order.TeamRateMeter()
    jobs, at = [], 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        if busy_s is None or at % turn_s < busy_s:
            team = rng.choices(range(len(parts)), parts)[0]
            job = _make_job(rng, kind, team, at)
            job.beyond_share = meter.count_job(str(team), weights[team], at)
            jobs.append(job)
    return jobs, weights


def _make_job(rng, kind, team, at):
    counts, widths, cpus, run_times = kind
    steps = [
        (
            max(round(_draw(rng, *widths)), 1),
            max(round(_draw(rng, *cpus)), 100),
            max(_draw(rng, *run_times), 0.1),
        )
        for _ in range(max(round(_draw(rng, *counts)), 1))
    ]
    return LoadJob(team, at, steps, rng.uniform(0.8, 1.2))


def _draw(rng, mean, spread, most):
    sigma = math.sqrt(math.log(1 + spread**2))
    return min(rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma), most)


class Pool:
    """A pool without division into runners."""

    def __init__(self, cpu, key, *, bounded=True):
        self.key = key
        self.overdue_jobs = job_order.overdue_jobs
        if not bounded:
            self.overdue_jobs = lambda inputs, now: []
        self.free, self.now = cpu, 0.0
        self.running, self.waiting = [], []

    def play(self, jobs):
        """Run all jobs to their ends."""
        arriving = sorted(jobs, key=lambda job: job.arrived_at, reverse=True)
        while arriving or self.running:
            times = [arriving[-1].arrived_at] if arriving else []
            times += [self.running[0][0]] if self.running else []
            self.now = max(min(times), self.now + PASS_S)
            while arriving and arriving[-1].arrived_at <= self.now:
                self.waiting.append(arriving.pop())
            self._end_runs()
            self._start_runs()

    def _end_runs(self):
        while self.running and self.running[0][0] <= self.now:
            ended_at, _, job, cpu = heapq.heappop(self.running)
            self.free += cpu
            job.unfinished -= 1
            if job.unfinished:
                continue
            job.step += 1
            if job.step == len(job.steps):
                job.ended_at = ended_at
                continue
            job.waiting = job.unfinished = job.steps[job.step][0]
            self.waiting.append(job)

    def _start_runs(self):
        inputs = [job.order_input() for job in self.waiting]
        for index in self.overdue_jobs(inputs, self.now):
            inputs[index] = dataclasses.replace(inputs[index], overdue=True)
        keys = [self.key(item, self.now) for item in inputs]
        order = sorted(range(len(inputs)), key=keys.__getitem__)
        self.waiting = [self.waiting[index] for index in order]
        for job in self.waiting:
            _, cpu, run_s = job.steps[job.step]
            while job.waiting and self.free >= cpu:
                job.waiting -= 1
                job.begun = True
                self.free -= cpu
                entry = self.now + run_s, id(job), job, cpu
                heapq.heappush(self.running, entry)
        self.waiting = [job for job in self.waiting if job.waiting]


def worth(job, mean_work):
    """Return what callers get of a job that ends in time.

    Most of it grows with the job's work, as a larger job serves more users.
    """
    return min(0.3 + 0.7 * job.work / mean_work, 4.0)


def fraction_in_time(jobs):
    """Return the fraction of the jobs within the teams' rates in time."""
    owed = [job for job in jobs if not job.beyond_share]
    return sum(job.in_time for job in owed) / len(owed)


def worth_in_time(jobs):
    """Return the part of the worth of these jobs that ends in time."""
    owed = [job for job in jobs if not job.beyond_share]
    mean_work = sum(job.work for job in owed) / len(owed)
    total = sum(worth(job, mean_work) for job in owed)
    got = sum(worth(job, mean_work) for job in owed if job.in_time)
    return got / total


def room_for_work(jobs, cpu=2048000):
    """Return the part of the work for which a pool has room in time."""
    owed = [job for job in jobs if not job.beyond_share]
    end = max(job.objective_at for job in owed)
    return min(end * cpu / sum(job.work for job in owed), 1.0)


def largest_in_time(jobs, part=0.1):
    """Return the fraction in time of the largest part of the jobs."""
    owed = [job for job in jobs if not job.beyond_share]
    owed.sort(key=lambda job: job.work, reverse=True)
    return fraction_in_time(owed[: round(part * len(owed))])


def most_jobs_in_time(jobs, cpu):
    """Return the fraction in time if only the room for work counts.

    The smallest jobs are served first, each at once and from its arrival to
    the last objective of all. No order serves more.
    """
    owed = [job for job in jobs if not job.beyond_share]
    room = cpu * max(job.objective_at for job in owed)
    served = 0
    for work in sorted(job.work for job in owed):
        room -= work
        served += room >= 0
    return served / len(owed)


def worst_teams_in_time(jobs, part=0.1):
    """Return the fraction in time of the worst-served part of the teams."""
    jobs_by_team = {}
    for job in jobs:
        if not job.beyond_share:
            jobs_by_team.setdefault(job.team, []).append(job)
    fractions = sorted(map(fraction_in_time, jobs_by_team.values()))
    count = max(round(part * len(fractions)), 1)
    return sum(fractions[:count]) / count
