"""A pool under load whose entry hosts admit jobs by the pure policies."""

import bisect
import collections
import dataclasses
import heapq
import itertools

from azurevane._internal.models import admission
from azurevane._internal.policy import admission as admission_policy
from azurevane._internal.policy import job_order
from azurevane._internal.policy import return_order

ESTIMATE_INTERVAL_S = 0.6
CPU = 1000
HOSTS = tuple(f"entry-{number:02d}" for number in range(4))


@dataclasses.dataclass(eq=False)
class LoadJob:
    """A job of one task; ``ended_at`` stays None if it was never accepted."""

    arrived_at: float
    team: str
    beyond: bool = False
    refusals: int = 0
    ended_at: float | None = None


class Pool:
    """Serves jobs on slots in the scheduler's order.

    Args:
        admitting: whether hosts refuse jobs; otherwise all are accepted.
        max_returns: how often a refused caller comes back as told.
    """

    def __init__(self, slots, run_s, objective_s, *, admitting, max_returns=4):
        self.slots, self.run_s, self.objective_s = slots, run_s, objective_s
        self.admitting, self.max_returns = admitting, max_returns
        self.waiting, self.busy_until = [], []
        self.served_at = 0.0
        self.accepted_cpu = collections.defaultdict(float)
        self.promised_by_host = {host: {} for host in HOSTS}
        self.estimate, self.estimated_at = None, float("-inf")
        self.numbers = itertools.count(1)
        self.refusal_count = 0
        self.cpu_work = CPU * run_s
        self.size = admission_policy.JobSize(
            admission.Amount(self.cpu_work), run_s, objective_s
        )

    def run(self, arrivals, weight_by_team):
        """Serve all arrivals; return their jobs."""
        meter = job_order.TeamRateMeter()
        self.weight_by_team = weight_by_team
        self.meter_by_host = {
            host: job_order.TeamRateMeter() for host in HOSTS
        }
        jobs = [LoadJob(at, team) for at, team in sorted(arrivals)]
        events = [(job.arrived_at, n, job) for n, job in enumerate(jobs)]
        number = len(events)
        while events:
            now, _, job = heapq.heappop(events)
            self._serve(now)
            retry_after_s = self._admit(job, now, number)
            if retry_after_s is None:
                job.beyond = meter.count_job(
                    job.team, weight_by_team[job.team], now
                )
                self.waiting.append(job)
            elif job.refusals <= self.max_returns:
                number += 1
                heapq.heappush(events, (now + retry_after_s, number, job))
        self._serve(float("inf"))
        return jobs

    def _serve(self, until):
        while self.waiting:
            if len(self.busy_until) < self.slots:
                now = max(self.waiting[-1].arrived_at, self.served_at)
            elif self.busy_until[0] <= until:
                now = heapq.heappop(self.busy_until)
            else:
                return
            self.served_at = max(self.served_at, now)
            job = min(self.waiting, key=lambda job: self._key(job, now))
            self.waiting.remove(job)
            job.ended_at = now + self.run_s
            heapq.heappush(self.busy_until, job.ended_at)
        while self.busy_until and self.busy_until[0] <= until:
            heapq.heappop(self.busy_until)
        self.served_at = max(self.served_at, min(until, 1e9))

    def _key(self, job, now):
        return job_order.order_key(
            job_order.JobOrderInput(
                priority=0,
                beyond_share=job.beyond,
                begun=False,
                long_running=False,
                arrived_at=job.arrived_at,
                objective_at=job.arrived_at + self.objective_s,
                remaining_s=self.run_s,
            ),
            now,
        )

    def _admit(self, job, now, number):
        """Return after how many seconds the caller comes back, or None."""
        if not self.admitting:
            return None
        if now - self.estimated_at >= ESTIMATE_INTERVAL_S:
            self._publish(now)
        # Callers are spread by a hash, and each attempt reaches another host.
        host = HOSTS[(round(job.arrived_at * 997) + number) % len(HOSTS)]
        queue = self.estimate.queues[0]
        beyond = self._is_beyond_share(job, host, now)
        accepted = self.accepted_cpu[host, False]
        if beyond:
            accepted += self.accepted_cpu[host, True]
        position = admission_policy.Position(
            admission.Amount(accepted),
            admission_policy.find_part(self.estimate, queue, host),
            beyond,
            came_back=job.refusals > 0,
        )
        decision = admission_policy.decide(
            self.size, queue, now - self.estimated_at, position
        )
        if decision.accepted:
            self.accepted_cpu[host, beyond] += self.cpu_work
            return None
        job.refusals += 1
        self.refusal_count += 1
        return self._retry_after(job, queue, host, now, decision)

    def _is_beyond_share(self, job, host, now):
        if job.team not in self.estimate.teams_beyond_share:
            return False
        weight = self.weight_by_team[job.team] / len(HOSTS)
        meter = self.meter_by_host[host]
        return meter.count_job(job.team, weight, now)

    def _retry_after(self, job, queue, host, now, decision):
        beyond = decision.reason is admission_policy.Reason.BEYOND_SHARE
        booked = admission_policy.booked_work(queue, beyond=beyond)
        drained_s = admission_policy.drained_after_s(queue, booked)
        spent = decision.reason is admission_policy.Reason.PART_SPENT
        opens_s = drained_s - self.size.useful_slack_s
        outlook = return_order.QueueOutlook(
            ESTIMATE_INTERVAL_S if spent else max(opens_s, 0.0),
            queue.ready.cpu / len(HOSTS),
            drained_s - self.size.slack_s,
        )
        waited_s = now - job.arrived_at
        promised = self.promised_by_host[host]
        plan = return_order.plan_return(
            return_order.RefusedJob(
                self.size.work.cpu,
                self.size.useful_slack_s - waited_s,
                preferred=job.refusals > 1,
            ),
            outlook,
            promised,
            now,
        )
        second = int(now + plan.retry_after_s)
        promised[second] = promised.get(second, 0.0) + self.size.work.cpu
        return plan.retry_after_s

    def _publish(self, now):
        """Estimate as the leader does."""
        edges = admission.START_BY_EDGES_S
        work_by_kind = {
            key: [0.0] * len(edges)
            for key in itertools.product((False, True), repeat=2)
        }
        running = sum(end - now for end in self.busy_until if end > now)
        for useful in (False, True):
            work_by_kind[False, useful][0] = running * CPU
        for job in self.waiting:
            left_s = job.arrived_at + self.objective_s - self.run_s - now
            for useful in (False, True):
                last_s = left_s + 2 * self.objective_s * useful
                if last_s >= 0:
                    index = bisect.bisect_left(edges, last_s)
                    work_by_kind[job.beyond, useful][index] += self.cpu_work
        lists = [
            admission.trim_deadlines([admission.Amount(cpu) for cpu in each])
            for each in work_by_kind.values()
        ]
        nothing = admission.Amount()
        queue = admission.QueueEstimate(
            admission.Amount(CPU * self.slots),
            *(nothing, 0.0, nothing, 0.0),
            *lists,
            *(0.0, False, self.cpu_work),
        )
        queue = admission_policy.add_room(
            queue, self.size, ESTIMATE_INTERVAL_S
        )
        teams = {job.team for job in self.waiting if job.beyond}
        self.estimate = admission.AdmissionEstimate(
            admission.VERSION,
            1,
            next(self.numbers),
            (queue,),
            {"fit": 0},
            admission_policy.divide_shares(dict.fromkeys(HOSTS, 1)),
            tuple(sorted(teams)),
        )
        self.estimated_at = now
        self.accepted_cpu.clear()


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Numbers of jobs by what their callers got."""

    jobs: int
    in_time: int
    of_use: int
    useless: int
    never: int
    refusals: int


def count_outcomes(jobs, objective_s, pool):
    """Return what callers got; times count from their first attempts."""
    took = [
        job.ended_at - job.arrived_at
        for job in jobs
        if job.ended_at is not None
    ]
    in_time = sum(each <= objective_s for each in took)
    of_use = sum(each <= 3 * objective_s for each in took)
    return Outcome(
        len(jobs),
        in_time,
        of_use,
        len(took) - of_use,
        len(jobs) - len(took),
        pool.refusal_count,
    )
