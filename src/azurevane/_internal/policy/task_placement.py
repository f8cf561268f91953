"""Chooses runners for the tasks whose turn has come.

Answers a load of many short tasks in bursts beside few long-running ones:
short tasks are packed onto few runners, so that the others can be left,
and long-running ones are spread over runners and racks.
"""

from collections.abc import Sequence
import dataclasses
import math

from azurevane._internal.models import job as job_models


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """A runner that may take tasks, and its free capacity."""

    runner_id: str
    rack: str
    labels: frozenset[str]
    free: job_models.Capacity


@dataclasses.dataclass(frozen=True, slots=True)
class StepRequest:
    """Tasks of a step that wait for runners.

    Attributes:
        job_id: its job; ``occurrence`` and ``step_index`` name the step.
        indexes: tasks of the step that wait.
        present_by_runner: tasks of the step that runners have already.
        allowed: runners that may run it; None for any.
        avoided_by_index: runners that a task isn't started on while there
            are others, although these may be full now.
    """

    job_id: str
    occurrence: int
    step_index: int
    team: str
    step: job_models.Step
    indexes: tuple[int, ...]
    present_by_runner: dict[str, int]
    allowed: frozenset[str] | None = None
    avoided_by_index: dict[int, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A task and the runner chosen for it."""

    request: StepRequest
    index: int
    runner_id: str


# Runners over which the tasks of a long-running step are spread.
MIN_SPREAD = 2


class _OpenRoom:
    __slots__ = ("cpu", "gpu", "memory", "room")

    def __init__(self, room: Room) -> None:
        self.room = room
        self.cpu = room.free.cpu
        self.memory = room.free.memory
        self.gpu = room.free.gpu

    def fits(self, need: job_models.Capacity, cpu: int) -> bool:
        return (
            self.cpu >= cpu
            and self.memory >= need.memory
            and self.gpu >= need.gpu
        )

    def take(self, need: job_models.Capacity, cpu: int) -> None:
        self.cpu -= cpu
        self.memory -= need.memory
        self.gpu -= need.gpu


class _TeamRoom:
    __slots__ = ("cpu", "gpu", "memory")

    def __init__(self, free: job_models.Capacity) -> None:
        self.cpu = free.cpu
        self.memory = free.memory
        self.gpu = free.gpu

    def count(self, need: job_models.Capacity) -> int:
        """Return how many tasks of a size the team may still start."""
        counts = [
            left // size
            for left, size in (
                (self.cpu, need.cpu),
                (self.memory, need.memory),
                (self.gpu, need.gpu),
            )
            if size
        ]
        return max(min(counts, default=1 << 30), 0)

    def take(self, need: job_models.Capacity) -> None:
        self.cpu -= need.cpu
        self.memory -= need.memory
        self.gpu -= need.gpu


def place(
    requests: Sequence[StepRequest],
    rooms: Sequence[Room],
    free_by_team: dict[str, job_models.Capacity],
) -> list[Placement]:
    """Choose runners, in the order of the requests.

    Args:
        free_by_team: what each team may still start; teams that are
            absent have no limit.
    """
    open_rooms = [_OpenRoom(room) for room in rooms]
    team_rooms = {name: _TeamRoom(left) for name, left in free_by_team.items()}
    placements: list[Placement] = []
    for request in requests:
        most = len(request.indexes)
        team_room = team_rooms.get(request.team)
        if team_room is not None:
            most = min(most, team_room.count(request.step.need))
        if request.step.gang and most < len(request.indexes):
            continue
        chosen = _place_step(request, most, open_rooms)
        if team_room is not None:
            for _ in chosen:
                team_room.take(request.step.need)
        placements.extend(chosen)
    return placements


def _place_step(
    request: StepRequest, most: int, open_rooms: list[_OpenRoom]
) -> list[Placement]:
    step = request.step
    if not most:
        return []
    candidates = _candidates(request, open_rooms)
    if step.gang and step.same_rack:
        return _place_in_one_rack(request, candidates)
    placements = _fill(request, most, candidates)
    if step.gang and len(placements) < len(request.indexes):
        _give_back(placements, candidates, step)
        return []
    return placements


def _candidates(
    request: StepRequest, open_rooms: list[_OpenRoom]
) -> list[_OpenRoom]:
    label = request.step.required_label
    allowed = request.allowed
    return [
        open_room
        for open_room in open_rooms
        if (not label or label in open_room.room.labels)
        and (allowed is None or open_room.room.runner_id in allowed)
    ]


def _place_in_one_rack(
    request: StepRequest, candidates: list[_OpenRoom]
) -> list[Placement]:
    """Place a gang whose tasks are slow across racks."""
    rooms_by_rack: dict[str, list[_OpenRoom]] = {}
    for open_room in candidates:
        rooms_by_rack.setdefault(open_room.room.rack, []).append(open_room)
    racks = sorted(
        rooms_by_rack.values(), key=lambda rooms: sum(r.cpu for r in rooms)
    )
    for rooms in [*racks, candidates]:
        placements = _fill(request, len(request.indexes), rooms)
        if len(placements) == len(request.indexes):
            return placements
        _give_back(placements, rooms, request.step)
    return []


def _avoided(
    request: StepRequest, index: int, candidates: list[_OpenRoom]
) -> frozenset[str]:
    avoided = request.avoided_by_index.get(index)
    if not avoided:
        return frozenset()
    others = any(room.room.runner_id not in avoided for room in candidates)
    return avoided if others else frozenset()


def _fill(
    request: StepRequest, most: int, candidates: list[_OpenRoom]
) -> list[Placement]:
    step = request.step
    need = step.need
    cpu = 0 if step.fills else need.cpu
    count_by_runner = dict(request.present_by_runner)
    count_by_rack: dict[str, int] = {}
    if step.long_running:
        for open_room in candidates:
            room = open_room.room
            count_by_rack[room.rack] = count_by_rack.get(
                room.rack, 0
            ) + count_by_runner.get(room.runner_id, 0)
    runners = spread(step)
    placements = []
    for index in request.indexes[:most]:
        best: _OpenRoom | None = None
        best_rank: tuple[float, ...] = ()
        spread_out = len(count_by_runner) >= runners
        avoided = _avoided(request, index, candidates)
        for open_room in candidates:
            room = open_room.room
            here = count_by_runner.get(room.runner_id, 0)
            full = step.max_per_runner and here >= step.max_per_runner
            if full or not open_room.fits(need, cpu):
                continue
            if room.runner_id in avoided:
                continue
            if step.long_running:
                rank: tuple[float, ...] = (
                    spread_out and not here,
                    here,
                    count_by_rack.get(room.rack, 0),
                    open_room.cpu,
                )
            else:
                away = bool(step.data_rack) and room.rack != step.data_rack
                rank = (away, open_room.cpu)
            if best is None or rank < best_rank:
                best, best_rank = open_room, rank
        if best is None:
            break
        best.take(need, cpu)
        runner_id, rack = best.room.runner_id, best.room.rack
        count_by_runner[runner_id] = count_by_runner.get(runner_id, 0) + 1
        count_by_rack[rack] = count_by_rack.get(rack, 0) + 1
        placements.append(Placement(request, index, runner_id))
    return placements


def spread(step: job_models.Step) -> int:
    """Return over how many runners a long-running step is spread.

    Two runners outlive the loss of either; more would keep hosts in the
    pool that could leave it.
    """
    if not step.max_per_runner:
        return MIN_SPREAD
    return max(MIN_SPREAD, math.ceil(step.count / step.max_per_runner))


def _give_back(
    placements: list[Placement],
    candidates: list[_OpenRoom],
    step: job_models.Step,
) -> None:
    room_by_id = {room.room.runner_id: room for room in candidates}
    cpu = 0 if step.fills else step.need.cpu
    for placement in placements:
        room = room_by_id[placement.runner_id]
        room.cpu += cpu
        room.memory += step.need.memory
        room.gpu += step.need.gpu
