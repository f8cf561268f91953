"""Arriving work and busy periods of the services, as the leader sees them."""

import collections
from collections.abc import Iterable
import dataclasses
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.policy import arrival_rate
from azurevane._internal.policy import host_packing
from azurevane._internal.policy import turns

logger = logging.getLogger(__name__)

# Rates are updated each so often, also for the jobs of before a takeover.
UPDATE_INTERVAL_S = 0.25
# By how much later than usual jobs are read follows from the latest ones: from
# so many, none of them older than this. A tenth of them may be later still,
# and the clocks of a few hosts may differ.
MAX_DELAYS = 20
DELAY_MEMORY_S = 3.0
DELAY_QUANTILE = 0.9
# A new leader goes through the arrivals of this time before it, which is
# enough for a round of busy periods and takes a few hundredths of a second.
MAX_HISTORY_S = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that arrived: its work in task-seconds, and its longest chain."""

    service: str
    at: float
    work: host_packing.Load
    path_s: float


class BusyPeriods:
    """Rates of arrivals and forecasts of busy periods; times are monotonic.

    Args:
        lead_s: time from the command to move a host until it takes tasks.
        forecast: whether busy periods are foreseen.
    """

    def __init__(self, lead_s: float, *, forecast: bool) -> None:
        self._lead_s = lead_s
        self._forecast = forecast
        self._turns = turns.Turns()
        self._rate_by_service: dict[str, arrival_rate.ArrivalRate] = {}
        self._updated_at: float | None = None
        # When jobs were read, and how late.
        self._delays: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_DELAYS)
        )
        self._announced: dict[str, turns.Forecast] = {}

    def record_arrivals(
        self,
        arrivals: Iterable[Arrival],
        now: float,
        known_until: float | None = None,
    ) -> None:
        """Count jobs that arrived since the last call.

        Args:
            known_until: time from which on jobs may not have been read,
                whatever the delay of the latest ones; now if it is None.
        """
        for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
            if arrival.at < now - MAX_HISTORY_S:
                continue
            if self._updated_at is not None:
                self._delays.append((now, now - arrival.at))
            self._update_until(arrival.at)
            rate = self._rate_by_service.setdefault(
                arrival.service, arrival_rate.ArrivalRate()
            )
            work = arrival.work
            rate.count_job(
                arrival.at,
                (work.tasks, work.cpu, work.memory, work.gpu),
                arrival.path_s,
            )
            self._turns.count_job(arrival.service)
        self._update_until(now)
        unknown_s = 0.0 if known_until is None else now - known_until
        self._update(now, max(self._read_delay_s(now), unknown_s))

    def arriving(self, service: str, now: float) -> host_packing.Load:
        """Return what arriving jobs use when a host ordered now is there."""
        rate = self._rate_by_service.get(service)
        if rate is None:
            return host_packing.Load()
        at = now + self._lead_s
        parts = rate.load(rate.demand_rate, at - rate.changed_at)
        if self._forecast:
            expected = self._turns.forecast(service, now)
            self._announce(service, expected, now)
            if expected is not None and at < expected.ends_at:
                since_begin_s = at + turns.EARLY_S - expected.begins_at
                foreseen = rate.load(expected.rate, since_begin_s)
                parts = max(parts, foreseen)
        return host_packing.Load(*parts)

    def _update_until(self, at: float) -> None:
        """Update the rates at the times that have passed since the last."""
        if self._updated_at is None:
            self._updated_at = at
        while self._updated_at + UPDATE_INTERVAL_S < at:
            self._update(self._updated_at + UPDATE_INTERVAL_S)

    def _read_delay_s(self, now: float) -> float:
        """Return by how much later than usual jobs are read now."""
        while self._delays and now - self._delays[0][0] > DELAY_MEMORY_S:
            self._delays.popleft()
        if not self._delays:
            return 0.0
        delays_s = sorted(delay_s for _, delay_s in self._delays)
        delay_s = delays_s[int(DELAY_QUANTILE * (len(delays_s) - 1))]
        return max(delay_s - arrival_rate.USUAL_READ_DELAY_S, 0.0)

    def _update(self, now: float, read_delay_s: float = 0.0) -> None:
        self._updated_at = now
        for service, rate in self._rate_by_service.items():
            rate.update(now, read_delay_s)
            if not self._forecast:
                continue
            period = self._turns.record_rate(
                service, rate.rate, rate.changed_at, now
            )
            if period is not None:
                catalogue.emit(
                    logger,
                    events.BusyPeriodChanged(
                        service,
                        "ended" if period.ended_at else "began",
                        round(now - (period.ended_at or period.began_at), 3),
                        period.jobs,
                        round(rate.rate, 1),
                    ),
                )

    def _announce(
        self, service: str, expected: turns.Forecast | None, now: float
    ) -> None:
        """Log a forecast when a host ordered for it would come in time."""
        if expected is None or expected == self._announced.get(service):
            return
        if now + self._lead_s + turns.EARLY_S < expected.begins_at:
            return
        self._announced[service] = expected
        catalogue.emit(
            logger,
            events.BusyPeriodForeseen(
                service,
                round(expected.begins_at - now, 3),
                round(expected.ends_at - expected.begins_at, 3),
                round(expected.rate, 1),
            ),
        )
