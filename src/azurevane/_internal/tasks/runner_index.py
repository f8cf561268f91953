"""Runners of one pool, indexed by their order of preference."""

import heapq
import itertools

from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.policy import limits
from azurevane._internal.policy import routing
from azurevane._internal.tasks import permits as permits_module

# Most runners that are looked at for unannounced permits at a time.
_RECHECKS = 64


class RunnerRecord:
    """What this host knows of a runner."""

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

    def blocked(self, now: float) -> str:
        """Return why the runner takes no work, or an empty text."""
        if not (self.zone_out or self.draining or self.breaker.open_s):
            return ""
        return routing.explain_unavailability(
            self.zone_out, self.draining, self.breaker, now
        )


class RunnerIndex:
    """Runners with permits, least outstanding first, own zone first.

    Runners without a usable permit are left out until something about
    them changes; ``relist`` puts them back.
    """

    def __init__(self, zone: str, permits: permits_module.Permits) -> None:
        self.record_by_name: dict[str, RunnerRecord] = {}
        self.capacity = 0.0
        self._zone = zone
        self._permits = permits
        self._near: list[tuple[int, int, str]] = []
        self._far: list[tuple[int, int, str]] = []
        # Equal runners take turns.
        self._turn = itertools.count()
        self._recheck = 0
        self._names: list[str] = []
        self._unsettled: set[str] = set()

    def add(self, record: RunnerRecord) -> None:
        """Add a runner, or one whose record another index held."""
        record.entry = None
        self.record_by_name[record.name] = record
        self._names.append(record.name)

    def set_state(
        self, now: float, record: RunnerRecord, zone_out: bool, draining: bool
    ) -> None:
        """Take a runner out, or let it return.

        Its permits grow unannounced for a while after its zone came back.
        """
        if record.zone_out and not zone_out:
            record.returned_at = now
            self._unsettled.add(record.name)
        record.zone_out = zone_out
        record.draining = draining
        self.relist(now, record.name)

    def relist(self, now: float, name: str) -> bool:
        """Put a runner into the index if it may take work now."""
        record = self.record_by_name.get(name)
        if record is None or record.blocked(now):
            return False
        if record.entry is not None:
            return True
        if self._permits.free(now, record.limit_key) <= 0:
            return False
        heap = self._near if record.zone == self._zone else self._far
        if len(heap) > 4 * len(self.record_by_name) + _RECHECKS:
            self._compact(heap)
        record.entry = next(self._turn)
        heapq.heappush(heap, (record.outstanding, record.entry, name))
        return True

    def _compact(self, heap: list[tuple[int, int, str]]) -> None:
        """Drop entries that no longer stand for their runner."""
        heap[:] = [
            entry
            for entry in heap
            if entry[2] in self.record_by_name
            and self.record_by_name[entry[2]].entry == entry[1]
        ]
        heapq.heapify(heap)

    def pick(self, now: float, avoid: str = "") -> RunnerRecord | None:
        """Return the runner for the next request, or None."""
        return self._pick(now, self._near, avoid) or self._pick(
            now, self._far, avoid
        )

    def _pick(
        self, now: float, heap: list[tuple[int, int, str]], avoid: str
    ) -> RunnerRecord | None:
        aside = None
        found = None
        while heap:
            _, entry, name = heap[0]
            record = self.record_by_name.get(name)
            if record is None or record.entry != entry:
                heapq.heappop(heap)
                continue
            if (
                record.blocked(now)
                or self._permits.free(now, record.limit_key) <= 0
            ):
                record.entry = None
                heapq.heappop(heap)
                continue
            if name == avoid and self.capacity > record.slots:
                aside = heapq.heappop(heap)
                continue
            found = record
            break
        if aside is not None:
            heapq.heappush(heap, aside)
        return found

    def started(self, now: float, record: RunnerRecord) -> None:
        """Count a request sent to a runner."""
        record.outstanding += 1
        record.entry = None
        if record.breaker.open_s:
            record.breaker = record.breaker.after_dispatch()
            self._unsettled.add(record.name)
        self.relist(now, record.name)

    def ended(
        self, now: float, record: RunnerRecord, failed: bool, refused: bool
    ) -> None:
        """Count a request that has ended at a runner.

        A runner that refuses work is left alone at once, unless it is the
        last one that takes work.
        """
        record.outstanding -= 1
        record.entry = None
        if failed:
            others = self.capacity > record.slots
            record.breaker = record.breaker.after_failure(
                now, refused and others
            )
            if record.breaker.open_s:
                self._unsettled.add(record.name)
        elif record.breaker is not routing.CLOSED_BREAKER:
            record.breaker = record.breaker.after_success()
        self.relist(now, record.name)

    def refresh(self, now: float, work_waits: bool) -> None:
        """Relist runners that time lets take work again.

        Permits may also come back to this host unannounced. While work
        waits, a bounded number of the other runners is looked at, in turn.
        """
        for name in list(self._unsettled):
            record = self.record_by_name.get(name)
            if record is None:
                self._unsettled.discard(name)
                continue
            if (
                record.returned_at is not None
                and now - record.returned_at >= limits.ZONE_RETURN_RAMP_S
            ):
                record.returned_at = None
            if record.returned_at is None and not record.breaker.open_s:
                self._unsettled.discard(name)
            self.relist(now, name)
        count = len(self._names)
        for _ in range(min(_RECHECKS, count) if work_waits else 0):
            self._recheck = (self._recheck + 1) % count
            self.relist(now, self._names[self._recheck])
        self.measure(now)

    def measure(self, now: float) -> None:
        """Add up the slots of runners that take work."""
        self.capacity = sum(
            record.slots
            if record.returned_at is None
            else limits.ramped_limit(record.slots, now - record.returned_at)
            for record in self.record_by_name.values()
            if not record.blocked(now)
        )
