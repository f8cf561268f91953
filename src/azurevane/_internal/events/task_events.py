"""Events about tasks and maintenance: numbers 3000 to 3999."""

import dataclasses
import logging

from azurevane._internal.events import catalogue


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


@catalogue.event(3003)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskStopped(catalogue.Event):
    """Task stopped permanently."""

    task_id: str
    team: str
    phase: str
    reason: str


@catalogue.event(3004)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskMoved(catalogue.Event):
    """Stop of a task requested from its worker."""

    task_id: str
    worker: str
    checkpoint: bool
    reasons: tuple[str, ...]


@catalogue.event(3005, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerQuarantined(catalogue.Event):
    """Worker quarantined after failures in a row."""

    worker: str
    seconds: float


@catalogue.event(3006)
@dataclasses.dataclass(frozen=True, slots=True)
class PoolTaken(catalogue.Event):
    """Controller lease of a pool taken."""

    pool: str
    epoch: int


@catalogue.event(3007, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class PoolLost(catalogue.Event):
    """Controller lease of a pool lost."""

    pool: str
    reason: str
