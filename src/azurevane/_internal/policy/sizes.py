"""Sizes of tasks learned from the measured use of earlier ones."""

import dataclasses
import math

from azurevane._internal.models import task as task_models

# Weight of the declared size, in measurements: declared sizes are often
# wrong by some times, so few measurements outweigh them.
DECLARED_WEIGHT = 1.0
# Older measurements fade beyond this many, so that a change of a program
# shows after some dozens of its runs.
MOST_WEIGHT = 64.0


@dataclasses.dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Measured use of one team's tasks of one kind.

    Attributes:
        weight: measurements that count.
        variance: of the memory, in GB squared.
    """

    weight: float = 0.0
    cores: float = 0.0
    memory_gb: float = 0.0
    variance: float = 0.0


def observe(estimate: SizeEstimate, used: task_models.Need) -> SizeEstimate:
    """Return the estimate with one more measurement."""
    weight = min(estimate.weight + 1.0, MOST_WEIGHT)
    part = 1.0 / weight
    off = used.memory_gb - estimate.memory_gb
    return SizeEstimate(
        weight,
        estimate.cores + part * (used.cores - estimate.cores),
        estimate.memory_gb + part * off,
        (1.0 - part) * (estimate.variance + part * off * off),
    )


def expected(
    estimate: SizeEstimate | None,
    declared: task_models.Need,
    largest: task_models.Need | None,
) -> task_models.Need:
    """Return the size to plan with.

    Accelerators are taken as declared, since they are given whole. The
    learned part never exceeds the largest worker, so that learning alone
    makes no task impossible.
    """
    if estimate is None or estimate.weight == 0.0:
        return declared
    own = estimate.weight / (estimate.weight + DECLARED_WEIGHT)
    # Memory beyond a worker's means a checkpoint, so a part of the spread
    # is added; processors beyond it only slow tasks down.
    memory = estimate.memory_gb + 0.5 * math.sqrt(estimate.variance)
    cores = own * estimate.cores + (1 - own) * declared.cores
    memory = own * memory + (1 - own) * declared.memory_gb
    if largest is not None:
        cores = min(cores, max(largest.cores, estimate.cores))
        memory = min(memory, max(largest.memory_gb, estimate.memory_gb))
    return task_models.Need(cores, memory, declared.accelerators)
