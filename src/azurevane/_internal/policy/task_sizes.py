"""Sizes of tasks learned from the measured use of earlier ones."""

import dataclasses
import math

from azurevane._internal.models import task as task_models

# Weight of the declared size, in measurements: declared sizes are often
# wrong by some times, so few measurements outweigh them.
DECLARED_WEIGHT = 1.0
# Older measurements fade beyond this many, so that a change of a program
# shows after some dozens of its runs.
MAX_WEIGHT = 64.0


# How much of the spread between declared sizes of one kind is taken for
# real. Declared sizes are wrong by up to 4 times, true sizes of a kind
# differ less, so about a third of the logarithm is signal.
DECLARED_EXPONENT = 0.3
# Memory beyond a worker's means a checkpoint, so a part of the spread is
# added; processors beyond it only slow tasks down.
MEMORY_MARGIN_DEVIATIONS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Measured use of one team's tasks of one kind.

    Attributes:
        weight: measurements that count.
        variance: of the memory, in GB squared.
        declared_cores: mean of what was declared for them.
        declared_memory_gb: the same for memory.
    """

    weight: float = 0.0
    cores: float = 0.0
    memory_gb: float = 0.0
    variance: float = 0.0
    declared_cores: float = 0.0
    declared_memory_gb: float = 0.0


def add_measurement(
    estimate: SizeEstimate,
    used: task_models.Need,
    declared: task_models.Need,
) -> SizeEstimate:
    """Return the estimate with one more measurement."""
    weight = min(estimate.weight + 1.0, MAX_WEIGHT)
    part = 1.0 / weight
    off = used.memory_gb - estimate.memory_gb
    return SizeEstimate(
        weight,
        _move_toward(estimate.cores, used.cores, part),
        estimate.memory_gb + part * off,
        (1.0 - part) * (estimate.variance + part * off * off),
        _move_toward(estimate.declared_cores, declared.cores, part),
        _move_toward(estimate.declared_memory_gb, declared.memory_gb, part),
    )


def expected_need(
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
    cores = estimate.cores * _declared_scale(
        declared.cores, estimate.declared_cores
    )
    memory = estimate.memory_gb + MEMORY_MARGIN_DEVIATIONS * math.sqrt(
        estimate.variance
    )
    memory *= _declared_scale(declared.memory_gb, estimate.declared_memory_gb)
    cores = _move_toward(declared.cores, cores, own)
    memory = _move_toward(declared.memory_gb, memory, own)
    if largest is not None:
        cores = min(cores, max(largest.cores, estimate.cores))
        memory = min(memory, max(largest.memory_gb, estimate.memory_gb))
    return task_models.Need(cores, memory, declared.accelerators)


def _move_toward(before: float, now: float, part: float) -> float:
    return before + part * (now - before)


def _declared_scale(declared: float, mean: float) -> float:
    if mean <= 0.0 or declared <= 0.0:
        return 1.0
    return float((declared / mean) ** DECLARED_EXPONENT)
