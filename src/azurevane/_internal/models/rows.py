"""Reads and writes of the table that the control state machines request."""

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
    """Writes that are applied atomically if every checked version matches.

    Attributes:
        number: identifies the operation in its answer.
        token: written into the rows, so that reading a row back shows
            whether a write without an answer was applied.
        version_by_checked_row: expected versions; 0 if a row must not
            exist.
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
    """Asks for single rows, to find out whether a write was applied."""

    number: int
    names: tuple[str, ...]
