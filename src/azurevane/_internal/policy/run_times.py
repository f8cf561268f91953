"""Learns how far run times are from the declared ones.

Designed for queues whose declared run times are off by half or more, while
tasks of the same image behave alike. What is learned is the ratio of actual
to declared time, so that tasks of different sizes count together. It is
robust against runs in the tail, on slow runners or observed late, as long as
these are under half of the runs. A window forgets what no longer holds.
"""

import bisect
import collections
import dataclasses
import statistics

# Latest runs of an image that count. The median of 20 runs whose times
# differ by half is within a quarter of the true one.
WINDOW_RUNS = 64
# Images and queues of which run times are kept; those without a run for the
# longest time are forgotten first.
MAX_KEYS = 256
# Runs as long as declared that are assumed before the first one ends. Each
# PRIOR_FADING_RUNS actual runs replace one of them.
PRIOR_RUNS = 4
PRIOR_FADING_RUNS = 4
# Ratios outside these bounds count as at the bound.
MIN_RATIO = 1 / 16
MAX_RATIO = 16.0
# A run is in the tail beyond this multiple of the median.
TAIL_RATIO = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimeEstimate:
    """Ratios of actual to declared run times.

    Attributes:
        median: ratio of the median run.
        spread: median deviation from it, as a share of it.
        tail_share: share of runs that took TAIL_RATIO times the median.
        runs: number of runs that it is based on.
    """

    median: float = 1.0
    spread: float = 0.0
    tail_share: float = 0.0
    runs: int = 0


class _Window:
    """Ratios of the latest runs, by age and sorted."""

    __slots__ = ("_by_age", "_estimate", "_sorted")

    def __init__(self) -> None:
        self._by_age: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []
        self._estimate: RunTimeEstimate | None = None

    def add(self, ratio: float) -> None:
        if len(self._by_age) == WINDOW_RUNS:
            oldest = self._by_age.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._by_age.append(ratio)
        bisect.insort(self._sorted, ratio)
        self._estimate = None

    def estimate(self) -> RunTimeEstimate:
        if self._estimate is None:
            self._estimate = self._compute()
        return self._estimate

    def _compute(self) -> RunTimeEstimate:
        runs = len(self._sorted)
        prior_runs = max(PRIOR_RUNS - runs // PRIOR_FADING_RUNS, 0)
        median = statistics.median([*self._sorted, *[1.0] * prior_runs])
        deviations = [abs(ratio - median) for ratio in self._sorted]
        in_tail = runs - bisect.bisect_right(self._sorted, TAIL_RATIO * median)
        return RunTimeEstimate(
            median,
            statistics.median(deviations) / median,
            in_tail / runs,
            runs,
        )


class RunTimeTable:
    """Run times by image, or by queue for tasks without an image."""

    def __init__(self) -> None:
        self._window_by_key: dict[str, _Window] = {}

    def record(self, key: str, declared_s: float, run_s: float) -> None:
        """Count a run that ended after its whole work on a sound runner."""
        if not declared_s:
            return
        # The keys are kept in the order of their latest run.
        window = self._window_by_key.pop(key, None) or _Window()
        self._window_by_key[key] = window
        window.add(min(max(run_s / declared_s, MIN_RATIO), MAX_RATIO))
        if len(self._window_by_key) > MAX_KEYS:
            del self._window_by_key[next(iter(self._window_by_key))]

    def estimate(self, key: str) -> RunTimeEstimate:
        """Return the ratios of an image's or queue's runs."""
        window = self._window_by_key.get(key)
        return RunTimeEstimate() if window is None else window.estimate()
