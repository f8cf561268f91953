"""Exponential backoff between retries."""

import random


class Backoff:
    """Exponential delays with jitter, up to a maximum.

    Each delay is shortened at random by up to one half, so that hosts that
    failed at the same time don't retry at the same time.

    Args:
        first_s: first delay in seconds.
        cap_s: maximum delay in seconds.
    """

    def __init__(
        self,
        first_s: float,
        cap_s: float,
        rng: random.Random | None = None,
    ) -> None:
        self._first_s = first_s
        self._cap_s = cap_s
        self._rng = rng or random.Random()
        self._wait_s = first_s

    def next_wait_s(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        wait_s = self._wait_s
        self._wait_s = min(wait_s * 2, self._cap_s)
        return wait_s * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again with the first delay."""
        self._wait_s = self._first_s
