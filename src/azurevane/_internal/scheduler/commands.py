"""Commands that the leader queues for sending."""

import dataclasses

from azurevane._internal.models import runner_messages as messages
from azurevane._internal.scheduler import runs


@dataclasses.dataclass(frozen=True, slots=True)
class StartCommand:
    """Starts a run.

    Attributes:
        first_attempt: whether no attempt of the task was assigned before.
        ticket_valid_until: monotonic time from which its ticket isn't used.
    """

    runner_id: str
    run: runs.Run
    message: messages.StartTask
    first_attempt: bool
    ticket_valid_until: float = float("inf")

    @property
    def is_current(self) -> bool:
        """Whether its run is still assigned as the command says."""
        run = self.run
        return (
            run.attempt == self.message.attempt
            and run.runner_id == self.runner_id
            and run.occupies_capacity
            and not run.sent_at
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StopCommand:
    """Stops a run, or prevents its start."""

    runner_id: str
    message: messages.StartTask


@dataclasses.dataclass(frozen=True, slots=True)
class PaceCommand:
    """Sets the speed of a run, in percent of its full speed."""

    runner_id: str
    run: runs.Run
    attempt: int
    percent: int


Command = StartCommand | StopCommand | PaceCommand
