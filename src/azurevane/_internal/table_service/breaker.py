"""Circuit breaker for calls to the platform."""

import random

from azurevane._internal.utils import backoff

_FAILURES_TO_OPEN = 5
# Bounds of the backoff between trial calls. Periodic reads serve as trial
# calls. A longer wait would delay the first change after an outage by as much.
_FIRST_WAIT_S = 0.5
_MAX_WAIT_S = 4.0


class CircuitBreaker:
    """Stops calls after consecutive failures, except for trial calls.

    Attributes:
        failures: number of consecutive failures.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.failures = 0
        self._waits = backoff.Backoff(_FIRST_WAIT_S, _MAX_WAIT_S, rng)
        self._next_trial_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are stopped, except for trial calls."""
        return self._next_trial_at is not None

    def allow_call(self, now: float) -> bool:
        """Return whether a call may be sent.

        If the breaker is open, an allowed call is the trial call.

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
        """Close the breaker after a successful call."""
        self.failures = 0
        self._next_trial_at = None
        self._waits.reset()

    def record_failure(self, now: float) -> None:
        """Count a failed call; open the breaker after too many."""
        self.failures += 1
        if self._next_trial_at is None and self.failures >= _FAILURES_TO_OPEN:
            self._next_trial_at = now + self._waits.next_wait_s()
