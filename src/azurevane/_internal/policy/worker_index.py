"""Index of workers by free cores and memory, to find the best fit."""

import bisect

from azurevane._internal.models import task as task_models

# Number of fitting workers that are compared to find the best. Comparing more
# doesn't improve the packing in benchmarks/placement.py.
MAX_COMPARED_FITS = 24
# Levels of free capacity per resource, for a worker as large as the first one
# added. Larger workers have more levels, up to MAX_CAPACITY_LEVELS.
CAPACITY_LEVELS = 16
MAX_CAPACITY_LEVELS = 63
# Maximum number of workers of a cell that are found not to fit before the
# search goes on to the next cell.
MAX_MISFITS_PER_CELL = 32


class _WorkerCells:
    """Workers grouped into cells by their levels of free cores and memory.

    Every worker in a cell above the need's cell in both levels fits the
    need. Only cells that share a level with it have to be searched.
    """

    def __init__(self) -> None:
        self.free_by_worker: dict[str, task_models.Need] = {}
        self.capacity_by_worker: dict[str, task_models.Need] = {}
        self._cells: dict[tuple[int, int], list[tuple[float, str]]] = {}
        # Cores and GB of memory by which two levels differ.
        self._level_sizes: tuple[float, float] | None = None

    def _cell(self, size: task_models.Need) -> tuple[int, int]:
        assert self._level_sizes is not None
        return (
            min(
                MAX_CAPACITY_LEVELS,
                max(0, int(size.cores / self._level_sizes[0])),
            ),
            min(
                MAX_CAPACITY_LEVELS,
                max(0, int(size.memory_gb / self._level_sizes[1])),
            ),
        )

    def add(
        self,
        worker: str,
        free: task_models.Need,
        capacity: task_models.Need,
    ) -> None:
        if self._level_sizes is None:
            self._level_sizes = (
                max(capacity.cores, 0.01) / CAPACITY_LEVELS,
                max(capacity.memory_gb, 0.01) / CAPACITY_LEVELS,
            )
        self.free_by_worker[worker] = free
        self.capacity_by_worker[worker] = capacity
        cell = self._cells.setdefault(self._cell(free), [])
        bisect.insort(cell, (free.cores, worker))

    def discard(self, worker: str) -> None:
        free = self.free_by_worker.pop(worker)
        del self.capacity_by_worker[worker]
        cell = self._cells[self._cell(free)]
        del cell[bisect.bisect_left(cell, (free.cores, worker))]

    def find_best_fit(self, need: task_models.Need) -> str | None:
        if self._level_sizes is None:
            return None
        need_cell = self._cell(need)
        # Cells with the least free capacity come first.
        cells = [
            cell
            for _, cell in sorted(
                (cell[0] + cell[1], cell)
                for cell, workers in self._cells.items()
                if workers
                and cell[0] >= need_cell[0]
                and cell[1] >= need_cell[1]
            )
        ]
        # Search all workers only if the limited search found none.
        return self._search(need, cells, MAX_MISFITS_PER_CELL) or self._search(
            need, cells, len(self.free_by_worker)
        )

    def _search(
        self,
        need: task_models.Need,
        cells: list[tuple[int, int]],
        max_misfits: int,
    ) -> str | None:
        best: str | None = None
        best_score = float("inf")
        fits = 0
        for cell in cells:
            workers = self._cells[cell]
            start = bisect.bisect_left(workers, (need.cores, ""))
            misfits = 0
            for position in range(start, len(workers)):
                worker = workers[position][1]
                free = self.free_by_worker[worker]
                if not free.covers(need):
                    misfits += 1
                    if misfits > max_misfits:
                        break
                    continue
                capacity = self.capacity_by_worker[worker]
                score = unused_capacity_score(free, need, capacity)
                if score < best_score:
                    best, best_score = worker, score
                fits += 1
                if fits >= MAX_COMPARED_FITS:
                    return best
        return best


class WorkerIndex:
    """Index of the workers that may be given work, by free capacity."""

    def __init__(self) -> None:
        self._plain = _WorkerCells()
        self._accelerated = _WorkerCells()
        self._cells_by_worker: dict[str, _WorkerCells] = {}

    def __contains__(self, worker: str) -> bool:
        return worker in self._cells_by_worker

    def __len__(self) -> int:
        return len(self._cells_by_worker)

    def set_free_capacity(
        self,
        worker: str,
        free: task_models.Need,
        capacity: task_models.Need,
    ) -> None:
        """Add a worker, or update its free capacity."""
        cells = self._accelerated if capacity.accelerators else self._plain
        previous_cells = self._cells_by_worker.get(worker)
        if previous_cells is cells and cells.free_by_worker[worker] == free:
            return
        self.remove(worker)
        self._cells_by_worker[worker] = cells
        cells.add(worker, free, capacity)

    def remove(self, worker: str) -> None:
        """Remove a worker, if it is in the index."""
        cells = self._cells_by_worker.pop(worker, None)
        if cells is not None:
            cells.discard(worker)

    def find_best_fit(self, need: task_models.Need) -> str | None:
        """Return the worker that fits a need best, or None if none fits."""
        if need.accelerators:
            return self._accelerated.find_best_fit(need)
        # Prefer workers without accelerators, to keep the others free for
        # tasks that need them.
        return self._plain.find_best_fit(
            need
        ) or self._accelerated.find_best_fit(need)


def unused_capacity_score(
    free: task_models.Need,
    need: task_models.Need,
    capacity: task_models.Need,
) -> float:
    """Return how badly a need fits a worker; 0 is an exact fit.

    A remainder of one resource without the other can't be used, so an uneven
    remainder increases the score.
    """
    cores = (free.cores - need.cores) / capacity.cores
    memory = (free.memory_gb - need.memory_gb) / capacity.memory_gb
    score = cores + memory + abs(cores - memory)
    if capacity.accelerators:
        score += (
            free.accelerators - need.accelerators
        ) / capacity.accelerators
    return score
