"""Budget that limits the number of retries."""

import collections

# Retries are limited to a tenth of the successes of the last ten seconds.
# They add at most a tenth to the load of a pool that partly fails, and
# stop soon after it fails completely.
BUDGET_RATIO = 0.1
BUDGET_WINDOW_S = 10


class RetryBudget:
    """Counts successes and retries of the last ten seconds."""

    def __init__(self) -> None:
        self._count_by_second: collections.OrderedDict[int, list[int]] = (
            collections.OrderedDict()
        )

    def _current_counts(self, now: float) -> list[int]:
        """Return the successes and retries of this second; drop old ones."""
        second = int(now)
        while self._count_by_second:
            oldest = next(iter(self._count_by_second))
            if oldest > second - BUDGET_WINDOW_S:
                break
            del self._count_by_second[oldest]
        return self._count_by_second.setdefault(second, [0, 0])

    def record_success(self, now: float) -> None:
        """Count a request that got a complete answer."""
        self._current_counts(now)[0] += 1

    def retries_left(self, now: float) -> int:
        """Return how many retries are allowed now."""
        self._current_counts(now)
        counts = self._count_by_second.values()
        successes = sum(count[0] for count in counts)
        retries = sum(count[1] for count in counts)
        return int(successes * BUDGET_RATIO) - retries

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        assert self.retries_left(now) >= 1, "the retry budget is used up"
        self._current_counts(now)[1] += 1
