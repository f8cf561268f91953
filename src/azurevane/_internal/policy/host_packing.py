"""Tells how many hosts a load needs, over all resources of a host.

Processors, memory and accelerators are taken together: what binds differs
between queues, and room beside long-running tasks is of no use to tasks that
need more of another resource than is left there.
"""

from collections.abc import Iterable, Sequence
import dataclasses
import math

from azurevane._internal.models import job as job_models

# Part of a task that on average fits no host any more, as tasks are whole.
LOST_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Tasks at the same time and their needs in total.

    Attributes:
        tasks: number of tasks; fractions come from means over time.
        cpu: thousandths of a core.
        memory: megabytes.
        gpu: whole accelerators, in means fractions of them.
    """

    tasks: float = 0.0
    cpu: float = 0.0
    memory: float = 0.0
    gpu: float = 0.0

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.tasks + other.tasks,
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpu + other.gpu,
        )

    def scaled(self, factor: float) -> "Load":
        """Return the load multiplied by a factor."""
        return Load(
            self.tasks * factor,
            self.cpu * factor,
            self.memory * factor,
            self.gpu * factor,
        )


def hosts_needed(
    load: Load, rooms: Sequence[job_models.Capacity], host: job_models.Capacity
) -> int:
    """Return how many whole hosts a load needs beside the given rooms.

    Args:
        rooms: room that hosts have beside their long-running tasks.
        host: capacity of a whole host.
    """
    bound = _least_hosts(load, rooms, host)
    if load.tasks <= 0:
        return bound
    shape = load.scaled(1.0 / load.tasks)
    left = load.tasks - sum(_tasks_that_fit(shape, room) for room in rooms)
    if left <= 0:
        return bound
    # A task that needs more than half a host still fits on one.
    per_host = max(_tasks_that_fit(shape, host), 1.0)
    return max(bound, math.ceil(left / per_host - 1e-9))


def mean_capacity(
    capacities: Iterable[job_models.Capacity],
) -> job_models.Capacity:
    """Return the mean of capacities, nothing if there are none."""
    found = list(capacities)
    if not found:
        return job_models.Capacity()
    return job_models.Capacity(
        sum(capacity.cpu for capacity in found) // len(found),
        sum(capacity.memory for capacity in found) // len(found),
        sum(capacity.gpu for capacity in found) // len(found),
    )


def _least_hosts(
    load: Load, rooms: Sequence[job_models.Capacity], host: job_models.Capacity
) -> int:
    """Return the hosts that a load needs if it is divided at will."""
    least = 0
    for need, size, room in (
        (load.cpu, host.cpu, sum(room.cpu for room in rooms)),
        (load.memory, host.memory, sum(room.memory for room in rooms)),
        (load.gpu, host.gpu, sum(room.gpu for room in rooms)),
    ):
        if size and need > room:
            least = max(least, math.ceil((need - room) / size - 1e-9))
    return least


def _tasks_that_fit(shape: Load, room: job_models.Capacity) -> float:
    """Return about how many tasks of a mean shape fit into a room."""
    ratios = [
        available / need
        for need, available in (
            (shape.cpu, room.cpu),
            (shape.memory, room.memory),
            (shape.gpu, room.gpu),
        )
        if need > 0
    ]
    ratio = min(ratios, default=math.inf)
    if ratio < 1.0:
        return 0.0
    return ratio - LOST_FRACTION
