"""Sends orders to runners, each by the link of its runner."""

from collections.abc import Sequence
import logging
from typing import Any

from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.platform import advice_calls
from azurevane._internal.platform import runner_calls
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import orders
from azurevane._internal.scheduler import runner_link
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

_ADVICE_RETRY_S = 0.2
# Share of a ticket's validity that is used, for the way to the runner.
TICKET_SHARE = 0.8


class OrderSender:
    """Keeps a link to each runner of the book.

    Args:
        advice: the advisor's calls, where there is one.
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
        """Send nothing more."""
        for link in self._link_by_id.values():
            link.stop()

    def update_links(self) -> None:
        """Start links to new runners and end those to runners gone."""
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
                link.wake()
        for runner_id in list(self._link_by_id):
            if runner_id not in self._scheduler_state.runner_by_id:
                self._link_by_id.pop(runner_id).stop()

    def send_starts(self, starts: Sequence[orders.SendStart]) -> None:
        """Send orders to start whose assignments are stored."""
        for order in starts:
            link = self._link_by_id.get(order.runner_id)
            if link is not None:
                background.spawn(link.send_start(order), "start")

    def send(self, order: orders.Order) -> None:
        """Send an order that needs nothing stored."""
        if isinstance(order, orders.AskAdvice):
            background.spawn(self._ask_advice(order), "advice")
            return
        link = self._link_by_id.get(order.runner_id)
        if link is None:
            return
        if isinstance(order, orders.SendStop):
            background.spawn(link.send_stop(order), "stop")
        elif isinstance(order, orders.SendPace):
            background.spawn(link.send_pace(order), "pace")

    async def _ask_advice(self, order: orders.AskAdvice) -> None:
        try:
            if self._advice is None or not order.runner_ids:
                return
            advice = await self._advice.advise(
                order.step_name, order.runner_ids
            )
        except exceptions.CallFailed as failure:
            logger.info("Advice on %s: %s", order.step_name, failure)
            await twisted_task.deferLater(
                self._reactor, _ADVICE_RETRY_S, lambda: None
            )
            return
        finally:
            self._scheduler_state.advice_asked.discard(order.step_name)
        valid_until = self._leader.now() + advice.valid_s * TICKET_SHARE
        self._scheduler_state.advice_by_step[order.step_name] = (
            state_module.Advice(advice.ticket_by_runner, valid_until)
        )
        self._leader.pump()
