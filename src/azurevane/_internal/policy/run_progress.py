"""Foretells from a run's reported progress when it ends."""

import dataclasses

# A run's rate of progress is known after this long, in seconds. Progress is
# in hundredths, and runs are slower in their first moments.
MIN_OBSERVED_S = 0.2
# The same for a run that was first seen under way: it may have been
# restoring its checkpoint.
MIN_OBSERVED_RESUMED_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunProgress:
    """What is known of a run; times are monotonic seconds.

    Attributes:
        observed_from: since when its progress is known.
        first_percent: progress at that time.
        progress_at: when the last change of its progress was reported.
        percent: progress then.
    """

    runner_id: str
    observed_from: float
    first_percent: int
    progress_at: float
    percent: int

    @property
    def rate(self) -> float | None:
        """Highest progress in a second that the reports allow, or None."""
        observed_s = self.progress_at - self.observed_from
        resumed = self.first_percent > 0
        if observed_s < (
            MIN_OBSERVED_RESUMED_S if resumed else MIN_OBSERVED_S
        ):
            return None
        return (self.percent + 1 - self.first_percent) / 100 / observed_s

    def foretold_end(self) -> float | None:
        """Return when the run ends if it goes on at its rate, or None."""
        rate = self.rate
        if rate is None:
            return None
        return self.progress_at + (100 - self.percent) / 100 / rate

    def foretold_run_s(self) -> float | None:
        """Return the time that a whole run takes at its rate, or None."""
        rate = self.rate
        return None if rate is None else 1 / rate
