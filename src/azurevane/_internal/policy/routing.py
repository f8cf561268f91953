"""Choice of a runner for a request, and when a runner takes work."""

from collections.abc import Iterable
import dataclasses

# Failures in a row after which a runner gets no more work.
_FAILURES_TO_OPEN = 5
# Seconds for which a circuit breaker opens; doubled with each failed trial.
_MIN_OPEN_S = 1.0
_MAX_OPEN_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Breaker:
    """Circuit breaker of one runner.

    Attributes:
        failures: failures in a row.
        open_s: length of the present opening; 0 while closed.
        open_until: monotonic seconds; then one trial request is allowed.
        trial: whether the trial request is running.
    """

    failures: int = 0
    open_s: float = 0.0
    open_until: float = 0.0
    trial: bool = False

    def allows_request(self, now: float) -> bool:
        """Whether a request may be sent now."""
        if not self.open_s:
            return True
        return now >= self.open_until and not self.trial

    def after_dispatch(self) -> "Breaker":
        """Return the breaker after a request was sent."""
        if not self.open_s:
            return self
        return dataclasses.replace(self, trial=True)

    def after_success(self) -> "Breaker":
        """Return the breaker after a whole answer."""
        return CLOSED_BREAKER

    def after_failure(self, now: float, refused: bool) -> "Breaker":
        """Return the breaker after a failure.

        Runs that began before it opened don't open it for longer.

        Args:
            refused: the runner said that it takes no work now; this opens
                the breaker at once.
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
    """A runner as routing sees it.

    Attributes:
        free_permits: permits for its slots that this host holds but doesn't
            use.
        outstanding: requests that this host runs on it.
        blocked_reason: why it takes no work; empty if it does.
    """

    runner: str
    zone: str
    free_permits: int
    outstanding: int
    blocked_reason: str = ""


def explain_unavailability(
    zone_out: bool, draining: bool, breaker: Breaker, now: float
) -> str:
    """Return why a runner takes no work, or an empty text."""
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
    """Return the order of preference; the lowest is chosen.

    A permit stands for a free slot, so the wait is equal for all runners
    with one. The own zone goes first, then the least outstanding.
    """
    return candidate_zone != zone, outstanding


def choose_runner(
    zone: str, candidates: Iterable[RunnerCandidate]
) -> tuple[str, tuple[str, ...]] | None:
    """Return the runner for a request with the reasons, or None.

    This states the rule by one scan; the dispatcher keeps an index that
    gives the same choice.
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
    """Return the reasons of a choice, for the log."""
    reasons = (
        "zone=same" if same_zone else "zone=other",
        f"outstanding={outstanding}",
    )
    return (*reasons, f"spare-pool={lent_by}") if lent_by else reasons
