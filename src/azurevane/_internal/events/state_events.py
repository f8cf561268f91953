"""Events about configuration and membership: numbers 1000 to 1999."""

import dataclasses
import logging

from azurevane._internal.events import catalogue


@catalogue.event(1001)
@dataclasses.dataclass(frozen=True, slots=True)
class StateInForce(catalogue.Event):
    """Fleet state put in force."""

    version: int
    previous: int
    source: str


@catalogue.event(1002, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeNotMade(catalogue.Event):
    """Change wasn't made, or its outcome isn't known yet."""

    version: int
    token: str
    result: str
    reason: str


@catalogue.event(1003)
@dataclasses.dataclass(frozen=True, slots=True)
class RestrictionsObeyed(catalogue.Event):
    """Restrictions of changes that aren't decided yet are applied."""

    version: int
    prepared: tuple[str, ...]


@catalogue.event(1004, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessChanged(catalogue.Event):
    """Entry host became fresh, or stopped admitting new work."""

    fresh: bool
    version: int


@catalogue.event(1005)
@dataclasses.dataclass(frozen=True, slots=True)
class SeatTaken(catalogue.Event):
    """Entry host holds a seat."""

    seat: int
    epoch: int
    usable_in_s: float


@catalogue.event(1020)
@dataclasses.dataclass(frozen=True, slots=True)
class SeatReleased(catalogue.Event):
    """Entry host released its seat for a successor at a planned stop."""

    seat: int
    outcome: str


@catalogue.event(1006)
@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnected(catalogue.Event):
    """Peer connected."""

    peer: str
    incarnation: str


@catalogue.event(1007, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefused(catalogue.Event):
    """Connection closed because of what the peer sent or didn't read."""

    peer: str
    detail: str
