"""Events about tasks and maintenance: numbers 3000 to 3999."""

import dataclasses

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
