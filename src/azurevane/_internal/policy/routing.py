"""Chooses a runner for a request, and decides when a runner accepts work."""

from collections.abc import Iterable
import dataclasses

# Consecutive failures after which the circuit breaker of a runner opens.
_FAILURES_TO_OPEN = 5
# Bounds of the time for which a circuit breaker stays open, in seconds. It
# starts at the lower one and doubles with each failed trial request.
_MIN_OPEN_S = 1.0
_MAX_OPEN_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Breaker:
    """Circuit breaker of one runner.

    Attributes:
        failures: number of consecutive failures.
        open_s: time for which the breaker was last opened; 0 while closed.
        open_until: monotonic seconds from which one trial request is
            allowed.
        trial: whether the trial request is running.
    """

    failures: int = 0
    open_s: float = 0.0
    open_until: float = 0.0
    trial: bool = False

    def allows_request(self, now: float) -> bool:
        """Whether a request may be sent to the runner now."""
        if not self.open_s:
            return True
        return now >= self.open_until and not self.trial

    def after_dispatch(self) -> "Breaker":
        """Return the state after a request was sent."""
        if not self.open_s:
            return self
        return dataclasses.replace(self, trial=True)

    def after_success(self) -> "Breaker":
        """Return the state after a complete answer."""
        return CLOSED_BREAKER

    def after_failure(self, now: float, refused: bool) -> "Breaker":
        """Return the state after a failure.

        Failures of requests sent before the breaker opened don't extend
        the time for which it is open.

        Args:
            refused: whether the runner answered that it accepts no work
                now; this opens the breaker at once.
        """
        if self.open_s and not self.trial:
            return self
        failures = self.failures + 1
        if failures < _FAILURES_TO_OPEN and not refused and not self.open_s:
            return dataclasses.replace(self, failures=failures)
        seconds = min(max(2 * self.open_s, _MIN_OPEN_S), _MAX_OPEN_S)
        return Breaker(failures, seconds, now + seconds)


CLOSED_BREAKER = Breaker()


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCandidate:
    """A runner that a request might be sent to.

    Attributes:
        free_permits: unused permits for the runner's slots at this host.
        outstanding: number of requests that this host runs on it.
        blocked_reason: why it accepts no work; empty if it does.
    """

    runner: str
    zone: str
    free_permits: int
    outstanding: int
    blocked_reason: str = ""


def explain_unavailability(
    zone_out: bool, draining: bool, breaker: Breaker, now: float
) -> str:
    """Return why a runner accepts no work, or an empty string."""
    if zone_out:
        return "zone-out"
    if draining:
        return "draining"
    if not breaker.allows_request(now):
        return "breaker-open"
    return ""


def preference_key(
    zone: str, candidate_zone: str, outstanding: int
) -> tuple[bool, int]:
    """Return the sort key of a runner; the lowest is chosen.

    A permit guarantees a free slot, so the wait is the same on every runner
    for which a permit is held. Runners in the host's own zone come first,
    then those with the fewest outstanding requests.
    """
    return candidate_zone != zone, outstanding


def choose_runner(
    zone: str, candidates: Iterable[RunnerCandidate]
) -> tuple[str, tuple[str, ...]] | None:
    """Return the runner for a request with the reasons, or None.

    This is the reference implementation, a linear scan. The dispatcher
    keeps an index that gives the same result.
    """
    usable = [
        c for c in candidates if not c.blocked_reason and c.free_permits > 0
    ]
    if not usable:
        return None
    chosen = min(
        usable, key=lambda c: preference_key(zone, c.zone, c.outstanding)
    )
    return chosen.runner, explain_choice(
        zone == chosen.zone, chosen.outstanding
    )


def explain_choice(
    same_zone: bool, outstanding: int, lent_by: str = ""
) -> tuple[str, ...]:
    """Return the reasons for a choice, for the log."""
    reasons = (
        "zone=same" if same_zone else "zone=other",
        f"outstanding={outstanding}",
    )
    return (*reasons, f"spare-pool={lent_by}") if lent_by else reasons
