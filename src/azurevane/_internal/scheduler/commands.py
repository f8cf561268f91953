"""Commands and requests that the leader queues for sending."""

import dataclasses

from azurevane._internal.models import runner_messages as messages
from azurevane._internal.scheduler import runs


@dataclasses.dataclass(frozen=True, slots=True)
class StartCommand:
    """Starts a run; sent once the run's assignment is stored."""

    runner_id: str
    run: runs.Run
    message: messages.StartTask


@dataclasses.dataclass(frozen=True, slots=True)
class StopCommand:
    """Stops a run, or prevents its start."""

    runner_id: str
    message: messages.StartTask


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Asks the advisor which runners may run a step."""

    step_name: str
    runner_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PaceCommand:
    """Sets the speed of a run, in percent of its full speed."""

    runner_id: str
    run: runs.Run
    attempt: int
    percent: int


Command = StartCommand | StopCommand | AdviceRequest | PaceCommand
