"""Counts the starts in progress, limits them and logs when others wait."""

import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.policy import start_window
from azurevane._internal.utils import process_lag as process_lag_module

logger = logging.getLogger(__name__)


class StartLimiter:
    """Applies the limit of a start window; times are monotonic seconds.

    Attributes:
        in_progress: number of starts that were sent and have no outcome yet.
    """

    def __init__(self, process_lag: process_lag_module.ProcessLag) -> None:
        self._process_lag = process_lag
        self._window = start_window.StartWindow()
        self._durations_s: list[float] = []
        self._services_left_over = 0
        self._put_off_since: float | None = None
        self.in_progress = 0

    def available(self, unsent: int) -> int:
        """Return how many more starts may be decided now.

        Those that wait for the store don't count, as neither the processor
        nor the link is busy with them.

        Args:
            unsent: number of starts that may be sent but aren't yet.
        """
        return self._window.available(self.in_progress + unsent)

    def may_send(self) -> bool:
        """Whether a further start may be sent now."""
        return self.in_progress < self._window.limit

    def record_sent(self) -> None:
        """Count a start that is sent now."""
        self.in_progress += 1

    def record_outcome(self, took_s: float) -> None:
        """Count a start's outcome.

        Args:
            took_s: time since the start was sent.
        """
        self.in_progress -= 1
        self._durations_s.append(took_s)

    def record_left_over(self, service_count: int) -> None:
        """Record for how many services the latest plan put starts off."""
        self._services_left_over = service_count

    def update(self, now: float) -> None:
        """Adapt the limit, and log whether starts are put off.

        The leader's tick calls this.
        """
        durations_s, self._durations_s = self._durations_s, []
        self._window.update(durations_s, now)
        if self._services_left_over and self._put_off_since is None:
            self._put_off_since = now
            catalogue.emit(
                logger,
                events.StartsPutOff(
                    self._services_left_over,
                    self._window.limit,
                    self.in_progress,
                    round(self._process_lag.latest_s, 3),
                ),
            )
        elif self._put_off_since is not None and not self._services_left_over:
            put_off_s = now - self._put_off_since
            self._put_off_since = None
            catalogue.emit(
                logger,
                events.StartsResumed(round(put_off_s, 3), self._window.limit),
            )
