"""In which order jobs get their tasks' turns.

A team is owed as many jobs a second as its weight; what it sends beyond
waits for everybody else. A job that ends after its objective helps its
callers little, and one that ends much later not at all. So those go first
that will make their objective although run times are declared too short at
times, then those that may make it, then those that are late, and last those
that nobody waits for any more. Begun jobs go before others, so that few are
half done, then the most urgent.

Answers bursts of more work than a pool can do: on such a load, order of
urgency alone starts each job at its last moment and has most of them late.
"""

from collections.abc import Sequence
import dataclasses

from azurevane._internal.models import job as job_models
from azurevane._internal.models import site

# Share by which declared run times are commonly too short.
ESTIMATE_MARGIN_RATIO = 0.25
# A job that takes this many times its objective is of no more use.
USELESS_AFTER_OBJECTIVES = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobOrderInput:
    """What the order of a job depends on; times are steady seconds.

    Attributes:
        beyond_share: whether its team had sent more than it is owed.
        begun: whether a task of it was ever started.
        remaining_s: longest chain of work that is left.
    """

    priority: int
    beyond_share: bool
    begun: bool
    long_running: bool
    arrived_at: float
    objective_at: float
    remaining_s: float


def order_key(job: JobOrderInput, now: float) -> tuple[float, ...]:
    """Return a key that sorts jobs by their turn."""
    start_by = job.objective_at - job.remaining_s
    deadline_class = _deadline_class(job, start_by, now)
    late = deadline_class >= _LATE
    return (
        not job.long_running,
        job.beyond_share,
        job.priority,
        deadline_class,
        not job.begun,
        job.arrived_at if late else start_by,
    )


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


class TeamRateMeter:
    """Tells which jobs of a team are beyond what it is owed.

    A team is owed ``weight`` jobs a second, with as many at once as a
    second brings. Times are steady seconds and don't go back for a team.
    """

    def __init__(self) -> None:
        self._left_by_team: dict[str, tuple[float, float]] = {}

    def count_job(self, team: str, weight: float, now: float) -> bool:
        """Count a job; whether it is beyond its team's share."""
        most = max(weight, 1.0)
        left, since = self._left_by_team.get(team, (most, now))
        left = min(left + max(now - since, 0.0) * weight, most)
        beyond = left < 1.0
        if not beyond:
            left -= 1.0
        self._left_by_team[team] = left, max(now, since)
        return beyond


def critical_path_s(
    steps: Sequence[job_models.Step], unfinished: Sequence[bool] | None = None
) -> float:
    """Return the run time of the longest chain of steps.

    Args:
        unfinished: which steps count; all where it is left out.
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
    """Return the time in which a job's callers want it done."""
    path_s = critical_path_s(steps)
    return queue.objective_factor * path_s + queue.objective_extra_s
