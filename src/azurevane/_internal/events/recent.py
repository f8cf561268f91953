"""Record of recent events, from which operators' queries are answered."""

import collections
from typing import Any

from azurevane._internal.events import catalogue

MAX_RECENT_EVENTS = 5000


class RecentEvents:
    """Bounded record of events; the oldest are dropped first."""

    def __init__(self, capacity: int = MAX_RECENT_EVENTS) -> None:
        self._events: collections.deque[
            tuple[catalogue.EventEntry, catalogue.Event]
        ] = collections.deque(maxlen=capacity)

    def record(
        self, entry: catalogue.EventEntry, event: catalogue.Event
    ) -> None:
        """Record an event; registered as a listener of the catalogue."""
        self._events.append((entry, event))

    def find_by_value(self, value: str) -> list[dict[str, Any]]:
        """Return the events that have a field with a value, oldest first."""
        found = []
        for entry, event in self._events:
            fields = catalogue.event_fields(event)
            if value in fields.values():
                found.append(
                    {
                        "event": entry.number,
                        "summary": entry.summary,
                        "fields": fields,
                    }
                )
        return found
