"""Manifest: the configuration that operators declare for one site."""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class Team:
    """Team (organisation) whose callers use the site.

    Attributes:
        share: weight that divides a full pool between teams; greater than
            zero.
        limit: maximum number of requests and tasks that run at once in
            the whole fleet.
        task_limit: part of the limit that is reserved for tasks; 0 if the
            team runs no tasks. The rest is for requests, because tasks
            run too long for permits that entry hosts lend each other.
    """

    name: str
    share: float
    limit: int
    task_limit: int = 0

    @property
    def task_part(self) -> int:
        """Maximum number of tasks that run at once in the whole fleet."""
        return min(self.task_limit, self.limit)

    @property
    def request_limit(self) -> int:
        """Maximum number of requests that run at once in the whole fleet."""
        return self.limit - self.task_part


@dataclasses.dataclass(frozen=True)
class Budget:
    """Maximum number of hosts unavailable at once, for any reason."""

    pool: int = 1
    rack: int = 1
    zone: int = 1


@dataclasses.dataclass(frozen=True)
class Pool:
    """Group of hosts and runners that serve the same queues."""

    name: str
    spare: bool = False
    budget: Budget = dataclasses.field(default_factory=Budget)


@dataclasses.dataclass(frozen=True)
class Queue:
    """Named queue to which callers send requests.

    Attributes:
        pool: name of the pool that serves it.
        teams: names of the teams that may use it; empty for all teams.
        deadline_ms: default deadline of a request.
        max_run_s: maximum run time of a request; enforced.
        max_wait_s: a request that has waited this long isn't overtaken by
            a retried request of its team.
    """

    name: str
    pool: str
    teams: tuple[str, ...] = ()
    max_body_bytes: int = 16 * 1024 * 1024
    deadline_ms: int = 10_000
    max_run_s: float = 30.0
    max_wait_s: float = 300.0


@dataclasses.dataclass(frozen=True)
class Runner:
    """Upstream process with a number of slots."""

    name: str
    pool: str
    zone: str
    address: str
    port: int
    slots: int = 8
    connections: int = 60


@dataclasses.dataclass(frozen=True)
class Host:
    """Host that runs tasks as a worker."""

    name: str
    pool: str
    zone: str
    rack: str
    cores: float
    memory_gb: float
    accelerators: int = 0


@dataclasses.dataclass(frozen=True)
class Weights:
    """Relative weight of each cost for the site."""

    buffer: float = 1.0
    rollout: float = 1.0
    moves: float = 1.0
    shares: float = 1.0
    zone_work: float = 1.0


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Everything that operators declare for one site, except API keys."""

    site: str
    region: str
    zones: tuple[str, ...]
    teams: tuple[Team, ...]
    pools: tuple[Pool, ...]
    queues: tuple[Queue, ...]
    runners: tuple[Runner, ...] = ()
    hosts: tuple[Host, ...] = ()
    entry_seats: int = 6
    weights: Weights = dataclasses.field(default_factory=Weights)

    @functools.cached_property
    def team_by_name(self) -> dict[str, Team]:
        """Teams by name."""
        return {team.name: team for team in self.teams}

    @functools.cached_property
    def pool_by_name(self) -> dict[str, Pool]:
        """Pools by name."""
        return {pool.name: pool for pool in self.pools}

    @functools.cached_property
    def queue_by_name(self) -> dict[str, Queue]:
        """Queues by name."""
        return {queue.name: queue for queue in self.queues}

    @functools.cached_property
    def runner_by_name(self) -> dict[str, Runner]:
        """Runners by name."""
        return {runner.name: runner for runner in self.runners}

    @functools.cached_property
    def host_by_name(self) -> dict[str, Host]:
        """Hosts by name."""
        return {host.name: host for host in self.hosts}

    @functools.cached_property
    def spare_pools(self) -> tuple[str, ...]:
        """Names of the pools whose idle slots also serve other queues."""
        return tuple(pool.name for pool in self.pools if pool.spare)
