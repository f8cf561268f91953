"""Starts whose ticket expired before they could be sent.

They are stored already, and in a store that is slower than tickets are valid
a start decided anew would always come too late as well. So they wait for new
tickets instead.
"""

from collections.abc import Callable
import dataclasses

from azurevane._internal.scheduler import advice_book
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import scheduler_state as state_module


class StartsWithoutTicket:
    """Start commands that wait for new tickets; times are monotonic seconds.

    Their requests for advice are kept in the scheduler's state.
    """

    def __init__(self, scheduler_state: state_module.SchedulerState) -> None:
        self._scheduler_state = scheduler_state
        self._commands_by_step: dict[str, list[commands.StartCommand]] = {}

    def wait_for_ticket(self, command: commands.StartCommand) -> None:
        """Keep a command and request a new ticket for it."""
        name = command.run.name.step_name
        self._commands_by_step.setdefault(name, []).append(command)
        self._request_renewal(name, [command])

    def _request_renewal(
        self, step_name: str, waiting: list[commands.StartCommand]
    ) -> None:
        state = self._scheduler_state
        job = waiting[0].run.job.job
        state.advice.request_renewal(
            advice_book.AdviceRequest(
                step_name,
                state.service_of(job),
                {
                    command.runner_id: runner.started_at
                    for command in waiting
                    if (runner := state.runner_by_id.get(command.runner_id))
                },
                state.advisor_times_of(job),
            )
        )

    def take_answered(
        self, request: advice_book.AdviceRequest, now: float
    ) -> tuple[list[commands.StartCommand], list[commands.StartCommand]]:
        """Return the commands that an answer has decided about.

        Returns:
            Those that may be sent, with their new tickets, and those whose
            runner isn't allowed. Both may contain commands that have become
            obsolete since.
        """
        ready: list[commands.StartCommand] = []
        refused: list[commands.StartCommand] = []
        undecided: list[commands.StartCommand] = []
        state = self._scheduler_state
        for command in self._commands_by_step.pop(request.step_name, ()):
            runner = state.runner_by_id.get(command.runner_id)
            if runner is None or not command.is_current:
                continue
            if command.runner_id not in request.started_at_by_runner:
                undecided.append(command)
                continue
            advice = state.advice.find(
                request.service, request.step_name, runner, now
            )
            if advice is None or not advice.ticket:
                refused.append(command)
                continue
            ready.append(
                dataclasses.replace(
                    command,
                    message=dataclasses.replace(
                        command.message, ticket=advice.ticket
                    ),
                    ticket_valid_until=advice.valid_until,
                )
            )
        if undecided:
            self._commands_by_step[request.step_name] = undecided
        else:
            state.advice.drop_renewal(request.step_name)
        return ready, refused

    def take_if(
        self, condition: Callable[[commands.StartCommand], bool]
    ) -> list[commands.StartCommand]:
        """Return the commands that meet a condition, and forget them.

        Commands whose run is no longer theirs are forgotten too.
        """
        taken: list[commands.StartCommand] = []
        for name, waiting in list(self._commands_by_step.items()):
            current = [each for each in waiting if each.is_current]
            taken += [each for each in current if condition(each)]
            left = [each for each in current if each not in taken]
            if left:
                self._commands_by_step[name] = left
            else:
                del self._commands_by_step[name]
                self._scheduler_state.advice.drop_renewal(name)
        return taken
