"""Growing waits between tries."""

import random


class Backoff:
    """Waits that double up to a cap, each with jitter.

    Jitter of half the wait keeps hosts that failed together from trying
    again together.

    Args:
        first_s: first wait in seconds.
        cap_s: longest wait in seconds.
    """

    def __init__(
        self,
        first_s: float,
        cap_s: float,
        chance: random.Random | None = None,
    ) -> None:
        self._first_s = first_s
        self._cap_s = cap_s
        self._chance = chance or random.Random()
        self._wait_s = first_s

    def next_wait_s(self) -> float:
        """Return the next wait in seconds."""
        wait_s = self._wait_s
        self._wait_s = min(wait_s * 2, self._cap_s)
        return wait_s * self._chance.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again with the first wait."""
        self._wait_s = self._first_s
