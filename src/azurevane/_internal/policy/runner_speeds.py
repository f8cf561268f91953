"""Estimates by how much a runner works more slowly than others.

Designed for pools in which single runners work at a fraction of the speed of
the others for some seconds, and report neither failures nor stalls. Each
step of which tasks run or ended on the runner counts once, since tasks of a
step share the error of their expected run time. Steps in the tail count as
little as steps that are declared wrongly, as the median is used.
"""

from collections.abc import Hashable
import dataclasses
import statistics

# Observations count for this long, in seconds. So a runner that got no tasks
# as it was slow is tried again.
VALIDITY_S = 10.0
# Steps at normal speed that are assumed besides those observed.
PRIOR_STEPS = 2
# Beyond this slowness a runner gets only tasks that can bear it. Expected
# run times are less certain than that.
SLOW = 1.5
# Beyond this slowness a runner gets no tasks.
VERY_SLOW = 3.0
# Latest steps that count. Few of them show soon that a runner has turned slow;
# steps with running tasks stay among the latest.
MAX_STEPS = 6


@dataclasses.dataclass(slots=True)
class _StepOnRunner:
    """Slowness of a step's tasks on the runner, by task index."""

    observed_at: float
    slowness_by_index: dict[int, float]


class RunnerSpeed:
    """Slowness of one runner; times are monotonic seconds.

    Slowness is the ratio of a run's time to the expected one: 1 for a sound
    runner, 6 for one that works at a sixth of the speed.
    """

    def __init__(self) -> None:
        self._step_by_key: dict[Hashable, _StepOnRunner] = {}
        self._slowness: float | None = 1.0
        self._valid_until = 0.0

    def record(
        self, step: Hashable, index: int, slowness: float, now: float
    ) -> None:
        """Record the slowness of a run that ended or that is under way.

        Args:
            step: identifies the step of its job.
            index: index of its task.
        """
        # The steps are kept in the order of their latest observation.
        observed = self._step_by_key.pop(step, None) or _StepOnRunner(now, {})
        observed.observed_at = now
        observed.slowness_by_index[index] = slowness
        self._step_by_key[step] = observed
        if len(self._step_by_key) > MAX_STEPS:
            del self._step_by_key[next(iter(self._step_by_key))]
        self._slowness = None

    def slowness(self, now: float) -> float:
        """Return the estimated slowness, which is 1 or more."""
        if self._slowness is None or now >= self._valid_until:
            self._slowness = self._compute(now)
        return self._slowness

    def observed_steps(self) -> int:
        """Return the number of steps that the estimate is based on."""
        return len(self._step_by_key)

    def _compute(self, now: float) -> float:
        for key, step in list(self._step_by_key.items()):
            if now < step.observed_at + VALIDITY_S:
                break
            del self._step_by_key[key]
        oldest = next(iter(self._step_by_key.values()), None)
        oldest_at = now if oldest is None else oldest.observed_at
        self._valid_until = oldest_at + VALIDITY_S
        observed = [
            statistics.median(step.slowness_by_index.values())
            for step in self._step_by_key.values()
        ]
        median = statistics.median([*observed, *[1.0] * PRIOR_STEPS])
        return max(median, 1.0)
