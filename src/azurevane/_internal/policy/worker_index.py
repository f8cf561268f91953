"""Workers ordered by free processors, for a best fit without a scan."""

import bisect

from azurevane._internal.models import task as task_models

# Fits compared before the best of them is taken. More brought no better
# packing in benchmarks/placement.py.
COMPARED_FITS = 24


class WorkerIndex:
    """Free capacity of the workers that may take work.

    Two lists, for workers with and without accelerators, are ordered by
    free processors. A query starts at the first worker with enough of
    them and compares the first fits.
    """

    def __init__(self) -> None:
        self._free_by_worker: dict[str, task_models.Need] = {}
        self._capacity_by_worker: dict[str, task_models.Need] = {}
        self._plain: list[tuple[float, str]] = []
        self._accelerated: list[tuple[float, str]] = []

    def __contains__(self, worker: str) -> bool:
        return worker in self._free_by_worker

    def __len__(self) -> int:
        return len(self._free_by_worker)

    def put(
        self,
        worker: str,
        free: task_models.Need,
        capacity: task_models.Need,
    ) -> None:
        """Add a worker, or change its free capacity."""
        before = self._free_by_worker.get(worker)
        if before == free:
            return
        if before is not None:
            self.remove(worker)
        self._free_by_worker[worker] = free
        self._capacity_by_worker[worker] = capacity
        bisect.insort(self._list(capacity), (free.cores, worker))

    def remove(self, worker: str) -> None:
        """Take a worker out."""
        free = self._free_by_worker.pop(worker, None)
        if free is None:
            return
        ordered = self._list(self._capacity_by_worker.pop(worker))
        del ordered[bisect.bisect_left(ordered, (free.cores, worker))]

    def best(self, need: task_models.Need) -> str | None:
        """Return the worker that a need fits best, if it fits any."""
        if need.accelerators:
            return self._best_in(self._accelerated, need)
        # Workers with accelerators are kept for tasks that need them.
        found = self._best_in(self._plain, need)
        return found or self._best_in(self._accelerated, need)

    def _list(self, capacity: task_models.Need) -> list[tuple[float, str]]:
        return self._accelerated if capacity.accelerators else self._plain

    def _best_in(
        self, ordered: list[tuple[float, str]], need: task_models.Need
    ) -> str | None:
        best: str | None = None
        best_score = float("inf")
        fits = 0
        start = bisect.bisect_left(ordered, (need.cores, ""))
        for position in range(start, len(ordered)):
            worker = ordered[position][1]
            free = self._free_by_worker[worker]
            if (
                free.memory_gb < need.memory_gb
                or free.accelerators < need.accelerators
            ):
                continue
            score = leftover(free, need, self._capacity_by_worker[worker])
            if score < best_score:
                best, best_score = worker, score
            fits += 1
            if fits >= COMPARED_FITS:
                break
        return best


def leftover(
    free: task_models.Need,
    need: task_models.Need,
    capacity: task_models.Need,
) -> float:
    """Return how badly a need fits: 0 if it fills the worker exactly.

    What is left of one resource without the other can't be used, so an
    uneven rest counts extra.
    """
    cores = (free.cores - need.cores) / capacity.cores
    memory = (free.memory_gb - need.memory_gb) / capacity.memory_gb
    rest = cores + memory + abs(cores - memory)
    if capacity.accelerators:
        rest += (free.accelerators - need.accelerators) / capacity.accelerators
    return rest
