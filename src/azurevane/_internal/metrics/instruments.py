"""OpenTelemetry instruments of the daemons, fed by events."""

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
    """An instrument and the event that feeds it.

    Attributes:
        name: follows the OpenTelemetry semantic conventions.
        kind: ``counter`` or ``histogram``.
        unit: UCUM unit.
        attributes: event fields that become attributes.
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
    """Register an instrument whose value the function takes of an event."""

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
def _routed(occurrence: request_events.RequestRouted) -> float:
    """Requests sent to a runner, retries included."""
    return 1


@instrument(
    "azurevane.requests.refused",
    "counter",
    "{request}",
    request_events.RequestRefused,
    ("problem", "verdict"),
)
def _refused(occurrence: request_events.RequestRefused) -> float:
    """Requests that got a problem document instead of an answer."""
    return 1


@instrument(
    "azurevane.requests.run.duration",
    "histogram",
    "s",
    request_events.RequestEnded,
    ("runner", "failure"),
)
def _run_duration(occurrence: request_events.RequestEnded) -> float:
    """Time from dispatch to the end of the run at the runner."""
    return occurrence.seconds


@instrument(
    "azurevane.tasks.placed",
    "counter",
    "{task}",
    task_events.TaskPlaced,
    ("team",),
)
def _placed(occurrence: task_events.TaskPlaced) -> float:
    """Starts of tasks on workers."""
    return 1


@instrument(
    "azurevane.tasks.ended",
    "counter",
    "{task}",
    task_events.TaskEnded,
    ("outcome",),
)
def _task_ended(occurrence: task_events.TaskEnded) -> float:
    """Tasks that ended on their worker, by outcome."""
    return 1


@instrument(
    "azurevane.configuration.changes",
    "counter",
    "{change}",
    state_events.StateInForce,
    ("source",),
)
def _in_force(occurrence: state_events.StateInForce) -> float:
    """Fleet states put in force, by where they came from."""
    return 1


@instrument(
    "azurevane.platform.failures",
    "counter",
    "{call}",
    platform_events.StoreFailed,
    ("operation",),
)
def _store_failed(occurrence: platform_events.StoreFailed) -> float:
    """Calls to the platform without a usable answer."""
    return 1


class EventMeter:
    """Feeds the instruments from events; a listener of the catalogue."""

    def __init__(self, provider: metrics.MeterProvider) -> None:
        meter = provider.get_meter("azurevane")
        self._feeds_by_type: dict[
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
            feeds = self._feeds_by_type.setdefault(item.event_type, [])
            feeds.append((item, record))

    def record(
        self, entry: catalogue.EventEntry, occurrence: catalogue.Event
    ) -> None:
        """Feed the instruments that hang on an event's type."""
        for item, record in self._feeds_by_type.get(type(occurrence), ()):
            attributes = {
                name: str(getattr(occurrence, name))
                for name in item.attributes
            }
            record(item.value(occurrence), attributes)
