"""A rate with a bounded burst."""


class TokenBucket:
    """Grants up to ``burst`` at once and ``rate`` a second in the long run.

    Args:
        rate: grants a second.
        burst: most grants at once; also the first fill.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one grant; False if there is none.

        Args:
            now: monotonic seconds.
        """
        passed = 0.0 if self._filled_at is None else now - self._filled_at
        self._level = min(self._level + passed * self.rate, self._burst)
        self._filled_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
