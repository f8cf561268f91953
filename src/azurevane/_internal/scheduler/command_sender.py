"""Sends commands to runners, and requests for advice to the advisor."""

from collections.abc import Sequence
import logging
from typing import Any

from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.platform import advice_calls
from azurevane._internal.platform import runner_calls
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import runner_link
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

_ADVICE_RETRY_DELAY_S = 0.2
# Share of a ticket's validity that is used; the rest covers the time until
# the runner has received it.
TICKET_VALIDITY_SHARE = 0.8


class CommandSender:
    """Keeps a link to each known runner and sends commands over it.

    Args:
        advice: calls to the advisor, or None if there is no advisor.
        lease_s: length of the runners' leases.
    """

    def __init__(
        self,
        reactor: Any,
        leader: runner_link.Leader,
        calls: runner_calls.RunnerCalls,
        advice: advice_calls.AdviceCalls | None,
        lease_s: float,
    ) -> None:
        self._reactor = reactor
        self._leader = leader
        self._scheduler_state = leader.scheduler_state
        self._calls = calls
        self._advice = advice
        self._lease_s = lease_s
        self._link_by_id: dict[str, runner_link.RunnerLink] = {}

    def stop(self) -> None:
        """Stop all links; nothing is sent any more."""
        for link in self._link_by_id.values():
            link.stop()

    def update_links(self) -> None:
        """Start links to new runners and stop those to removed runners."""
        for runner_id in self._scheduler_state.runner_by_id:
            link = self._link_by_id.get(runner_id)
            if link is None or link.ended:
                link = runner_link.RunnerLink(
                    self._reactor,
                    self._leader,
                    self._calls,
                    runner_id,
                    self._lease_s,
                )
                self._link_by_id[runner_id] = link
                background.spawn(link.run(), f"runner {runner_id}")
            else:
                link.wake_if_needed()
        for runner_id in list(self._link_by_id):
            if runner_id not in self._scheduler_state.runner_by_id:
                self._link_by_id.pop(runner_id).stop()

    def send_starts(self, starts: Sequence[commands.StartCommand]) -> None:
        """Send start commands whose assignments are stored."""
        for command in starts:
            link = self._link_by_id.get(command.runner_id)
            if link is not None:
                background.spawn(link.send_start(command), "start")

    def send_command(self, command: commands.Command) -> None:
        """Send a command that doesn't wait for anything to be stored."""
        if isinstance(command, commands.AdviceRequest):
            background.spawn(self._request_advice(command), "advice")
            return
        link = self._link_by_id.get(command.runner_id)
        if link is None:
            return
        if isinstance(command, commands.StopCommand):
            background.spawn(link.send_stop(command), "stop")
        elif isinstance(command, commands.PaceCommand):
            background.spawn(link.send_pace(command), "pace")

    async def _request_advice(self, command: commands.AdviceRequest) -> None:
        try:
            if self._advice is None or not command.runner_ids:
                return
            advice = await self._advice.request_advice(
                command.step_name, command.runner_ids
            )
        except exceptions.CallFailed as failure:
            logger.info(
                "Requesting advice on step %s failed: %s",
                command.step_name,
                failure,
            )
            await twisted_task.deferLater(
                self._reactor, _ADVICE_RETRY_DELAY_S, lambda: None
            )
            return
        finally:
            self._scheduler_state.pending_advice_steps.discard(
                command.step_name
            )
        valid_until = (
            self._leader.now() + advice.valid_s * TICKET_VALIDITY_SHARE
        )
        self._scheduler_state.advice_by_step[command.step_name] = (
            state_module.StepAdvice(advice.ticket_by_runner, valid_until)
        )
        self._leader.request_planning()
