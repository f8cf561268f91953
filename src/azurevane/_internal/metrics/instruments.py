"""OpenTelemetry instruments of the daemons, updated from events."""

from collections.abc import Callable
import dataclasses
from typing import Any, TypeVar

from opentelemetry import metrics

from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.events import request_events
from azurevane._internal.events import state_events
from azurevane._internal.events import task_events


@dataclasses.dataclass(frozen=True, slots=True)
class Instrument:
    """Instrument and the event class from which it is updated.

    Attributes:
        name: name by the OpenTelemetry semantic conventions.
        kind: ``counter`` or ``histogram``.
        unit: UCUM unit.
        attributes: names of the event fields that become attributes.
        value: function that returns the value to record for an event.
    """

    name: str
    kind: str
    unit: str
    description: str
    event_type: type
    attributes: tuple[str, ...]
    value: Callable[[Any], float]


instrument_by_name: dict[str, Instrument] = {}

_ValueT = TypeVar("_ValueT", bound=Callable[[Any], float])


def instrument(
    name: str,
    kind: str,
    unit: str,
    event_type: type,
    attributes: tuple[str, ...] = (),
) -> Callable[[_ValueT], _ValueT]:
    """Register an instrument; the function returns its value for an event.

    The first line of the function's docstring is the description.
    """

    def register(value: _ValueT) -> _ValueT:
        description = (value.__doc__ or "").strip().splitlines()[0]
        instrument_by_name[name] = Instrument(
            name, kind, unit, description, event_type, attributes, value
        )
        return value

    return register


@instrument(
    "azurevane.requests.routed",
    "counter",
    "{request}",
    request_events.RequestRouted,
    ("queue", "team"),
)
def _requests_routed(event: request_events.RequestRouted) -> float:
    """Requests sent to a runner, retries included."""
    return 1


@instrument(
    "azurevane.requests.refused",
    "counter",
    "{request}",
    request_events.RequestRefused,
    ("problem", "verdict"),
)
def _requests_refused(event: request_events.RequestRefused) -> float:
    """Requests that got a problem document instead of an answer."""
    return 1


@instrument(
    "azurevane.requests.run.duration",
    "histogram",
    "s",
    request_events.RequestEnded,
    ("runner", "failure"),
)
def _request_run_duration(event: request_events.RequestEnded) -> float:
    """Time from dispatch to the end of the run at the runner."""
    return event.seconds


@instrument(
    "azurevane.tasks.placed",
    "counter",
    "{task}",
    task_events.TaskPlaced,
    ("team",),
)
def _tasks_placed(event: task_events.TaskPlaced) -> float:
    """Starts of tasks on workers."""
    return 1


@instrument(
    "azurevane.tasks.ended",
    "counter",
    "{task}",
    task_events.TaskEnded,
    ("outcome",),
)
def _tasks_ended(event: task_events.TaskEnded) -> float:
    """Tasks that ended on their worker, by outcome."""
    return 1


@instrument(
    "azurevane.configuration.changes",
    "counter",
    "{change}",
    state_events.StateInForce,
    ("source",),
)
def _states_in_force(event: state_events.StateInForce) -> float:
    """Fleet states put in force, by where they came from."""
    return 1


@instrument(
    "azurevane.platform.failures",
    "counter",
    "{call}",
    platform_events.StoreFailed,
    ("operation",),
)
def _store_calls_failed(event: platform_events.StoreFailed) -> float:
    """Calls to the platform without a usable answer."""
    return 1


class EventMeter:
    """Updates the instruments; ``record`` is a listener of the catalogue."""

    def __init__(self, provider: metrics.MeterProvider) -> None:
        meter = provider.get_meter("azurevane")
        self._recorders_by_type: dict[
            type, list[tuple[Instrument, Callable[..., None]]]
        ] = {}
        for item in instrument_by_name.values():
            if item.kind == "counter":
                record = meter.create_counter(
                    item.name, item.unit, item.description
                ).add
            else:
                record = meter.create_histogram(
                    item.name, item.unit, item.description
                ).record
            recorders = self._recorders_by_type.setdefault(item.event_type, [])
            recorders.append((item, record))

    def record(
        self, entry: catalogue.EventEntry, event: catalogue.Event
    ) -> None:
        """Update the instruments that are registered for an event's class."""
        for item, record in self._recorders_by_type.get(type(event), ()):
            attributes = {
                name: str(getattr(event, name)) for name in item.attributes
            }
            record(item.value(event), attributes)
