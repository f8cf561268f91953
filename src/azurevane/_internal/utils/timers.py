"""Timers of a state machine whose owner advances it by calling ``tick``."""

import heapq
import itertools
from typing import Generic, TypeVar

_ItemT = TypeVar("_ItemT")


class Timers(Generic[_ItemT]):
    """Queue of items, ordered by the time at which they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _ItemT]] = []
        self._numbers = itertools.count()

    @property
    def next_due(self) -> float | None:
        """Time in monotonic seconds of the first item; None if empty."""
        return self._heap[0][0] if self._heap else None

    def add(self, due_at: float, item: _ItemT) -> None:
        """Add an item; there is no way to remove it before it is due."""
        heapq.heappush(self._heap, (due_at, next(self._numbers), item))

    def pop_due(self, now: float) -> list[_ItemT]:
        """Remove and return the items that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due
