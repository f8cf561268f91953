"""Estimates the rate of arrivals of a service whose demand changes suddenly.

A queue's demand may rise from next to nothing to its highest within a moment,
and hosts that are fetched arrive a move later. An average over a fixed window
shows the new rate only when the window has passed. Here the estimate is the
mean since the last change of the rate, and a change is found by comparing the
jobs of several short windows with what the estimate lets expect.
"""

import collections
import math

# A change is searched for in windows of these lengths: the short ones show a
# strong change at once, the long ones a weak change of a low rate.
WINDOWS_S = (0.2, 0.4, 0.8, 1.6)
# Jobs are usually read less late than this, which must not pass for a fall: it
# isn't searched for in windows that are less than twice as long.
USUAL_READ_DELAY_S = 0.2
# A window shows a change if the bound on its probability without one, here
# e to the power of minus this, is below 1 in 100.
MIN_SURPRISE = 4.6
# Fewer jobs than this show no rise, whatever the rate was before.
MIN_JOBS = 3
# Rate in jobs a second below which a change costs less than a move.
LEAST_RATE = 0.5
# The mean is taken over no shorter time, as it is too uncertain then.
MIN_SPAN_S = 0.2
# The mean forgets what lies further back, so that it follows slow changes.
MAX_SPAN_S = 10.0
# Weight of the newest job in the mean work of jobs, once there are as many.
WORK_WEIGHT = 0.05


class ArrivalRate:
    """Rate and mean work of a service's jobs; times are in seconds.

    Attributes:
        changed_at: since when jobs have arrived at the present rate.
        rate: mean since the last change, as of the last update.
        demand_rate: the same, or what a window shows at least, if that is
            more: demand may rise in several steps.
        mean_work: mean work of a job: capacity of each kind, multiplied by
            the time for which it is used.
        mean_path_s: mean run time of a job's longest chain of steps.
    """

    def __init__(self) -> None:
        self.changed_at = float("-inf")
        self.rate = 0.0
        self.demand_rate = 0.0
        self.mean_work: tuple[float, ...] = ()
        self.mean_path_s = 0.0
        self._jobs = 0
        # Jobs since the last change, as far as they count towards the mean.
        self._count = 0.0
        self._recent: collections.deque[float] = collections.deque()

    def count_job(
        self, at: float, work: tuple[float, ...], path_s: float
    ) -> None:
        """Count a job that arrived at a time, with its work and length."""
        self._jobs += 1
        self._count += 1.0
        weight = max(1.0 / self._jobs, WORK_WEIGHT)
        self.mean_work = tuple(
            mean + weight * (part - mean)
            for mean, part in zip(self.mean_work or work, work, strict=True)
        )
        self.mean_path_s += weight * (path_s - self.mean_path_s)
        if self._recent and at < self._recent[-1]:
            # Hosts store jobs side by side, so some are read out of order.
            self._recent = collections.deque(sorted([*self._recent, at]))
        else:
            self._recent.append(at)

    def update(self, now: float, read_delay_s: float = 0.0) -> float:
        """Look for a change of the rate; return the rate in jobs a second.

        Args:
            read_delay_s: by how much later than usual jobs are read now, so
                that those of the latest time aren't known yet.
        """
        known_until = now - read_delay_s
        while self._recent and self._recent[0] < known_until - WINDOWS_S[-1]:
            self._recent.popleft()
        rate = self._mean_rate(now, known_until)
        for window_s in WINDOWS_S:
            if self._find_rise(window_s, rate, now) or self._find_fall(
                window_s, rate, known_until
            ):
                rate = self._mean_rate(now, known_until)
                break
        self.rate = rate
        self.demand_rate = max(rate, self._least_recent_rate(known_until))
        return rate

    def load(self, rate: float, arriving_s: float) -> tuple[float, ...]:
        """Return the capacity that jobs use which arrive at a rate.

        Jobs begin with their first step and use as much as their whole work
        calls for only when they have arrived for as long as they run.
        """
        arriving_s = max(arriving_s, 0.0)
        if arriving_s < self.mean_path_s:
            rate *= arriving_s / self.mean_path_s
        return tuple(rate * part for part in self.mean_work)

    def _mean_rate(self, now: float, known_until: float) -> float:
        span_s = known_until - self.changed_at
        if span_s > MAX_SPAN_S:
            self._count *= MAX_SPAN_S / span_s
            self.changed_at = known_until - MAX_SPAN_S
            span_s = MAX_SPAN_S
        if span_s < MIN_SPAN_S:
            # All that is known came later.
            return self._count / max(now - self.changed_at, MIN_SPAN_S)
        later = sum(at > known_until for at in self._recent)
        return max(self._count - later, 0.0) / span_s

    def _least_recent_rate(self, now: float) -> float:
        """Return the highest lower bound that a window shows."""
        least = 0.0
        for window_s in WINDOWS_S[1:]:
            count = sum(at >= now - window_s for at in self._recent)
            # One standard deviation less.
            least = max(least, (count - math.sqrt(count)) / window_s)
        return least

    def _find_rise(self, window_s: float, rate: float, now: float) -> bool:
        start = now - window_s
        if start < self.changed_at:
            return False
        jobs = [at for at in self._recent if at >= start]
        expected = max(rate, LEAST_RATE) * window_s
        if len(jobs) < MIN_JOBS or len(jobs) <= expected:
            return False
        if _surprise(len(jobs), expected) < MIN_SURPRISE:
            return False
        # The first job only marks the beginning.
        self.changed_at, self._count = jobs[0], len(jobs) - 1.0
        return True

    def _find_fall(
        self, window_s: float, rate: float, known_until: float
    ) -> bool:
        start = known_until - window_s
        if start < self.changed_at or window_s < 2 * USUAL_READ_DELAY_S:
            return False
        since_start = sum(at >= start for at in self._recent)
        later = sum(at > known_until for at in self._recent)
        in_window = since_start - later
        if in_window > max(rate, LEAST_RATE) * window_s:
            return False
        before_s = start - self.changed_at
        if before_s >= 4 * window_s:
            # The window is no part of what it is compared to.
            rate = (self._count - since_start) / before_s
        if rate < LEAST_RATE:
            return False
        if _surprise(in_window, rate * window_s) < MIN_SURPRISE:
            return False
        self.changed_at, self._count = start, float(since_start)
        return True


def _surprise(count: int, expected: float) -> float:
    """Return minus the logarithm of Chernoff's bound for a Poisson count."""
    if not count:
        return expected
    return count * math.log(count / expected) - count + expected
