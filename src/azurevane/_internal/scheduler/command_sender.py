"""Sends commands to runners, and names the advice that they need."""

import collections
from collections.abc import Collection, Sequence
import logging
from typing import Any

from twisted.internet import defer

from azurevane._internal.models import runner_messages as messages
from azurevane._internal.platform import advice_calls
from azurevane._internal.platform import runner_calls
from azurevane._internal.scheduler import advice_book
from azurevane._internal.scheduler import advice_queue
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import runner_link
from azurevane._internal.scheduler import start_limiter
from azurevane._internal.scheduler import starts_without_ticket

logger = logging.getLogger(__name__)


class CommandSender:
    """Keeps a link to each known runner and sends commands over it.

    Args:
        advice: queue of this host's calls to the advisor, or None if there
            is no advisor.
        lease_s: length of the runners' leases.
    """

    def __init__(
        self,
        reactor: Any,
        leader: runner_link.Leader,
        calls: runner_calls.RunnerCalls,
        advice: advice_queue.AdviceQueue | None,
        limiter: start_limiter.StartLimiter,
        lease_s: float,
    ) -> None:
        self._reactor = reactor
        self._leader = leader
        self._scheduler_state = leader.scheduler_state
        self._calls = calls
        self._advice = advice
        self._lease_s = lease_s
        self._link_by_id: dict[str, runner_link.RunnerLink] = {}
        self._start_limiter = limiter
        self._starts_without_ticket = (
            starts_without_ticket.StartsWithoutTicket(self._scheduler_state)
        )
        self._unsent_starts: collections.deque[commands.StartCommand] = (
            collections.deque()
        )
        self._sending_starts = False

    def stop(self) -> None:
        """Stop all links; nothing is sent any more."""
        if self._advice is not None:
            self._advice.release(self)
        for link in self._link_by_id.values():
            link.stop()

    def update_links(self) -> None:
        """Start links to new runners and stop those to removed runners.

        Starts that wait for a ticket are given up where their runner closed.
        """
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
        for command in self._starts_without_ticket.take_if(
            self._runner_closed
        ):
            self._give_up_start(command)

    def send_starts_after(
        self,
        stored: "defer.Deferred[None]",
        starts: Sequence[commands.StartCommand],
    ) -> None:
        """Send start commands once their assignments are stored."""

        def send(_: None) -> None:
            self._unsent_starts.extend(starts)
            self._send_starts()

        # On a change of the leader, the next one starts the tasks.
        stored.addCallbacks(send, lambda _: None)

    @property
    def unsent_start_count(self) -> int:
        """Number of starts that may be sent but aren't yet."""
        return len(self._unsent_starts)

    def _send_starts(self) -> None:
        if self._sending_starts:
            # A start that is given up at once calls this again.
            return
        self._sending_starts = True
        while self._unsent_starts and self._start_limiter.may_send():
            command = self._unsent_starts.popleft()
            self._start_limiter.record_sent()
            background.spawn(self._send_start(command), "start")
        self._sending_starts = False

    async def _send_start(self, command: commands.StartCommand) -> None:
        link = self._link_by_id.get(command.runner_id)
        began_at = self._leader.now()
        try:
            if self._runner_closed(command):
                self._give_up_start(command)
            elif self._ticket_expired(command):
                self._starts_without_ticket.wait_for_ticket(command)
                self.request_advice()
            elif link is not None:
                await link.send_start(command)
        finally:
            took_s = self._leader.now() - began_at
            self._start_limiter.record_outcome(took_s)
            self._send_starts()

    def _runner_closed(self, command: commands.StartCommand) -> bool:
        """Whether its runner was closed while a start waited for the store."""
        runner = self._scheduler_state.runner_by_id.get(command.runner_id)
        if runner is None or command.run.sent_at:
            return False
        return not self._scheduler_state.is_open_for_tasks(runner)

    def _ticket_expired(self, command: commands.StartCommand) -> bool:
        """Whether its ticket expired while a start waited for the store."""
        expired = self._leader.now() >= command.ticket_valid_until
        return expired and not command.run.sent_at

    def _give_up_start(self, command: commands.StartCommand) -> None:
        """Release a run; its gang's other members are stopped."""
        self._leader.runner_events.handle_start_outcome(
            command.run,
            command.message.attempt,
            command.runner_id,
            messages.StartOutcome.NOT_SENT,
            self._leader.now(),
        )
        self._leader.request_planning()

    def send_command(self, command: commands.Command) -> None:
        """Send a command that doesn't wait for anything to be stored."""
        link = self._link_by_id.get(command.runner_id)
        if link is None:
            return
        if isinstance(command, commands.StopCommand):
            background.spawn(link.send_stop(command), "stop")
        elif isinstance(command, commands.PaceCommand):
            background.spawn(link.send_pace(command), "pace")

    # Called by the queue of calls to the advisor.

    def request_advice(self) -> None:
        """Send the next request for advice as soon as one may be sent."""
        if self._advice is not None:
            self._advice.serve(self)

    def next_advice_request(
        self, excluded_steps: Collection[str]
    ) -> advice_book.AdviceRequest | None:
        """Return the request for advice to send next, if there is any."""
        return self._scheduler_state.advice.next_request(excluded_steps)

    def handle_advice(
        self,
        request: advice_book.AdviceRequest,
        advice: advice_calls.Advice,
    ) -> None:
        """Use the advisor's answer to a request."""
        self._scheduler_state.advice.record_answer(
            request,
            advice.ticket_by_runner,
            advice.valid_s or request.times.ticket_validity_s,
            self._leader.now(),
        )
        ready, refused = self._starts_without_ticket.take_answered(
            request, self._leader.now()
        )
        for command in refused:
            self._give_up_start(command)
        self._unsent_starts.extend(ready)
        self._send_starts()
        self._scheduler_state.request_service_plan(request.service)
        self._leader.request_planning()
