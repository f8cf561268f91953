"""A controller's view of its pool in the fleet state."""

import dataclasses
import functools

from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import task as task_models


@dataclasses.dataclass(frozen=True)
class PoolView:
    """A pool according to the fleet state and the host records.

    Attributes:
        hosts: hosts whose record assigns them to this pool.
        zones_out: zones out, including those of prepared changes.
        draining: hosts that get no new work, for any reason.
        assignment_by_host: number of each host's record in force; 0 if
            only the manifest assigns the host to the pool.
    """

    pool: str
    hosts: tuple[manifest_models.Host, ...] = ()
    teams: tuple[manifest_models.Team, ...] = ()
    zones_out: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    assignment_by_host: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    @functools.cached_property
    def team_by_name(self) -> dict[str, manifest_models.Team]:
        """Teams by name."""
        return {team.name: team for team in self.teams}

    @functools.cached_property
    def host_by_name(self) -> dict[str, manifest_models.Host]:
        """Hosts by name."""
        return {host.name: host for host in self.hosts}

    def accepts_work(self, host: manifest_models.Host) -> bool:
        """Whether new work may start on a host."""
        return (
            host.zone not in self.zones_out and host.name not in self.draining
        )

    @functools.cached_property
    def largest_capacity(self) -> task_models.Need | None:
        """Maximum of each resource over the hosts; None without hosts.

        No single host need have all of them.
        """
        if not self.hosts:
            return None
        return task_models.Need(
            max(host.cores for host in self.hosts),
            max(host.memory_gb for host in self.hosts),
            max(host.accelerators for host in self.hosts),
        )

    @functools.cached_property
    def distinct_capacities(self) -> tuple[task_models.Need, ...]:
        """Distinct capacities of the hosts."""
        return tuple(
            {
                task_models.Need(host.cores, host.memory_gb, host.accelerators)
                for host in self.hosts
            }
        )

    @functools.cached_property
    def usable_capacity(self) -> task_models.Need:
        """Total capacity of the hosts on which new work may start."""
        hosts = [host for host in self.hosts if self.accepts_work(host)]
        return task_models.Need(
            sum(host.cores for host in hosts),
            sum(host.memory_gb for host in hosts),
            sum(host.accelerators for host in hosts),
        )
