"""Every event that the daemons log, ordered by number.

Numbers 1000-1999 belong to the entry daemon's configuration and
membership, 2000-2999 to requests, 3000-3999 to tasks and maintenance,
4000-4999 to the platform's services, 5000-5999 to programs.
"""

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


@catalogue.event(3001)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskPlaced(catalogue.Event):
    """Task placed on a worker."""

    task_id: str
    team: str
    worker: str
    epoch: int
    reasons: tuple[str, ...]


@catalogue.event(3002)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded(catalogue.Event):
    """Task ended on its worker."""

    task_id: str
    worker: str
    outcome: str


@catalogue.event(4001, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed(catalogue.Event):
    """Table service gave no usable answer."""

    operation: str
    detail: str


@catalogue.event(5001)
@dataclasses.dataclass(frozen=True, slots=True)
class ProgramStarted(catalogue.Event):
    """Program started and listening."""

    program: str
    address: str
    version: str


@catalogue.event(5002)
@dataclasses.dataclass(frozen=True, slots=True)
class ProgramStopping(catalogue.Event):
    """Program stops gracefully."""

    program: str
    running: int
