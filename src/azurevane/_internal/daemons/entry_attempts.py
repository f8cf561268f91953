"""Sends dispatched requests to runners and decides about retries."""

import dataclasses
import random
from typing import Any

from returns import pipeline

from azurevane._internal.daemons import active_request
from azurevane._internal.daemons import entry_answering
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.policy import retry
from azurevane._internal.tasks import retry_budget
from azurevane._internal.upstreams import answers
from azurevane._internal.upstreams import client as upstream_client
from azurevane._internal.upstreams import verdicts

# Reasons of failures whose answer, if any, is of no use to the caller.
_REASONS_NOT_PASSED_ON = frozenset(("runner-refused",))


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    Attributes:
        status: HTTP status of the whole answer; None without one.
        failure: why there is no whole answer, or what its status means.
        passed_on: whether the answer went to the caller.
        retry_at: monotonic seconds; None if there is no retry.
    """

    status: int | None
    failure: verdict_models.Failure | None
    passed_on: bool = False
    retry_at: float | None = None


class AttemptSender:
    """Sends attempts to runners; each lasts until its slot is free."""

    def __init__(
        self,
        reactor: Any,
        runners: upstream_client.RunnerClient,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._runners = runners
        self._rng = rng
        self._retry_budget = retry_budget.RetryBudget()

    async def send_attempt(
        self,
        active: active_request.ActiveRequest,
        dispatch: request_models.Dispatch,
        manifest: manifest_models.Manifest,
    ) -> AttemptResult:
        """Send a request to its runner and relay the answer.

        Returns when the runner is done: the whole answer was read, the
        runner closed the connection, nothing was sent, or the maximum run
        time has passed. The caller may have been answered earlier.
        """
        late = self._reactor.seconds() >= active.submission.deadline
        if (
            late
            or active.exchange.answered
            or not active.exchange.body.repeatable
        ):
            return AttemptResult(None, verdicts.build_failure("not-wanted"))
        active.attempts += 1
        outgoing = upstream_client.OutgoingRequest(
            active.exchange.head.method,
            active.path,
            active.exchange.head.headers,
            active.exchange.body.new_feed(),
            active.submission.team,
            active.submission.idempotent,
            active.submission.deadline,
            lambda: not active.exchange.answered,
        )
        sent = await self._runners.send_request(
            outgoing,
            manifest.runner_by_name[dispatch.runner],
            manifest.entry_seats,
            dispatch.not_after,
        )
        if not pipeline.is_successful(sent):
            return self._handle_failure(active, sent.failure())
        return await self._relay_answer(active, sent.unwrap())

    async def _relay_answer(
        self,
        active: active_request.ActiveRequest,
        answer: answers.RunnerAnswer,
    ) -> AttemptResult:
        if answer.failure is not None:
            failed = self._handle_failure(active, answer.failure)
            if (
                failed.retry_at is not None
                or answer.failure.reason in _REASONS_NOT_PASSED_ON
            ):
                await answer.discard_body()
                return failed
        sink = entry_answering.CallerSink(active, answer)
        active.relay = answers.AnswerRelay(sink)
        if active.exchange.answered:
            active.relay.discard_rest()
        cut = await answer.deliver_body(active.relay)
        if cut is not None:
            return self._handle_failure(active, cut)
        sink.finish_answer()
        if answer.failure is None:
            self._retry_budget.record_success(self._reactor.seconds())
        return AttemptResult(answer.status, answer.failure, True)

    def _handle_failure(
        self,
        active: active_request.ActiveRequest,
        failure: verdict_models.Failure,
    ) -> AttemptResult:
        now = self._reactor.seconds()
        assert verdicts.VERDICT_BY_REASON[failure.reason] is failure.verdict, (
            failure
        )
        if active.exchange.answered or active.exchange.streaming:
            return AttemptResult(None, failure)
        decision = retry.decide_retry(
            now,
            retry.FailedAttempt(
                active.attempts,
                failure,
                active.submission.idempotent,
                active.exchange.body.repeatable,
                active.submission.deadline,
            ),
            self._retry_budget.retries_left(now),
            self._rng.random(),
        )
        if decision.not_before is not None:
            self._retry_budget.record_retry(now)
        return AttemptResult(None, failure, retry_at=decision.not_before)
