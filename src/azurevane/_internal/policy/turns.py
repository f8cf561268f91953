"""Foresees when the queues' busy periods begin, from those seen before.

Queues whose demand comes by turns are busy one after the other. A host that
is fetched once jobs arrive comes a move later, when the first of them are
late; here the begin is foreseen, so that hosts are fetched a move before it.

A forecast needs no configuration: it rests on which service was busy before
which, and how long before. One that fails costs the hosts of one busy period
for a few seconds, and its service gets no other until its busy periods have
begun as they would have been foreseen.
"""

import collections
import dataclasses

# A rise to this multiple of the previous rate begins a busy period, and a
# fall to the inverse of it ends one.
MIN_RATIO = 3.0
# Rates in jobs a second below this one don't differ for this purpose.
MIN_BASE_RATE = 0.5
# A shorter burst is no turn.
MIN_BUSY_S = 1.0
# Hosts come this much earlier than the jobs that are expected, as begins
# vary; it is short against the time that an idle host costs anyway.
EARLY_S = 0.4
# A busy period that hasn't begun this long after it was expected won't come.
TOLERANCE_S = 1.0
# Number of busy periods that are remembered, of all services.
MAX_PERIODS = 32


@dataclasses.dataclass(slots=True)
class BusyPeriod:
    """A busy period of a service; the end is 0 while it lasts."""

    service: str
    began_at: float
    ended_at: float = 0.0
    jobs: int = 0

    def rate(self) -> float:
        """Return the mean rate of a period that has ended."""
        return self.jobs / max(self.ended_at - self.began_at, MIN_BUSY_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """The expected begin and end of a busy period, and its rate."""

    begins_at: float
    ends_at: float
    rate: float


class Turns:
    """Busy periods of all services; times are in seconds."""

    def __init__(self) -> None:
        self.periods: collections.deque[BusyPeriod] = collections.deque(
            maxlen=MAX_PERIODS
        )
        self._current_by_service: dict[str, BusyPeriod] = {}
        # Rate, since when, and the rate before it.
        self._rate_by_service: dict[str, tuple[float, float, float]] = {}
        # Forecasts that are still open, and services whose last one failed.
        self._forecast_by_service: dict[str, Forecast] = {}
        self._distrusted: set[str] = set()
        self._services: set[str] = set()

    def record_rate(
        self, service: str, rate: float, changed_at: float, now: float
    ) -> BusyPeriod | None:
        """Record a service's rate; return the period that began or ended.

        Args:
            changed_at: since when jobs have arrived at this rate.
        """
        current = self._current_by_service.get(service)
        previous = self._rate_by_service.get(service, (0.0, changed_at, 0.0))
        base = previous[2]
        if changed_at != previous[1] and current is None:
            base = previous[0]
        self._rate_by_service[service] = rate, changed_at, base
        if current is None and self._is_busy(service, rate, base):
            return self._begin(service, changed_at)
        if current is None:
            self._drop_overdue(service, now)
            return None
        elapsed_s = changed_at - current.began_at
        if elapsed_s <= 0 or rate * MIN_RATIO * elapsed_s > current.jobs:
            return None
        del self._current_by_service[service]
        current.ended_at = changed_at
        if changed_at - current.began_at < MIN_BUSY_S:
            self.periods.remove(current)
            return None
        return current

    def count_job(self, service: str) -> None:
        """Count a job of a service."""
        current = self._current_by_service.get(service)
        if current is not None:
            current.jobs += 1

    def forecast(self, service: str, now: float) -> Forecast | None:
        """Return the next busy period of a service that isn't busy."""
        self._services.add(service)
        self._drop_overdue(service, now)
        if service in self._current_by_service:
            return None
        found = self._find(service, now)
        if found is None:
            return None
        self._forecast_by_service[service] = found
        return None if service in self._distrusted else found

    def _is_busy(self, service: str, rate: float, base: float) -> bool:
        if rate < MIN_RATIO * max(base, MIN_BASE_RATE):
            return False
        last = self._last_period(service)
        return last is None or rate * MIN_RATIO >= last.rate()

    def _find(self, service: str, now: float) -> Forecast | None:
        own = self._last_period(service)
        if own is None or not own.ended_at:
            return None
        begins_at = self._expected_begin(own)
        if begins_at is None or now > begins_at + TOLERANCE_S:
            return None
        length_s = own.ended_at - own.began_at
        return Forecast(begins_at, begins_at + length_s, own.rate())

    def _expected_begin(self, own: BusyPeriod) -> float | None:
        """Return when a service is expected to be busy again."""
        periods = list(self.periods)
        position = periods.index(own)
        if not position:
            return self._begin_of_round(periods)
        previous = periods[position - 1]
        latest = self._last_period(previous.service)
        if latest is None or latest.began_at <= own.began_at:
            return None
        return latest.began_at + own.began_at - previous.began_at

    def _begin_of_round(self, periods: list[BusyPeriod]) -> float | None:
        """Return when the service that was busy first is busy again.

        Nothing is known of what precedes it. If all others followed each
        other without a pause, it is expected to follow the last of them.
        """
        others = self._services - {periods[0].service}
        seen = [period.service for period in periods[1:]]
        if len(seen) < 2 or set(seen) != others or len(set(seen)) < len(seen):
            return None
        steps = [
            after.began_at - before.began_at
            for before, after in zip(periods, periods[1:], strict=False)
        ]
        pauses = [
            abs(after.began_at - before.ended_at)
            for before, after in zip(periods, periods[1:], strict=False)
        ]
        if max(pauses) > TOLERANCE_S:
            return None
        return periods[-1].began_at + sorted(steps)[len(steps) // 2]

    def _last_period(self, service: str) -> BusyPeriod | None:
        for period in reversed(self.periods):
            if period.service == service:
                return period
        return None

    def _begin(self, service: str, began_at: float) -> BusyPeriod:
        expected = self._forecast_by_service.pop(service, None)
        if expected is not None:
            if abs(began_at - expected.begins_at) <= TOLERANCE_S:
                self._distrusted.discard(service)
            else:
                self._distrusted.add(service)
        period = BusyPeriod(service, began_at, jobs=1)
        self.periods.append(period)
        self._current_by_service[service] = period
        return period

    def _drop_overdue(self, service: str, now: float) -> None:
        expected = self._forecast_by_service.get(service)
        if expected is not None and now > expected.begins_at + TOLERANCE_S:
            del self._forecast_by_service[service]
            self._distrusted.add(service)
