"""Limit on the number of starts that a leader has in progress.

Designed for bursts that ask for more starts at once than the leader's
processor or link handles in time, on hosts of a tenth of a core and 2 Mbit/s
as well as on strong ones. Without a limit the starts queue in front of the
link until they time out, and behind them wait the extensions of leases and
the jobs that come next in the order.
"""

from collections.abc import Sequence
import math
import statistics

INITIAL_STARTS = 32
MAX_STARTS = 512
MIN_STARTS = 16
# Share by which the limit grows in a tick with prompt responses.
GROWTH_SHARE = 1 / 8
# Share of the limit that has to be free before further starts begin.
MIN_FREE_SHARE = 0.25
# A start that takes this long waits for the leader's processor or link; a
# runner answers within milliseconds.
SLOW_RESPONSE_S = 0.25
# Time in which a smaller limit takes effect.
SHRINK_PAUSE_S = 0.3


class StartWindow:
    """Adapts the limit to how long starts take; times are in seconds."""

    def __init__(self) -> None:
        self.limit = INITIAL_STARTS
        self._shrink_not_before = 0.0

    def update(self, took_s: Sequence[float], now: float) -> None:
        """Adapt the limit; called at each tick of the leader.

        Args:
            took_s: times from sending a start to its outcome, of the starts
                with an outcome since the last tick. Their median counts, as
                a few runners may not answer.
        """
        if not took_s:
            return
        if statistics.median(took_s) < SLOW_RESPONSE_S:
            growth = math.ceil(self.limit * GROWTH_SHARE)
            self.limit = min(self.limit + growth, MAX_STARTS)
        elif now >= self._shrink_not_before:
            self.limit = max(self.limit // 2, MIN_STARTS)
            self._shrink_not_before = now + SHRINK_PAUSE_S

    def available(self, in_progress: int) -> int:
        """Return how many more starts may begin now.

        Few at a time would cost a planning pass and a write each, so there
        are none until a share of the limit is free.
        """
        free = self.limit - in_progress
        return free if free >= self.limit * MIN_FREE_SHARE else 0
