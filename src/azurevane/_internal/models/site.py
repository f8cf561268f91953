"""A site as described by its operators, its runners and the platform."""

import dataclasses
import enum

from azurevane._internal.models import job as job_models


@dataclasses.dataclass(frozen=True, slots=True)
class AdvisorTimes:
    """How long the advisor takes for a queue, in seconds; 0 is unknown.

    Attributes:
        decision_s: part of each call that doesn't depend on the runners.
        per_runner_s: further time for each runner named in a call.
        ticket_validity_s: time from an answer until its tickets expire.
    """

    decision_s: float = 0.0
    per_runner_s: float = 0.0
    ticket_validity_s: float = 0.0

    def call_s(self, runner_count: int) -> float:
        """Return how long the advisor works on a call, in seconds."""
        return self.decision_s + self.per_runner_s * runner_count


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs: its address for callers and its policy.

    Attributes:
        priority: 0 is the highest priority.
        attempts: number of failed runs of a task after which its job has
            failed.
        objective_factor: multiple of the job's longest chain of work
            that its latency objective allows.
        objective_extra_s: time that is added to that multiple.
        open: whether jobs are accepted without an API key.
        advised: whether placements need the advisor's permission.
        advisor_times: how long the advisor takes, if it is needed.
        timeout_s: timeout that the operators set for its route.
    """

    name: str
    host_name: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    objective_factor: float = 1.0
    objective_extra_s: float = 0.0
    open: bool = False
    advised: bool = False
    advisor_times: AdvisorTimes = AdvisorTimes()
    timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service whose runners form a pool.

    Attributes:
        standby: its hosts are off and cost nothing.
        guards_capacity: its runners reject tasks that don't fit.
    """

    name: str
    standby: bool = False
    guards_capacity: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team: its API keys, its weight and its cap on capacity in use."""

    name: str
    api_keys: frozenset[str]
    weight: float
    cap: job_models.Capacity


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: maximum size of a request's head.
        body_bytes: maximum size of a request's body.
        header_s: maximum time to send the head.
        idle_s: maximum time that a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class SiteConfig:
    """A version of the operators' configuration."""

    version: int
    queue_by_name: dict[str, Queue]
    service_by_name: dict[str, Service]
    team_by_name: dict[str, Team]
    team_by_key: dict[str, str]
    limits: RequestLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """A runner as described by its newest row in the store.

    Attributes:
        id: identity that it registered under.
        started_at: Unix time in seconds of its process's start, which
            distinguishes incarnations with the same id.
        address: IP address and port of its control calls.
        clock_s: its monotonic clock when it wrote the row.
        leaves_in_s: minimum time that it continues to run; None unless it
            is draining.
    """

    id: str
    started_at: float
    address: str
    service: str
    zone: str
    draining: bool
    capacity: job_models.Capacity
    labels: frozenset[str]
    rack: str
    clock_s: float
    leaves_in_s: float | None = None


class HostState(enum.Enum):
    """State of a host, as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    IN_MAINTENANCE = "in maintenance"
    DOWN = "down"
    # The list doesn't say it in a way that is known. The host gets no
    # commands, and its runner isn't taken for lost.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host of the fleet as the platform lists it.

    Attributes:
        pool: service whose pool it belongs to.
        runner_id: id of the runner on it, or empty.
    """

    name: str
    pool: str
    state: HostState
    zone: str
    runner_id: str
    labels: frozenset[str] = frozenset()
    capacity: job_models.Capacity = job_models.Capacity()

    @property
    def up(self) -> bool:
        """Whether it is neither moving, in maintenance nor down."""
        return self.state is HostState.UP


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Hosts that are due for maintenance.

    Attributes:
        within_s: time from the request by which the maintenance of all
            hosts must have taken place.
        max_down: maximum number of its hosts in maintenance at once.
    """

    number: int
    hosts: tuple[str, ...]
    within_s: float
    max_down: int
