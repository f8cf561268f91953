"""Moves of hosts between pools, as a sequence of fenced steps."""

import dataclasses
from typing import Any

MOVE_STEPS = ("drain", "empty", "reassign", "return", "done")


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Record of a host, which assigns it to exactly one pool.

    Attributes:
        number: increases with each change; workers refuse commands that
            carry a lower number.
        move: name of the move in progress, or an empty string.
    """

    host: str
    pool: str
    number: int = 0
    move: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """State of a move, stored as a row of the table.

    Attributes:
        step: ``drain``, ``empty``, ``reassign``, ``return``, ``done`` or
            ``undone``.
    """

    name: str
    host: str
    source: str
    target: str
    step: str = "drain"
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """Current state of the host of a move.

    Attributes:
        drained: whether every entry host and the controller have applied
            the drain.
        running: number of tasks and requests that still run on it.
        target_exists: whether the manifest still has the target pool.
        healthy: whether the host answers under its new assignment.
    """

    drained: bool
    running: int
    target_exists: bool
    healthy: bool


def host_row(host: str) -> str:
    """Return the name of the row that holds a host's record."""
    return f"host/{host}"


def move_row(name: str) -> str:
    """Return the name of the row that holds a move."""
    return f"move/{name}"


def begin_move(
    name: str, record: Assignment, target: str
) -> tuple[Assignment, Move] | None:
    """Return both rows after a move begins; None if it can't begin."""
    if record.move or record.pool == target:
        return None
    return (
        dataclasses.replace(record, number=record.number + 1, move=name),
        Move(name, record.host, record.pool, target),
    )


def advance_move(
    move: Move, record: Assignment, facts: Facts
) -> tuple[Assignment, Move] | None:
    """Return both rows after the next step; None while it can't be taken.

    Each step is one transaction, conditional on the versions of both rows
    and on the epochs of both pools. A new controller therefore continues
    from the rows, and a step of the previous controller is refused. If the
    target pool is removed before ``reassign``, the move is undone; after
    that step it is completed.
    """
    assert record.move == move.name, "the host record names another move"
    if move.step in ("drain", "empty") and not facts.target_exists:
        return undo_move(move, record, f"pool {move.target} is gone")
    if move.step == "drain" and facts.drained:
        return record, dataclasses.replace(move, step="empty")
    if move.step == "empty" and not facts.running:
        return record, dataclasses.replace(move, step="reassign")
    if move.step == "reassign" and facts.running:
        return record, dataclasses.replace(move, step="empty")
    if move.step == "reassign":
        assert record.pool == move.source, "the host isn't in the source pool"
        changed = dataclasses.replace(
            record, pool=move.target, number=record.number + 1
        )
        return changed, dataclasses.replace(move, step="return")
    if move.step == "return" and facts.healthy:
        ended = dataclasses.replace(record, move="")
        return ended, dataclasses.replace(move, step="done")
    return None


def undo_move(
    move: Move, record: Assignment, reason: str
) -> tuple[Assignment, Move] | None:
    """Return both rows after a move is undone; None once it is reassigned."""
    if MOVE_STEPS.index(move.step) >= MOVE_STEPS.index("reassign"):
        return None
    assert record.pool == move.source, "the host isn't in the source pool"
    return (
        dataclasses.replace(record, number=record.number + 1, move=""),
        dataclasses.replace(move, step="undone", detail=reason),
    )


def row_values(
    rows: tuple[Assignment, Move],
) -> dict[str, Any]:
    """Return the values to write for both rows in one transaction."""
    record, move = rows
    return {
        host_row(record.host): dataclasses.asdict(record),
        move_row(move.name): dataclasses.asdict(move),
    }
