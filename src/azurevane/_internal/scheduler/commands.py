"""Orders that the scheduler wants sent."""

import dataclasses

from azurevane._internal.models import runner_messages as messages
from azurevane._internal.scheduler import runs


@dataclasses.dataclass(frozen=True, slots=True)
class StartCommand:
    """Start a run once its assignment is stored."""

    runner_id: str
    run: runs.Run
    message: messages.StartTask


@dataclasses.dataclass(frozen=True, slots=True)
class StopCommand:
    """Stop a run, or keep it from starting."""

    runner_id: str
    message: messages.StartTask


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask which runners may run a step."""

    step_name: str
    runner_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PaceCommand:
    """Let a run work at a share of its speed, in percent."""

    runner_id: str
    run: runs.Run
    attempt: int
    percent: int


Command = StartCommand | StopCommand | AdviceRequest | PaceCommand
