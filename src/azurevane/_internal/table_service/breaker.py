"""Circuit breaker towards the platform."""

import random

from azurevane._internal.utils import backoff

_FAILURES_TO_OPEN = 5
# Reads find out that the store is back; a longer wait would delay the
# first change after an outage by as much.
_FIRST_WAIT_S = 0.5
_LONGEST_WAIT_S = 4.0


class CircuitBreaker:
    """Stops calls after failures in a row; lets one trial through."""

    def __init__(self, chance: random.Random | None = None) -> None:
        self.failures = 0
        self._waits = backoff.Backoff(_FIRST_WAIT_S, _LONGEST_WAIT_S, chance)
        self._next_trial_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are stopped, except for trials."""
        return self._next_trial_at is not None

    def allow_call(self, now: float) -> bool:
        """Whether a call may be sent; counts as the trial if open.

        Args:
            now: monotonic seconds.
        """
        if self._next_trial_at is None:
            return True
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + self._waits.next_wait_s()
        return True

    def record_success(self) -> None:
        """Close the breaker."""
        self.failures = 0
        self._next_trial_at = None
        self._waits.reset()

    def record_failure(self, now: float) -> None:
        """Count a failure."""
        self.failures += 1
        if self._next_trial_at is None and self.failures >= _FAILURES_TO_OPEN:
            self._next_trial_at = now + self._waits.next_wait_s()
