"""Admission to the queues: wait, or refuse at once with a reason."""

import dataclasses

# Samples over which a service time is averaged.
_AVERAGED_RUNS = 32
# Least and most seconds after which a refused caller is told to return.
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0
# Part of an expected wait that is added to it, because slots are borrowed
# from peers and the backlog of peers is known up to 0.1 s late.
_WAIT_MARGIN_RATIO = 0.15
# Mean deviations of the run time kept between start and deadline.
_RUN_MARGIN_DEVIATIONS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTime:
    """Learned run time of a team's requests in a pool, in seconds."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    def observe(self, seconds: float) -> "ServiceTime":
        """Return the service time after one more run."""
        part = 1.0 / min(self.samples + 1, _AVERAGED_RUNS)
        error = seconds - self.mean_s
        spread = abs(error) if self.samples else 0.0
        return ServiceTime(
            self.mean_s + part * error,
            self.deviation_s + part * (spread - self.deviation_s),
            self.samples + 1,
        )


UNKNOWN_SERVICE_TIME = ServiceTime()


@dataclasses.dataclass(frozen=True, slots=True)
class QueueBounds:
    """Most that may wait at one entry host.

    Attributes:
        max_requests: requests in all.
        max_bytes: bytes in all.
        team_fraction: part of either that one team may take.
    """

    max_requests: int = 20_000
    max_bytes: int = 64 * 1024 * 1024
    team_fraction: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """What waits and runs ahead of a request.

    Attributes:
        waiting: requests of its team that wait in the pool, at all hosts.
        running: requests of its team that run in the pool, at all hosts.
        entitled: slots of the pool that its team is entitled to now.
        limit: the team's upper limit, or the pool's slots without one.
        pool_slots: slots of runners that take work.
        others_wait: whether other teams wait for the pool.
        queued, queued_bytes: all that waits at this host.
        team_queued, team_queued_bytes: the part of its team.
    """

    waiting: int
    running: int
    entitled: float
    limit: float
    pool_slots: float
    others_wait: bool
    queued: int = 0
    queued_bytes: int = 0
    team_queued: int = 0
    team_queued_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalReason:
    """Reason to refuse a request, final and at once."""

    status: int
    problem: str
    detail: str
    retry_after_s: float | None = None


DEADLINE_PASSED = RefusalReason(
    504, "deadline-passed", "The deadline passed before a slot was free"
)


def expected_wait_s(backlog: Backlog, service: ServiceTime) -> float:
    """Return the seconds until the last of a backlog gets a slot."""
    ahead = backlog.waiting + backlog.running - backlog.entitled + 1
    if ahead <= 0:
        return 0.0
    return ahead * service.mean_s / max(backlog.entitled, 0.1)


def longest_acceptable_wait_s(
    remaining_s: float, service: ServiceTime
) -> float:
    """Return the longest expected wait that leaves time to run.

    The margins grow with the wait: a request that needn't wait is admitted
    if its mean run time fits.
    """
    slack = remaining_s - service.mean_s
    margin = _RUN_MARGIN_DEVIATIONS * service.deviation_s
    return max(slack / 2.0, (slack - margin) / (1.0 + _WAIT_MARGIN_RATIO))


def can_finish(remaining_s: float, service: ServiceTime) -> bool:
    """Whether a request that starts now is likely to end in time."""
    return remaining_s > service.mean_s + service.deviation_s


def check_admission(
    remaining_s: float,
    size_bytes: int,
    backlog: Backlog,
    service: ServiceTime,
    bounds: QueueBounds,
) -> RefusalReason | None:
    """Return why a request is refused, or None if it may wait.

    With none of its team waiting or running a request is always tried,
    because a learned time that no run corrects could refuse for ever.

    Args:
        remaining_s: seconds until its deadline.
    """
    if remaining_s <= 0:
        return DEADLINE_PASSED
    if backlog.pool_slots <= 0:
        return RefusalReason(
            503, "no-runner", "No runner of the pool takes work", 1.0
        )
    if full := _check_bounds(size_bytes, backlog, bounds):
        return full
    if not backlog.waiting and not backlog.running:
        return None
    wait = expected_wait_s(backlog, service)
    if wait <= max(0.0, longest_acceptable_wait_s(remaining_s, service)):
        return None
    return _explain_full_pool(backlog, wait + service.mean_s - remaining_s)


def _check_bounds(
    size_bytes: int, backlog: Backlog, bounds: QueueBounds
) -> RefusalReason | None:
    if (
        backlog.queued >= bounds.max_requests
        or backlog.queued_bytes + size_bytes > bounds.max_bytes
    ):
        return RefusalReason(
            503, "queue-full", "The queues of this host are full", 1.0
        )
    if (
        backlog.team_queued >= bounds.max_requests * bounds.team_fraction
        or backlog.team_queued_bytes + size_bytes
        > bounds.max_bytes * bounds.team_fraction
    ):
        return RefusalReason(
            429, "team-queue-full", "The team's queue here is full", 1.0
        )
    return None


def _explain_full_pool(backlog: Backlog, excess_s: float) -> RefusalReason:
    retry = min(max(excess_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
    if backlog.entitled >= backlog.limit:
        return RefusalReason(
            429,
            "team-limit",
            "The team is at its upper limit beyond the deadline",
            retry,
        )
    if backlog.others_wait:
        return RefusalReason(
            429,
            "team-share",
            "The team's share of the pool is taken beyond the deadline",
            retry,
        )
    return RefusalReason(
        503, "pool-full", "The pool is full beyond the deadline", retry
    )


def find_unmeetable_deadlines(
    remaining_s: list[float], backlog: Backlog, service: ServiceTime
) -> list[int]:
    """Return the places in a queue whose deadline can't be met any more.

    Args:
        remaining_s: seconds until the deadline of each waiting request of
            a team at one host, in order of service.
        backlog: of the team; what waits at other hosts counts as spread
            evenly among those here.
    """
    if not remaining_s or not service.samples:
        return []
    stretch = max(1.0, backlog.waiting / len(remaining_s))
    step = stretch * service.mean_s / max(backlog.entitled, 0.1)
    unmeetable = []
    ahead = 0
    for position, remaining in enumerate(remaining_s):
        if remaining < ahead * step + service.mean_s:
            unmeetable.append(position)
        else:
            ahead += 1
    return unmeetable
