"""Chooses which runs stop for an urgent task that has no room.

Only a task of a queue of priority 0 may have others stopped: of queues that
come later, or tasks that fill. A long-running task isn't stopped for a short
one, and a gang's task never, as its others would wait for it.
"""

from collections.abc import Sequence
import dataclasses

from azurevane._internal.models import job as job_models

# A run isn't stopped again within this time, in seconds: several run times of
# most tasks, so that each can end in between.
NOT_AGAIN_S = 30.0
# Most runs that stop for one task; more lose more than one task is worth.
MAX_VICTIMS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A run that could be stopped.

    Attributes:
        need: what its runner has free once it has stopped.
        lost_core_s: work that is lost, in thousandths of a core-second.
        stoppable: whether its gang and availability budget allow it.
        stopped_at: when it was last stopped so, or a time long ago.
    """

    task: str
    priority: int
    fills: bool
    long_running: bool
    need: job_models.Capacity
    lost_core_s: float
    stoppable: bool
    stopped_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """A runner that may run the urgent task, and the runs on it."""

    runner_id: str
    free: job_models.Capacity
    candidates: tuple[Candidate, ...]


def choose_victims(
    need: job_models.Capacity,
    priority: int,
    rooms: Sequence[Room],
    now: float,
    *,
    long_running: bool,
) -> tuple[str, tuple[Candidate, ...]] | None:
    """Return the runner and the runs to stop on it, or None.

    Tasks that fill go first, then those that lose the least work, and other
    long-running tasks last.

    Args:
        need: what the urgent task takes.
        long_running: whether the urgent task is.
    """
    best: tuple[tuple[float, ...], str, tuple[Candidate, ...]] | None = None
    for room in rooms:
        victims = _victims_on(room, need, priority, now, long_running)
        if victims is None:
            continue
        cost = (
            float(not all(victim.fills for victim in victims)),
            float(any(victim.long_running for victim in victims)),
            sum(victim.lost_core_s for victim in victims),
        )
        if best is None or cost < best[0]:
            best = cost, room.runner_id, victims
    return None if best is None else best[1:]


def _victims_on(
    room: Room,
    need: job_models.Capacity,
    priority: int,
    now: float,
    long_running: bool,
) -> tuple[Candidate, ...] | None:
    """Return the runs to stop on a runner, or None if they aren't enough."""
    allowed = [
        item
        for item in room.candidates
        if item.stoppable
        and (item.priority > priority or item.fills)
        and (long_running or not item.long_running)
        and now - item.stopped_at >= NOT_AGAIN_S
    ]
    allowed.sort(
        key=lambda item: (not item.fills, item.long_running, item.lost_core_s)
    )
    chosen: list[Candidate] = []
    for item in allowed:
        if _fits(need, room.free, chosen):
            break
        chosen.append(item)
    if not _fits(need, room.free, chosen):
        return None
    for item in reversed(list(chosen)):
        # A later and larger one may have made it superfluous.
        others = [other for other in chosen if other is not item]
        if _fits(need, room.free, others):
            chosen = others
    return tuple(chosen) if 0 < len(chosen) <= MAX_VICTIMS else None


def _fits(
    need: job_models.Capacity,
    free: job_models.Capacity,
    stopped: Sequence[Candidate],
) -> bool:
    return (
        free.cpu + sum(item.need.cpu for item in stopped) >= need.cpu
        and free.memory + sum(item.need.memory for item in stopped)
        >= need.memory
        and free.gpu + sum(item.need.gpu for item in stopped) >= need.gpu
    )
