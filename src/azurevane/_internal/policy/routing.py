"""Choice of a runner for a request, and when a runner takes work."""

from collections.abc import Iterable
import dataclasses

# Failures in a row after which a runner gets no more work.
_BREAKER_FAILURES = 5
# Seconds for which a circuit breaker opens; doubled with each failed trial.
_BREAKER_LOW_S = 1.0
_BREAKER_HIGH_S = 30.0


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

    def allows(self, now: float) -> bool:
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
        return CLOSED

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
        if failures < _BREAKER_FAILURES and not refused and not self.open_s:
            return dataclasses.replace(self, failures=failures)
        seconds = min(max(2 * self.open_s, _BREAKER_LOW_S), _BREAKER_HIGH_S)
        return Breaker(failures, seconds, now + seconds)


CLOSED = Breaker()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A runner as routing sees it.

    Attributes:
        free: permits for its slots that this host holds and doesn't use.
        outstanding: requests that this host runs on it.
        blocked: why it takes no work; empty if it does.
    """

    runner: str
    zone: str
    free: int
    outstanding: int
    blocked: str = ""


def explain_block(
    zone_out: bool, draining: bool, breaker: Breaker, now: float
) -> str:
    """Return why a runner takes no work, or an empty text."""
    if zone_out:
        return "zone-out"
    if draining:
        return "draining"
    if not breaker.allows(now):
        return "breaker-open"
    return ""


def route_key(
    zone: str, candidate_zone: str, outstanding: int
) -> tuple[bool, int]:
    """Return the order of preference; the lowest is chosen.

    A permit stands for a free slot, so the wait is equal for all runners
    with one. The own zone goes first, then the least outstanding.
    """
    return candidate_zone != zone, outstanding


def choose_runner(
    zone: str, candidates: Iterable[Candidate]
) -> tuple[str, tuple[str, ...]] | None:
    """Return the runner for a request with the reasons, or None.

    This states the rule by one scan; the dispatcher keeps an index that
    gives the same choice.
    """
    usable = [c for c in candidates if not c.blocked and c.free > 0]
    if not usable:
        return None
    chosen = min(usable, key=lambda c: route_key(zone, c.zone, c.outstanding))
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
