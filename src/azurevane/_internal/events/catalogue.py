"""Numbered log events, each a frozen data class."""

from collections.abc import Callable
import dataclasses
import logging
from typing import Any, TypeVar

_EventT = TypeVar("_EventT", bound=type)


class Event:
    """Base of every event; its fields are the fields of the log line."""

    __slots__ = ()
    __dataclass_fields__: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Catalogue entry of an event class."""

    number: int
    name: str
    level: int
    summary: str


entry_by_type: dict[type, Entry] = {}

# Called with every event, whatever the log level: the metrics and the
# memory of recent decisions hang on here.
listeners: list[Callable[[Entry, "Event"], None]] = []


def event(number: int, level: int = logging.INFO) -> "_EventDecorator":
    """Register an event class under a number that is never reused."""
    return _EventDecorator(number, level)


class _EventDecorator:
    def __init__(self, number: int, level: int) -> None:
        self._number = number
        self._level = level

    def __call__(self, cls: _EventT) -> _EventT:
        taken = {entry.number for entry in entry_by_type.values()}
        if self._number in taken:
            raise ValueError(f"Event number {self._number} is in use")
        summary = (cls.__doc__ or "").strip().splitlines()[0]
        entry_by_type[cls] = Entry(
            self._number, cls.__name__, self._level, summary
        )
        return cls


def event_fields(occurrence: Event) -> dict[str, Any]:
    """Return the fields of an event by name."""
    return {
        name: getattr(occurrence, name)
        for name in occurrence.__dataclass_fields__
    }


def emit(logger: logging.Logger, occurrence: Event) -> None:
    """Log an event with its number and fields."""
    entry = entry_by_type[type(occurrence)]
    for listener in listeners:
        listener(entry, occurrence)
    if not logger.isEnabledFor(entry.level):
        return
    logger.log(
        entry.level,
        "AZV%04d %s",
        entry.number,
        entry.summary,
        extra={"event": entry, "fields": event_fields(occurrence)},
    )
