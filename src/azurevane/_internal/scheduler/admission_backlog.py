"""Work of the jobs that a new job of a queue finds before it."""

import bisect
import dataclasses
import operator

from azurevane._internal.models import admission
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import admission as admission_policy
from azurevane._internal.policy import job_order
from azurevane._internal.scheduler import runs

# Objectives after the first one within which a late job is still of use.
LATE_OBJECTIVES = job_order.USELESS_AFTER_OBJECTIVES - 1.0


@dataclasses.dataclass(slots=True)
class Work:
    """Work by the index of the edge of its last start, and in total.

    Plain numbers, as many are added up in each renewal.
    """

    cpu: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(admission.START_BY_EDGES_S)
    )
    memory: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(admission.START_BY_EDGES_S)
    )
    total_cpu: float = 0.0

    def add(self, last_start_s: float, cpu: float, memory: float) -> None:
        """Add work whose last start has not passed."""
        if last_start_s < 0:
            return
        index = bisect.bisect_left(admission.START_BY_EDGES_S, last_start_s)
        self.cpu[index] += cpu
        self.memory[index] += memory
        self.total_cpu += cpu

    def add_all(self, other: "Work") -> None:
        """Add the work of another priority."""
        if other.total_cpu:
            self.cpu = list(map(operator.add, self.cpu, other.cpu))
            self.memory = list(map(operator.add, self.memory, other.memory))
            self.total_cpu += other.total_cpu

    def to_deadlines(self) -> admission.Deadlines:
        """Return the published form."""
        if not self.total_cpu:
            return ()
        return admission.trim_deadlines(
            list(map(admission.Amount, self.cpu, self.memory))
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KnownJob:
    """What doesn't change of a job.

    Attributes:
        least_need: needs of its smallest task.
    """

    size: admission_policy.JobSize
    least_need: job_models.Capacity | None


@dataclasses.dataclass(slots=True)
class Backlog:
    """Work of the unfinished jobs of a service and priority.

    Work is listed by the index of the edge of its last start.

    Attributes:
        waiting: whether any task waits for capacity.
        least_need: needs of the smallest task of the jobs that wait.
        jobs: number of jobs; the next three are sums over them.
    """

    in_time: Work = dataclasses.field(default_factory=Work)
    useful: Work = dataclasses.field(default_factory=Work)
    excess_in_time: Work = dataclasses.field(default_factory=Work)
    excess_useful: Work = dataclasses.field(default_factory=Work)
    waiting: bool = False
    least_need: job_models.Capacity | None = None
    jobs: int = 0
    job_cpu: float = 0.0
    chain_s: float = 0.0
    objective_s: float = 0.0

    def add_job(
        self,
        job: runs.JobState,
        known: KnownJob,
        left: tuple[float, float],
        now: float,
    ) -> None:
        """Count a job with its remaining work."""
        if job.waiting_count:
            self.waiting = True
            self._record_need(known.least_need)
        self.jobs += 1
        self.job_cpu += known.size.work.cpu
        self.chain_s += known.size.chain_s
        self.objective_s += known.size.objective_s
        in_time, useful = self.in_time, self.useful
        if job.beyond_share:
            in_time, useful = self.excess_in_time, self.excess_useful
        # Jobs that are of no use any more are served after all others.
        in_time_s = job.objective_at - job.remaining_s - now
        in_time.add(in_time_s, *left)
        useful.add(in_time_s + LATE_OBJECTIVES * job.job.objective_s, *left)

    def add_all(self, other: "Backlog") -> None:
        """Add the jobs of another priority."""
        self.in_time.add_all(other.in_time)
        self.useful.add_all(other.useful)
        self.excess_in_time.add_all(other.excess_in_time)
        self.excess_useful.add_all(other.excess_useful)
        self.waiting = self.waiting or other.waiting
        self._record_need(other.least_need)
        self.jobs += other.jobs
        self.job_cpu += other.job_cpu
        self.chain_s += other.chain_s
        self.objective_s += other.objective_s

    def _record_need(self, need: job_models.Capacity | None) -> None:
        if need is not None and (
            self.least_need is None or need.cpu < self.least_need.cpu
        ):
            self.least_need = need

    def typical_size(self) -> admission_policy.JobSize:
        """Return the mean size of the jobs."""
        return admission_policy.JobSize(
            admission.Amount(self.job_cpu / self.jobs),
            self.chain_s / self.jobs,
            self.objective_s / self.jobs,
        )
