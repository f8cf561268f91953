"""Sends requests for advice one after the other, as the advisor handles them.

An entry host has one queue for all its terms as the leader, since calls of
an earlier term may still take the advisor's time.
"""

from collections.abc import Collection
import logging
from typing import Any, Protocol

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import verdict
from azurevane._internal.platform import advice_calls
from azurevane._internal.policy import serial_calls
from azurevane._internal.scheduler import advice_book
from azurevane._internal.scheduler import background

logger = logging.getLogger(__name__)

# An open call whose response hasn't arrived by then is given up.
CALL_TIMEOUT_S = 60.0


class AdviceSource(Protocol):
    """A term that needs advice."""

    def next_advice_request(
        self, excluded_steps: Collection[str]
    ) -> advice_book.AdviceRequest | None:
        """Return the request to send next, if there is any."""

    def handle_advice(
        self,
        request: advice_book.AdviceRequest,
        advice: advice_calls.Advice,
    ) -> None:
        """Use the advisor's answer to a request."""


class AdviceQueue:
    """Sends the requests of the term that uses it."""

    def __init__(self, reactor: Any, calls: advice_calls.AdviceCalls) -> None:
        self._reactor = reactor
        self._calls = calls
        self._pacer = serial_calls.SerialCalls()
        self._source: AdviceSource | None = None
        self._step_by_call: dict[int, str] = {}
        self._response_by_call: dict[int, defer.Deferred[Any]] = {}
        self._timer: Any = None

    def serve(self, source: AdviceSource) -> None:
        """Send the requests of a term, and no other's, from now on."""
        self._source = source
        self.wake()

    def release(self, source: AdviceSource) -> None:
        """Send nothing more for a term; its open calls still count."""
        if self._source is source:
            self._source = None

    def wake(self) -> None:
        """Send the next request if one may be sent."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        source = self._source
        if source is None:
            return
        # Another step than those of overdue calls goes first: its answer
        # shows that theirs are lost.
        request = source.next_advice_request(
            set(self._step_by_call.values())
        ) or source.next_advice_request(())
        if request is None:
            return
        pause_s = self._pacer.next_call_at() - self._reactor.seconds()
        if pause_s > 0:
            self._timer = self._reactor.callLater(pause_s, self.wake)
            return
        self._send(source, request)
        self.wake()

    def _send(
        self, source: AdviceSource, request: advice_book.AdviceRequest
    ) -> None:
        self._give_up(self._pacer.take_surplus())
        repeated = self._pacer.open_count > 0
        number = self._pacer.begin(self._reactor.seconds(), request.expected_s)
        self._step_by_call[number] = request.step_name
        response = defer.ensureDeferred(
            self._calls.request_advice(
                request.step_name,
                tuple(request.started_at_by_runner),
                timeout_s=CALL_TIMEOUT_S,
                new_connection=repeated,
            )
        )
        self._response_by_call[number] = response
        background.spawn(
            self._handle_end(number, source, request, response), "advice"
        )

    async def _handle_end(
        self,
        number: int,
        source: AdviceSource,
        request: advice_book.AdviceRequest,
        response: "defer.Deferred[advice_calls.Advice]",
    ) -> None:
        sent_at = self._reactor.seconds()
        advice: advice_calls.Advice | None = None
        outcome = "failed"
        try:
            advice = await response
            outcome = "answered"
        except exceptions.CallFailed as failure:
            if number not in self._response_by_call:
                # Given up, as a later call was answered.
                outcome = "response lost"
            elif failure.verdict is verdict.Verdict.NOT_RUN:
                outcome = "rejected"
            elif failure.timed_out:
                outcome = "no response"
            logger.info(
                "Requesting advice on step %s failed: %s",
                request.step_name,
                failure,
            )
        finally:
            now = self._reactor.seconds()
            self._forget(number)
            if advice is None:
                self._pacer.record_failure(number, now)
            else:
                self._give_up(self._pacer.record_response(number, now))
            catalogue.emit(
                logger,
                events.AdviceCallEnded(
                    request.step_name,
                    len(request.started_at_by_runner),
                    0 if advice is None else len(advice.ticket_by_runner),
                    outcome,
                    round(now - sent_at, 3),
                    round(request.expected_s, 3),
                    self._pacer.open_count,
                ),
            )
            if advice is not None and source is self._source:
                background.run_step(
                    "use advice",
                    lambda: source.handle_advice(request, advice),
                )
            self.wake()

    def _give_up(self, numbers: list[int]) -> None:
        for number in numbers:
            response = self._forget(number)
            if response is not None:
                response.cancel()

    def _forget(self, number: int) -> "defer.Deferred[Any] | None":
        self._step_by_call.pop(number, None)
        return self._response_by_call.pop(number, None)
