"""Admission control: whether a request may wait or is refused at once."""

import dataclasses

# Number of runs over which a service time is averaged.
_AVERAGED_RUNS = 32
# Bounds of the delay after which a refused caller may retry, in seconds.
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0
# Fraction of an expected wait that is added to it, because slots are borrowed
# from peers and the backlog of peers is known with a delay of up to 0.1 s.
_WAIT_MARGIN_RATIO = 0.15
# Mean deviations of the run time that are reserved before the deadline.
_RUN_MARGIN_DEVIATIONS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTime:
    """Observed run time of a team's requests in a pool, in seconds."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    def observe(self, seconds: float) -> "ServiceTime":
        """Return the service time updated with one more run."""
        fraction = 1.0 / min(self.samples + 1, _AVERAGED_RUNS)
        error = seconds - self.mean_s
        spread = abs(error) if self.samples else 0.0
        return ServiceTime(
            self.mean_s + fraction * error,
            self.deviation_s + fraction * (spread - self.deviation_s),
            self.samples + 1,
        )


UNKNOWN_SERVICE_TIME = ServiceTime()


@dataclasses.dataclass(frozen=True, slots=True)
class QueueBounds:
    """Limits on the requests that wait at one entry host.

    Attributes:
        max_requests: maximum number of requests of all teams.
        max_bytes: maximum size of the requests of all teams.
        team_fraction: fraction of either limit that one team may use.
    """

    max_requests: int = 20_000
    max_bytes: int = 64 * 1024 * 1024
    team_fraction: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Load ahead of a request.

    Attributes:
        waiting: requests of its team that wait in the pool, at all hosts.
        running: requests of its team that run in the pool, at all hosts.
        entitled: slots of the pool that its team is entitled to now.
        limit: the team's upper limit; without one, the pool's slots.
        pool_slots: slots of the runners that accept work.
        others_wait: whether other teams wait for the pool.
        queued, queued_bytes: count and size of all requests that wait at
            this host.
        team_queued, team_queued_bytes: the same for the request's team.
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
    """Reason, status and retry delay of a refused request."""

    status: int
    problem: str
    detail: str
    retry_after_s: float | None = None


DEADLINE_PASSED = RefusalReason(
    504, "deadline-passed", "The deadline passed before a slot was free"
)


def expected_wait_s(backlog: Backlog, service: ServiceTime) -> float:
    """Return the seconds until a request behind a backlog gets a slot."""
    ahead = backlog.waiting + backlog.running - backlog.entitled + 1
    if ahead <= 0:
        return 0.0
    return ahead * service.mean_s / max(backlog.entitled, 0.1)


def longest_acceptable_wait_s(
    remaining_s: float, service: ServiceTime
) -> float:
    """Return the longest expected wait that still leaves time to run.

    The margins grow with the wait: a request that doesn't have to wait is
    admitted if its mean run time fits.

    Args:
        remaining_s: seconds until the deadline.
    """
    slack = remaining_s - service.mean_s
    margin = _RUN_MARGIN_DEVIATIONS * service.deviation_s
    return max(slack / 2.0, (slack - margin) / (1.0 + _WAIT_MARGIN_RATIO))


def can_finish(remaining_s: float, service: ServiceTime) -> bool:
    """Whether a request that starts now will probably end in time."""
    return remaining_s > service.mean_s + service.deviation_s


def check_admission(
    remaining_s: float,
    size_bytes: int,
    backlog: Backlog,
    service: ServiceTime,
    bounds: QueueBounds,
) -> RefusalReason | None:
    """Return why a request is refused, or None if it may wait.

    The expected wait isn't checked while no request of the team waits or
    runs. Otherwise a wrong service time could refuse requests for ever,
    because no run would correct it.

    Args:
        remaining_s: seconds until its deadline.
    """
    if remaining_s <= 0:
        return DEADLINE_PASSED
    if backlog.pool_slots <= 0:
        return RefusalReason(
            503, "no-runner", "No runner of the pool takes work", 1.0
        )
    if refusal := _check_bounds(size_bytes, backlog, bounds):
        return refusal
    if not backlog.waiting and not backlog.running:
        return None
    wait_s = expected_wait_s(backlog, service)
    if wait_s <= max(0.0, longest_acceptable_wait_s(remaining_s, service)):
        return None
    return _explain_full_pool(backlog, wait_s + service.mean_s - remaining_s)


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
    """Return the refusal of a request whose expected wait is too long.

    Args:
        excess_s: time by which its expected end exceeds the deadline.
    """
    retry_after_s = min(max(excess_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
    if backlog.entitled >= backlog.limit:
        return RefusalReason(
            429,
            "team-limit",
            "The team is at its upper limit beyond the deadline",
            retry_after_s,
        )
    if backlog.others_wait:
        return RefusalReason(
            429,
            "team-share",
            "The team's share of the pool is taken beyond the deadline",
            retry_after_s,
        )
    return RefusalReason(
        503,
        "pool-full",
        "The pool is full beyond the deadline",
        retry_after_s,
    )


def find_unmeetable_deadlines(
    remaining_s: list[float], backlog: Backlog, service: ServiceTime
) -> list[int]:
    """Return the positions of requests that can't meet their deadline.

    Args:
        remaining_s: seconds until the deadline of each waiting request of
            a team at one host, in order of service.
        backlog: backlog of the team. Requests that wait at other hosts
            are assumed to be spread evenly between those at this host.
    """
    if not remaining_s or not service.samples:
        return []
    requests_per_position = max(1.0, backlog.waiting / len(remaining_s))
    turn_s = (
        requests_per_position * service.mean_s / max(backlog.entitled, 0.1)
    )
    unmeetable = []
    ahead = 0
    for position, remaining in enumerate(remaining_s):
        if remaining < ahead * turn_s + service.mean_s:
            unmeetable.append(position)
        else:
            ahead += 1
    return unmeetable
