"""Rate limit that allows bounded bursts."""


class TokenBucket:
    """Allows ``rate`` grants per second and bursts of ``burst`` grants.

    Args:
        rate: grants per second.
        burst: maximum number of grants at once; the bucket starts full.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Use one grant; return False if none is left.

        Args:
            now: monotonic seconds.
        """
        elapsed_s = 0.0 if self._filled_at is None else now - self._filled_at
        self._level = min(self._level + elapsed_s * self.rate, self._burst)
        self._filled_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
