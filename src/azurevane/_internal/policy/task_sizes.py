"""Estimates the sizes of tasks from the resource use of previous tasks."""

import dataclasses
import math

from azurevane._internal.models import task as task_models

# Weight of a declared size, as a number of measurements. Declared sizes are
# often wrong by a factor of several, so few measurements outweigh them.
DECLARED_WEIGHT = 1.0
# Measurements older than about this many lose their weight, so that the
# estimate follows a change of a program after a few dozen runs.
MAX_WEIGHT = 64.0
# Exponent by which the ratio of a declared size to the mean declared size of
# its kind affects the estimate. Declared sizes are wrong by a factor of up to
# 4, and true sizes of a kind differ less, so about a third of the logarithm is
# signal.
DECLARED_EXPONENT = 0.3
# Standard deviations added to the memory estimate. Tasks that exceed the
# memory of a worker have to be checkpointed; exceeding its cores only slows
# them down.
MEMORY_MARGIN_DEVIATIONS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Mean resource use of one team's tasks of one kind.

    Attributes:
        weight: number of measurements, up to ``MAX_WEIGHT``.
        cores: mean number of cores used.
        memory_gb: mean memory used.
        variance: variance of the memory used, in GB squared.
        declared_cores: mean number of cores declared for the tasks.
        declared_memory_gb: mean memory declared for the tasks.
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
    """Return the estimate updated with one more measurement."""
    weight = min(estimate.weight + 1.0, MAX_WEIGHT)
    fraction = 1.0 / weight
    deviation = used.memory_gb - estimate.memory_gb
    return SizeEstimate(
        weight,
        _move_toward(estimate.cores, used.cores, fraction),
        estimate.memory_gb + fraction * deviation,
        (1.0 - fraction)
        * (estimate.variance + fraction * deviation * deviation),
        _move_toward(estimate.declared_cores, declared.cores, fraction),
        _move_toward(
            estimate.declared_memory_gb, declared.memory_gb, fraction
        ),
    )


def expected_need(
    estimate: SizeEstimate | None,
    declared: task_models.Need,
    largest: task_models.Need | None,
) -> task_models.Need:
    """Return the size with which to place a task.

    Accelerators are taken as declared, because they are allocated whole. The
    estimate is limited to the largest worker, so that it never makes a task
    unplaceable on its own.

    Args:
        estimate: estimate for the task's team and kind, if there is one.
        largest: maximum of each resource over the workers, if known.
    """
    if estimate is None or estimate.weight == 0.0:
        return declared
    estimate_fraction = estimate.weight / (estimate.weight + DECLARED_WEIGHT)
    cores = estimate.cores * _declared_scale(
        declared.cores, estimate.declared_cores
    )
    memory = estimate.memory_gb + MEMORY_MARGIN_DEVIATIONS * math.sqrt(
        estimate.variance
    )
    memory *= _declared_scale(declared.memory_gb, estimate.declared_memory_gb)
    cores = _move_toward(declared.cores, cores, estimate_fraction)
    memory = _move_toward(declared.memory_gb, memory, estimate_fraction)
    if largest is not None:
        cores = min(cores, max(largest.cores, estimate.cores))
        memory = min(memory, max(largest.memory_gb, estimate.memory_gb))
    return task_models.Need(cores, memory, declared.accelerators)


def _move_toward(current: float, target: float, fraction: float) -> float:
    return current + fraction * (target - current)


def _declared_scale(declared: float, mean: float) -> float:
    """Return the factor by which a declared size changes the estimate."""
    if mean <= 0.0 or declared <= 0.0:
        return 1.0
    return float((declared / mean) ** DECLARED_EXPONENT)
