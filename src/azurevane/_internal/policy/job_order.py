"""Order in which the tasks of jobs are started.

A team's share is as many jobs a second as its weight; jobs beyond the share
come after those of all other teams. A job that ends after its objective is
of little use to its callers, and one that ends much later is of none.
Therefore the order is: jobs that will meet their objective even if their
run times are declared too short, jobs that may meet it, late jobs, and
finally jobs that are too late to be of use. These last are hopeless: they
yield to all others, whatever their priority and their team's rate, and run
when there is room. So that they end also while there is none for long, the
oldest ones get a twentieth of what becomes free once they have waited a
minute. Within each class, jobs that have begun come first, so that few are
partly done, and then the most urgent.

Designed for bursts that exceed the capacity of a pool. Under such a load,
ordering by urgency alone starts each job at the last moment and makes most
of them late.
"""

from collections.abc import Sequence
import dataclasses

from azurevane._internal.models import job as job_models
from azurevane._internal.models import site

# Fraction by which declared run times are commonly too short.
ESTIMATE_MARGIN_RATIO = 0.25
# A job is of no use once it takes this multiple of its objective.
USELESS_AFTER_OBJECTIVES = 3.0
# A hopeless job comes first once it has waited this long, in seconds: above
# the time for which callers of most jobs wait, and half of the time for
# which the result of an ended job is kept for those that still ask.
MAX_WAIT_S = 60.0
# Only what becomes free in this part of the time, in seconds, goes to them: a
# twentieth, so that jobs in time lose little however many have waited so long.
OVERDUE_TURN_S = 0.2
OVERDUE_INTERVAL_S = 4.0
# Number of jobs of a service that come first in it. A job that no runner fits
# doesn't keep the others from it.
MAX_OVERDUE_JOBS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class JobOrderInput:
    """Properties of a job that decide its position in the order.

    Times are in seconds of a monotonic clock.

    Attributes:
        priority: the lowest value is served first.
        beyond_share: whether the job exceeded its team's share when it
            arrived.
        begun: whether any of its tasks was ever started.
        objective_at: time by which the job should have ended.
        remaining_s: run time of the longest chain of unfinished steps.
        overdue: whether it is one of ``overdue_jobs``.
    """

    priority: int
    beyond_share: bool
    begun: bool
    long_running: bool
    arrived_at: float
    objective_at: float
    remaining_s: float
    overdue: bool = False


def order_key(job: JobOrderInput, now: float) -> tuple[float, ...]:
    """Return the sort key of a job; the lowest is served first."""
    start_by = job.objective_at - job.remaining_s
    deadline_class = _deadline_class(job, start_by, now)
    late = deadline_class >= _LATE
    return (
        not job.long_running,
        not job.overdue,
        deadline_class == _USELESS,
        job.beyond_share,
        job.priority,
        deadline_class,
        not job.begun,
        job.arrived_at if late else start_by - now,
    )


# Deadline classes, in the order in which they are served.
_IN_TIME, _LIKELY_IN_TIME, _LATE, _USELESS = range(4)


def _deadline_class(job: JobOrderInput, start_by: float, now: float) -> int:
    if job.long_running:
        return _IN_TIME
    if start_by - ESTIMATE_MARGIN_RATIO * job.remaining_s >= now:
        return _IN_TIME
    if start_by >= now:
        return _LIKELY_IN_TIME
    objective_s = job.objective_at - job.arrived_at
    last_end = job.arrived_at + USELESS_AFTER_OBJECTIVES * objective_s
    return _LATE if last_end - job.remaining_s >= now else _USELESS


def is_hopeless(job: JobOrderInput, now: float) -> bool:
    """Whether a job ends too late to be of use, even if it starts now."""
    start_by = job.objective_at - job.remaining_s
    return _deadline_class(job, start_by, now) == _USELESS


def overdue_jobs(jobs: Sequence[JobOrderInput], now: float) -> list[int]:
    """Return the indexes of the jobs that come first after a long wait.

    Args:
        jobs: jobs of a service that wait.
    """
    if now % OVERDUE_INTERVAL_S >= OVERDUE_TURN_S:
        return []
    overdue = [
        index
        for index, job in enumerate(jobs)
        if job.arrived_at + MAX_WAIT_S <= now and is_hopeless(job, now)
    ]
    overdue.sort(key=lambda index: jobs[index].arrived_at)
    return overdue[:MAX_OVERDUE_JOBS]


class TeamRateMeter:
    """Token bucket per team that finds jobs beyond the team's share.

    A bucket refills at ``weight`` tokens a second and holds the tokens of
    1 s, but at least one. Times are in seconds of a monotonic clock and must
    not decrease for a team.
    """

    def __init__(self) -> None:
        self._tokens_by_team: dict[str, tuple[float, float]] = {}

    def count_job(self, team: str, weight: float, now: float) -> bool:
        """Count a job; return whether it is beyond its team's share."""
        capacity = max(weight, 1.0)
        tokens, updated_at = self._tokens_by_team.get(team, (capacity, now))
        tokens = min(tokens + max(now - updated_at, 0.0) * weight, capacity)
        beyond = tokens < 1.0
        if not beyond:
            tokens -= 1.0
        self._tokens_by_team[team] = tokens, max(now, updated_at)
        return beyond


def critical_path_s(
    steps: Sequence[job_models.Step],
    unfinished: Sequence[bool] | None = None,
) -> float:
    """Return the declared run time of the longest chain of steps.

    Args:
        unfinished: for each step, whether its run time counts; all count
            if omitted.
    """
    path_s: list[float] = []
    for index, step in enumerate(steps):
        own_s = step.estimate_s
        if unfinished is not None and not unfinished[index]:
            own_s = 0.0
        before_s = max((path_s[i] for i in step.after), default=0.0)
        path_s.append(before_s + own_s)
    return max(path_s, default=0.0)


def objective_s(queue: site.Queue, steps: Sequence[job_models.Step]) -> float:
    """Return the time in which a job should end, in seconds."""
    path_s = critical_path_s(steps)
    return queue.objective_factor * path_s + queue.objective_extra_s
