"""Remembers the latest events, so that a decision can be explained."""

import collections
from typing import Any

from azurevane._internal.events import catalogue

REMEMBERED_EVENTS = 5000


class RecentEvents:
    """Bounded memory of events; the oldest are forgotten first."""

    def __init__(self, capacity: int = REMEMBERED_EVENTS) -> None:
        self._events: collections.deque[
            tuple[catalogue.Entry, catalogue.Event]
        ] = collections.deque(maxlen=capacity)

    def record(
        self, entry: catalogue.Entry, occurrence: catalogue.Event
    ) -> None:
        """Remember an event; a listener of the catalogue."""
        self._events.append((entry, occurrence))

    def about(self, name: str) -> list[dict[str, Any]]:
        """Return the events that have a field with this value."""
        found = []
        for entry, occurrence in self._events:
            fields = catalogue.event_fields(occurrence)
            if name in fields.values():
                found.append(
                    {
                        "event": entry.number,
                        "summary": entry.summary,
                        "fields": fields,
                    }
                )
        return found
