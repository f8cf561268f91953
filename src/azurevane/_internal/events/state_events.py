"""Events about configuration and membership: numbers 1000 to 1999."""

import dataclasses

from azurevane._internal.events import catalogue


@catalogue.event(1001)
@dataclasses.dataclass(frozen=True, slots=True)
class StateInForce(catalogue.Event):
    """Fleet state put in force."""

    version: int
    previous: int
    source: str
