"""Registry of numbered log events, each a frozen data class."""

from collections.abc import Callable
import dataclasses
import logging
from typing import Any, TypeVar

_EventT = TypeVar("_EventT", bound=type)


class Event:
    """Base class of all events; its fields become fields of the log line."""

    __slots__ = ()
    __dataclass_fields__: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class EventEntry:
    """Number, name, level and message of an event class."""

    number: int
    name: str
    level: int
    summary: str


entry_by_type: dict[type, EventEntry] = {}

# Called with every event at any log level. The metrics and the record of
# recent events are listeners.
listeners: list[Callable[[EventEntry, "Event"], None]] = []


def event(number: int, level: int = logging.INFO) -> "_EventDecorator":
    """Register an event class under a number that is never reused."""
    return _EventDecorator(number, level)


class _EventDecorator:
    def __init__(self, number: int, level: int) -> None:
        self._number = number
        self._level = level

    def __call__(self, cls: _EventT) -> _EventT:
        used_numbers = {entry.number for entry in entry_by_type.values()}
        if self._number in used_numbers:
            raise ValueError(f"Event number {self._number} is already in use")
        summary = (cls.__doc__ or "").strip().splitlines()[0]
        entry_by_type[cls] = EventEntry(
            self._number, cls.__name__, self._level, summary
        )
        return cls


def event_fields(event: Event) -> dict[str, Any]:
    """Return the fields of an event by name."""
    return {name: getattr(event, name) for name in event.__dataclass_fields__}


def emit(logger: logging.Logger, event: Event) -> None:
    """Pass an event to the listeners and log it with number and fields."""
    entry = entry_by_type[type(event)]
    for listener in listeners:
        listener(entry, event)
    if not logger.isEnabledFor(entry.level):
        return
    logger.log(
        entry.level,
        "AZV%04d %s",
        entry.number,
        entry.summary,
        extra={"event": entry, "fields": event_fields(event)},
    )
