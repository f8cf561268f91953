"""Learns how far run times are from the declared ones.

Designed for queues whose declared run times are off by half or more, while
tasks of the same image behave alike. What is learned is the ratio of actual
to declared time, so that tasks of different sizes count together. The tasks
of a step share the error of their declared time, so each step counts once,
with its median. The result is robust against runs in the tail, on slow
runners or observed late, as long as they decide under half of the steps. A
window forgets what no longer holds.
"""

import bisect
from collections.abc import Hashable
import dataclasses
import statistics

# Latest steps of an image that count. With errors of a half, their median is
# within a tenth of the true one.
WINDOW_STEPS = 64
# Runs of a step that count; more don't change its median much.
MAX_RUNS_PER_STEP = 32
# Images and queues of which run times are kept; those without a run for the
# longest time are forgotten first.
MAX_KEYS = 256
# Steps as long as declared that are assumed before the first run ends. Each
# PRIOR_FADING actual observations replace one of them.
PRIOR_STEPS = 4
PRIOR_FADING = 4
# Ratios outside these bounds count as at the bound.
MIN_RATIO = 1 / 16
MAX_RATIO = 16.0
# A run is in the tail beyond this multiple of the image's median, or of its
# step's median where steps differ.
TAIL_RATIO = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimeEstimate:
    """Ratios of actual to declared run times.

    Attributes:
        median: ratio of the median step.
        spread: median deviation of steps from it, as a share of it.
        tail_share: share of runs that took TAIL_RATIO times the usual time.
        runs: number of runs that it is based on.
    """

    median: float = 1.0
    spread: float = 0.0
    tail_share: float = 0.0
    runs: int = 0


class _Window:
    """Ratios of the latest steps, by age and sorted.

    Args:
        alike: whether all runs behave alike, so that each of them is an
            observation rather than each step.
    """

    __slots__ = ("_alike", "_median", "_medians", "_ratios_by_step", "runs")

    def __init__(self, *, alike: bool) -> None:
        self._alike = alike
        # The steps are kept in the order of their latest run.
        self._ratios_by_step: dict[Hashable, list[float]] = {}
        self._medians: list[float] = []
        self._median: float | None = None
        self.runs = 0

    @property
    def observations(self) -> int:
        return self.runs if self._alike else len(self._medians)

    def add(self, step: Hashable, ratio: float) -> None:
        ratios = self._ratios_by_step.pop(step, None)
        if ratios is not None:
            self._forget_median(ratios)
        else:
            ratios = []
            if len(self._ratios_by_step) == WINDOW_STEPS:
                oldest = next(iter(self._ratios_by_step))
                forgotten = self._ratios_by_step.pop(oldest)
                self._forget_median(forgotten)
                self.runs -= len(forgotten)
        if len(ratios) < MAX_RUNS_PER_STEP:
            ratios.append(ratio)
            self.runs += 1
        self._ratios_by_step[step] = ratios
        bisect.insort(self._medians, statistics.median(ratios))
        self._median = None

    def _forget_median(self, ratios: list[float]) -> None:
        median = statistics.median(ratios)
        del self._medians[bisect.bisect_left(self._medians, median)]

    def median(self) -> float:
        if self._median is None:
            prior = max(PRIOR_STEPS - self.observations // PRIOR_FADING, 0)
            self._median = statistics.median([*self._medians, *[1.0] * prior])
        return self._median

    def estimate(self) -> RunTimeEstimate:
        median = self.median()
        deviations = [abs(ratio - median) for ratio in self._medians]
        in_tail = 0
        for ratios in self._ratios_by_step.values():
            usual = median if self._alike else statistics.median(ratios)
            in_tail += sum(ratio > TAIL_RATIO * usual for ratio in ratios)
        return RunTimeEstimate(
            median,
            statistics.median(deviations) / median,
            in_tail / self.runs,
            self.runs,
        )


class RunTimeTable:
    """Run times by image, or by queue for tasks without an image."""

    def __init__(self) -> None:
        self._window_by_key: dict[str, _Window] = {}

    def record(
        self,
        key: str,
        step: Hashable,
        declared_s: float,
        run_s: float,
        *,
        alike: bool,
    ) -> None:
        """Count a run that ended after its whole work.

        Args:
            step: identifies the step of its job.
            alike: whether all tasks of this key behave alike.
        """
        if not declared_s:
            return
        # The keys are kept in the order of their latest run.
        window = self._window_by_key.pop(key, None) or _Window(alike=alike)
        self._window_by_key[key] = window
        window.add(step, min(max(run_s / declared_s, MIN_RATIO), MAX_RATIO))
        if len(self._window_by_key) > MAX_KEYS:
            del self._window_by_key[next(iter(self._window_by_key))]

    def median(self, key: str) -> float:
        """Return the ratio of the median step."""
        window = self._window_by_key.get(key)
        return 1.0 if window is None else window.median()

    def observations(self, key: str) -> int:
        """Return the number of independent observations."""
        window = self._window_by_key.get(key)
        return 0 if window is None else window.observations

    def estimate(self, key: str) -> RunTimeEstimate:
        """Return the ratios of an image's or queue's runs."""
        window = self._window_by_key.get(key)
        return RunTimeEstimate() if window is None else window.estimate()
