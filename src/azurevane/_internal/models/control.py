"""What the controller of a pool knows of the fleet."""

import dataclasses
import functools

from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import task as task_models


@dataclasses.dataclass(frozen=True)
class PoolView:
    """A pool as the fleet state and the host records show it.

    Attributes:
        hosts: hosts whose record names this pool.
        zones_out: zones out, also those of prepared changes.
        draining: hosts that get no new work, for whatever reason.
        assignment_by_host: number of the host record in force; 0 if the
            manifest alone names the pool.
        fresh: whether the view was confirmed recently enough to start
            work under it.
    """

    pool: str
    hosts: tuple[manifest_models.Host, ...] = ()
    teams: tuple[manifest_models.Team, ...] = ()
    zones_out: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    assignment_by_host: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    fresh: bool = True

    @functools.cached_property
    def team_by_name(self) -> dict[str, manifest_models.Team]:
        """Teams by name."""
        return {team.name: team for team in self.teams}

    @functools.cached_property
    def host_by_name(self) -> dict[str, manifest_models.Host]:
        """Hosts by name."""
        return {host.name: host for host in self.hosts}

    def open_to_work(self, host: manifest_models.Host) -> bool:
        """Whether work may start on a host."""
        return (
            host.zone not in self.zones_out and host.name not in self.draining
        )

    @functools.cached_property
    def largest(self) -> task_models.Need | None:
        """Largest of each resource on any one host."""
        if not self.hosts:
            return None
        return task_models.Need(
            max(host.cores for host in self.hosts),
            max(host.memory_gb for host in self.hosts),
            max(host.accelerators for host in self.hosts),
        )

    @functools.cached_property
    def capacities(self) -> tuple[task_models.Need, ...]:
        """Distinct sizes of the hosts."""
        return tuple(
            {
                task_models.Need(host.cores, host.memory_gb, host.accelerators)
                for host in self.hosts
            }
        )

    @functools.cached_property
    def open_capacity(self) -> task_models.Need:
        """Sum over the hosts on which work may start."""
        hosts = [host for host in self.hosts if self.open_to_work(host)]
        return task_models.Need(
            sum(host.cores for host in hosts),
            sum(host.memory_gb for host in hosts),
            sum(host.accelerators for host in hosts),
        )
