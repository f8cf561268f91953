"""Measures how late the process runs its timers."""

from typing import Any

TICK_INTERVAL_S = 0.1
# A timer that is no later than this isn't late: the reactor handles a few
# events before it.
TOLERANCE_S = 0.02


class ProcessLag:
    """Total time by which the process has been late, in seconds.

    A process without enough processor time reads responses long after they
    arrived. Whoever waits for a peer subtracts this time from the wait.

    Attributes:
        latest_s: delay of the latest tick.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._due_at = float("inf")
        self._past_s = 0.0
        self.latest_s = 0.0

    def total_s(self) -> float:
        """Return the sum of all delays, that of the next tick included."""
        return self._past_s + self._delay_s()

    def _delay_s(self) -> float:
        late_s = float(self._reactor.seconds()) - self._due_at
        return late_s if late_s > TOLERANCE_S else 0.0

    def start(self) -> None:
        """Begin to measure."""
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        self._due_at = self._reactor.seconds() + TICK_INTERVAL_S
        self._reactor.callLater(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self.latest_s = self._delay_s()
        self._past_s += self.latest_s
        self._schedule_tick()
