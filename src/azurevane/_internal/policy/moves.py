"""Moves of hosts between pools, in fenced steps."""

import dataclasses
from typing import Any

MOVE_STEPS = ("drain", "empty", "reassign", "return", "done")


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The host record: names the one pool of a host.

    Attributes:
        number: grows with each change; workers refuse commands for a
            pool under a lower one.
        move: name of the move under way, if any.
    """

    host: str
    pool: str
    number: int = 0
    move: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move under way; a row of the table.

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
    """What is known of the host of a move.

    Attributes:
        drained: whether every entry host and the controller obey the
            drain.
        running: tasks and requests that still run on it.
        target_exists: whether the manifest still has the target pool.
        healthy: whether the host answers under its new assignment.
    """

    drained: bool
    running: int
    target_exists: bool
    healthy: bool


def host_row(host: str) -> str:
    """Return the name of the row of a host record."""
    return f"host/{host}"


def move_row(name: str) -> str:
    """Return the name of the row of a move."""
    return f"move/{name}"


def begin_move(
    name: str, record: Assignment, target: str
) -> tuple[Assignment, Move] | None:
    """Return the rows that begin a move; None if it isn't possible."""
    if record.move or record.pool == target:
        return None
    return (
        dataclasses.replace(record, number=record.number + 1, move=name),
        Move(name, record.host, record.pool, target),
    )


def advance_move(
    move: Move, record: Assignment, facts: Facts
) -> tuple[Assignment, Move] | None:
    """Return both rows after the next step; None while it must wait.

    Each step is one transaction, conditional on the versions of both rows
    and on the epochs of both pools, so a successor continues from the
    rows, and an earlier controller's step is refused. Until ``reassign``
    a move whose target is gone is undone; after it the move is finished.
    """
    assert record.move == move.name, "a host under another move"
    if move.step in ("drain", "empty") and not facts.target_exists:
        return undo_move(move, record, f"pool {move.target} is gone")
    if move.step == "drain" and facts.drained:
        return record, dataclasses.replace(move, step="empty")
    if move.step == "empty" and not facts.running:
        return record, dataclasses.replace(move, step="reassign")
    if move.step == "reassign" and facts.running:
        return record, dataclasses.replace(move, step="empty")
    if move.step == "reassign":
        assert record.pool == move.source, "a host in two pools"
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
    """Return the rows that undo a move; None after its reassignment."""
    if MOVE_STEPS.index(move.step) >= MOVE_STEPS.index("reassign"):
        return None
    assert record.pool == move.source, "a host in two pools"
    return (
        dataclasses.replace(record, number=record.number + 1, move=""),
        dataclasses.replace(move, step="undone", detail=reason),
    )


def row_values(
    rows: tuple[Assignment, Move],
) -> dict[str, Any]:
    """Return the values of both rows for one transaction."""
    record, move = rows
    return {
        host_row(record.host): dataclasses.asdict(record),
        move_row(move.name): dataclasses.asdict(move),
    }
