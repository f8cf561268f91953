"""Rows of the table as the state machines of control see them."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as read; version 0 means that it doesn't exist."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBatch:
    """Writes that apply together, if every checked version matches.

    Attributes:
        number: identifies the operation in its answer.
        token: written into the rows, so that a lost answer can be
            settled by reading a row back.
        value_by_row: new values; None deletes a row.
    """

    number: int
    token: str
    version_by_checked_row: dict[str, int]
    value_by_row: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPrefix:
    """Asks for the rows whose names start with a prefix."""

    number: int
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Asks for single rows, to settle a write whose answer was lost."""

    number: int
    names: tuple[str, ...]
