"""Learns how far run times are from the declared ones.

Designed for queues whose declared run times are off by half or more, while
tasks of the same image behave alike. What is learned is the ratio of actual
to declared time, so that tasks of different sizes count together. It is
robust against runs in the tail, on slow runners or observed late, as long as
these are under half of the runs, and no runner gives more than an eighth of
them. A window forgets what no longer holds.
"""

import bisect
import collections
import dataclasses
import statistics

# Latest runs of an image that count. The median of 20 runs whose times
# differ by half is within a quarter of the true one.
WINDOW_RUNS = 64
# Runs of one runner that count at once, as it may be slow.
MAX_RUNS_PER_RUNNER = 8
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

    __slots__ = ("_by_age", "_count_by_runner", "_estimate", "_sorted")

    def __init__(self) -> None:
        self._by_age: collections.deque[tuple[str, float]] = (
            collections.deque()
        )
        self._count_by_runner: collections.Counter[str] = collections.Counter()
        self._sorted: list[float] = []
        self._estimate: RunTimeEstimate | None = None

    def add(self, runner_id: str, ratio: float) -> None:
        if self._count_by_runner[runner_id] == MAX_RUNS_PER_RUNNER:
            self._remove(
                next(run for run in self._by_age if run[0] == runner_id)
            )
        elif len(self._by_age) == WINDOW_RUNS:
            self._remove(self._by_age[0])
        self._by_age.append((runner_id, ratio))
        self._count_by_runner[runner_id] += 1
        bisect.insort(self._sorted, ratio)
        self._estimate = None

    def _remove(self, run: tuple[str, float]) -> None:
        runner_id, ratio = run
        self._by_age.remove(run)
        del self._sorted[bisect.bisect_left(self._sorted, ratio)]
        self._count_by_runner[runner_id] -= 1
        if not self._count_by_runner[runner_id]:
            del self._count_by_runner[runner_id]

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

    def record(
        self, key: str, runner_id: str, declared_s: float, run_s: float
    ) -> None:
        """Count a run that ended after its whole work."""
        if not declared_s:
            return
        # The keys are kept in the order of their latest run.
        window = self._window_by_key.pop(key, None) or _Window()
        self._window_by_key[key] = window
        ratio = min(max(run_s / declared_s, MIN_RATIO), MAX_RATIO)
        window.add(runner_id, ratio)
        if len(self._window_by_key) > MAX_KEYS:
            del self._window_by_key[next(iter(self._window_by_key))]

    def estimate(self, key: str) -> RunTimeEstimate:
        """Return the ratios of an image's or queue's runs."""
        window = self._window_by_key.get(key)
        return RunTimeEstimate() if window is None else window.estimate()
