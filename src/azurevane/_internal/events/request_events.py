"""Events about requests: numbers 2000 to 2999."""

import dataclasses
import logging

from azurevane._internal.events import catalogue


@catalogue.event(2001)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestRouted(catalogue.Event):
    """Request routed to a runner."""

    submission_id: str
    queue: str
    team: str
    runner: str
    reasons: tuple[str, ...]


@catalogue.event(2002)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused(catalogue.Event):
    """Request refused."""

    submission_id: str
    status: int
    problem: str
    verdict: str
    detail: str


@catalogue.event(2003)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded(catalogue.Event):
    """Dispatched request ended at its runner."""

    submission_id: str
    runner: str
    seconds: float
    status: int | None
    failure: str


@catalogue.event(2004, logging.CRITICAL)
@dataclasses.dataclass(frozen=True, slots=True)
class RoutedToBlockedRunner(catalogue.Event):
    """Request routed to a runner that must get no new work."""

    submission_id: str
    runner: str
    zone: str
    cause: str
