"""Orders that the scheduler wants sent."""

import dataclasses

from azurevane._internal.models import runner_messages as messages
from azurevane._internal.scheduler import runs


@dataclasses.dataclass(frozen=True, slots=True)
class SendStart:
    """Start a run once its assignment is stored."""

    runner_id: str
    run: runs.Run
    order: messages.StartTask


@dataclasses.dataclass(frozen=True, slots=True)
class SendStop:
    """Stop a run, or keep it from starting."""

    runner_id: str
    order: messages.StartTask


@dataclasses.dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which runners may run a step."""

    step_name: str
    runner_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPace:
    """Let a run work at a share of its speed, in percent."""

    runner_id: str
    run: runs.Run
    attempt: int
    percent: int


Order = SendStart | SendStop | AskAdvice | SendPace
