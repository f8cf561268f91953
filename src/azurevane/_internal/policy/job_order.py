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
ESTIMATE_MARGIN = 0.25
# A job that takes this many times its objective is of no more use.
LATE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobOutlook:
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


def order_key(outlook: JobOutlook, now: float) -> tuple[float, ...]:
    """Return a key that sorts jobs by their turn."""
    start_by = outlook.objective_at - outlook.remaining_s
    prospect = _prospect(outlook, start_by, now)
    late = prospect >= _LATE
    return (
        not outlook.long_running,
        outlook.beyond_share,
        outlook.priority,
        prospect,
        not outlook.begun,
        outlook.arrived_at if late else start_by,
    )


_SURE, _LIKELY, _LATE, _USELESS = range(4)


def _prospect(outlook: JobOutlook, start_by: float, now: float) -> int:
    if outlook.long_running:
        return _SURE
    if start_by - ESTIMATE_MARGIN * outlook.remaining_s >= now:
        return _SURE
    if start_by >= now:
        return _LIKELY
    objective_s = outlook.objective_at - outlook.arrived_at
    last_end = outlook.arrived_at + LATE_FACTOR * objective_s
    return _LATE if last_end - outlook.remaining_s >= now else _USELESS


class ShareMeter:
    """Tells which jobs of a team are beyond what it is owed.

    A team is owed ``weight`` jobs a second, with as many at once as a
    second brings. Times are steady seconds and don't go back for a team.
    """

    def __init__(self) -> None:
        self._left_by_team: dict[str, tuple[float, float]] = {}

    def take(self, team: str, weight: float, now: float) -> bool:
        """Count a job; whether it is beyond its team's share."""
        most = max(weight, 1.0)
        left, since = self._left_by_team.get(team, (most, now))
        left = min(left + max(now - since, 0.0) * weight, most)
        beyond = left < 1.0
        if not beyond:
            left -= 1.0
        self._left_by_team[team] = left, max(now, since)
        return beyond


def longest_chain_s(
    steps: Sequence[job_models.Step], undone: Sequence[bool] | None = None
) -> float:
    """Return the run time of the longest chain of steps.

    Args:
        undone: which steps count; all where it is left out.
    """
    chain_s: list[float] = []
    for index, step in enumerate(steps):
        own_s = step.estimate_s
        if undone is not None and not undone[index]:
            own_s = 0.0
        before_s = max((chain_s[i] for i in step.after), default=0.0)
        chain_s.append(before_s + own_s)
    return max(chain_s, default=0.0)


def objective_s(queue: site.Queue, steps: Sequence[job_models.Step]) -> float:
    """Return the time in which a job's callers want it done."""
    chain_s = longest_chain_s(steps)
    return queue.objective_factor * chain_s + queue.objective_extra_s
