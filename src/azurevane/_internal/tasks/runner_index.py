"""Runners of one pool, indexed in order of preference."""

import heapq
import itertools

from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.policy import limits
from azurevane._internal.policy import routing
from azurevane._internal.tasks import permits as permits_module

# Maximum number of runners checked for unannounced permits at a time.
_MAX_RECHECKS = 64


class RunnerRecord:
    """State of a runner as this host knows it.

    Its ``entry`` is the number of its valid entry in the index; None if
    it isn't in the index.
    """

    __slots__ = (
        "breaker",
        "draining",
        "limit_key",
        "entry",
        "name",
        "outstanding",
        "returned_at",
        "slots",
        "zone",
        "zone_out",
    )

    def __init__(self, runner: manifest_models.Runner) -> None:
        self.name = runner.name
        self.zone = runner.zone
        self.slots = runner.slots
        self.limit_key = permits_module.runner_limit_key(runner.name)
        self.outstanding = 0
        self.breaker = routing.CLOSED_BREAKER
        self.draining = False
        self.zone_out = False
        self.returned_at: float | None = None
        self.entry: int | None = None

    def unavailability(self, now: float) -> str:
        """Return why the runner takes no work; empty if it takes work."""
        if not (self.zone_out or self.draining or self.breaker.open_s):
            return ""
        return routing.explain_unavailability(
            self.zone_out, self.draining, self.breaker, now
        )


class RunnerIndex:
    """Runners with free permits, own zone first, least loaded first.

    A runner without a free permit is left out until its state changes;
    ``reinsert_runner`` puts it back.
    """

    def __init__(self, zone: str, permits: permits_module.Permits) -> None:
        self.record_by_name: dict[str, RunnerRecord] = {}
        self.capacity = 0.0
        self._zone = zone
        self._permits = permits
        self._own_zone_heap: list[tuple[int, int, str]] = []
        self._other_zones_heap: list[tuple[int, int, str]] = []
        # Numbers the entries, so that equally loaded runners take turns.
        self._entry_counter = itertools.count()
        self._recheck_position = 0
        self._names: list[str] = []
        # Runners with an open breaker or in a zone that has just returned;
        # they may take work again, or more work, without an event.
        self._recovering: set[str] = set()

    def add(self, record: RunnerRecord) -> None:
        """Add a runner, possibly with a record taken from another index."""
        record.entry = None
        self.record_by_name[record.name] = record
        self._names.append(record.name)

    def set_state(
        self, now: float, record: RunnerRecord, zone_out: bool, draining: bool
    ) -> None:
        """Apply a change of a runner's zone or drain.

        After its zone has returned, its permits grow for a while without
        announcement.
        """
        if record.zone_out and not zone_out:
            record.returned_at = now
            self._recovering.add(record.name)
        record.zone_out = zone_out
        record.draining = draining
        self.reinsert_runner(now, record.name)

    def reinsert_runner(self, now: float, name: str) -> bool:
        """Add a runner to the index if it may take work now."""
        record = self.record_by_name.get(name)
        if record is None or record.unavailability(now):
            return False
        if record.entry is not None:
            return True
        if self._permits.free(now, record.limit_key) <= 0:
            return False
        heap = (
            self._own_zone_heap
            if record.zone == self._zone
            else self._other_zones_heap
        )
        if len(heap) > 4 * len(self.record_by_name) + _MAX_RECHECKS:
            self._compact(heap)
        record.entry = next(self._entry_counter)
        heapq.heappush(heap, (record.outstanding, record.entry, name))
        return True

    def _compact(self, heap: list[tuple[int, int, str]]) -> None:
        """Drop the stale entries of a heap."""
        heap[:] = [
            entry
            for entry in heap
            if entry[2] in self.record_by_name
            and self.record_by_name[entry[2]].entry == entry[1]
        ]
        heapq.heapify(heap)

    def pick_runner(self, now: float, avoid: str = "") -> RunnerRecord | None:
        """Return the runner for the next request; None if none is free.

        Args:
            avoid: name of a runner to pass over while others are open.
        """
        return self._pick_from(
            now, self._own_zone_heap, avoid
        ) or self._pick_from(now, self._other_zones_heap, avoid)

    def _pick_from(
        self, now: float, heap: list[tuple[int, int, str]], avoid: str
    ) -> RunnerRecord | None:
        avoided = None
        found = None
        while heap:
            _, entry, name = heap[0]
            record = self.record_by_name.get(name)
            if record is None or record.entry != entry:
                heapq.heappop(heap)
                continue
            if (
                record.unavailability(now)
                or self._permits.free(now, record.limit_key) <= 0
            ):
                record.entry = None
                heapq.heappop(heap)
                continue
            if name == avoid and self.capacity > record.slots:
                avoided = heapq.heappop(heap)
                continue
            found = record
            break
        if avoided is not None:
            heapq.heappush(heap, avoided)
        return found

    def record_start(self, now: float, record: RunnerRecord) -> None:
        """Count a request sent to a runner."""
        record.outstanding += 1
        record.entry = None
        if record.breaker.open_s:
            record.breaker = record.breaker.after_dispatch()
            self._recovering.add(record.name)
        self.reinsert_runner(now, record.name)

    def record_end(
        self, now: float, record: RunnerRecord, failed: bool, refused: bool
    ) -> None:
        """Count a request that has ended at a runner.

        A refusal opens the runner's breaker at once, unless it is the
        last runner that takes work.
        """
        record.outstanding -= 1
        record.entry = None
        if failed:
            others = self.capacity > record.slots
            record.breaker = record.breaker.after_failure(
                now, refused and others
            )
            if record.breaker.open_s:
                self._recovering.add(record.name)
        elif record.breaker is not routing.CLOSED_BREAKER:
            record.breaker = record.breaker.after_success()
        self.reinsert_runner(now, record.name)

    def refresh(self, now: float, work_waits: bool) -> None:
        """Reinsert runners that may take work again after some time.

        Permits may also return to this host without announcement, so
        while work waits, a bounded number of the other runners is checked
        in turn.
        """
        for name in list(self._recovering):
            record = self.record_by_name.get(name)
            if record is None:
                self._recovering.discard(name)
                continue
            if (
                record.returned_at is not None
                and now - record.returned_at >= limits.ZONE_RETURN_RAMP_S
            ):
                record.returned_at = None
            if record.returned_at is None and not record.breaker.open_s:
                self._recovering.discard(name)
            self.reinsert_runner(now, name)
        count = len(self._names)
        for _ in range(min(_MAX_RECHECKS, count) if work_waits else 0):
            self._recheck_position = (self._recheck_position + 1) % count
            self.reinsert_runner(now, self._names[self._recheck_position])
        self.update_capacity(now)

    def update_capacity(self, now: float) -> None:
        """Recompute the capacity: the slots of runners that take work."""
        self.capacity = sum(
            record.slots
            if record.returned_at is None
            else limits.ramped_limit(record.slots, now - record.returned_at)
            for record in self.record_by_name.values()
            if not record.unavailability(now)
        )
