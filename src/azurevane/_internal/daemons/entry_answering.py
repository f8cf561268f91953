"""Answers callers: refusals, failures and runners' answers."""

import logging

from azurevane._internal.daemons import active_request
from azurevane._internal.events import catalogue
from azurevane._internal.events import request_events
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.upstreams import answers

logger = logging.getLogger(__name__)

_STATUS_BY_REASON = {"time-out": 504}


def refuse(
    active: active_request.ActiveRequest, refusal: request_models.Refusal
) -> None:
    """Answer with a refusal whose verdict covers every attempt."""
    verdict = refusal.verdict
    if verdict is verdict_models.Verdict.NOT_RUN:
        verdict = active.verdict
    log_refusal(refusal, verdict)
    active.exchange.refuse(
        request_models.Refusal(
            refusal.submission_id,
            refusal.status,
            refusal.problem,
            refusal.detail,
            verdict,
            refusal.retry_after_s,
        )
    )


def log_refusal(
    refusal: request_models.Refusal, verdict: verdict_models.Verdict
) -> None:
    """Log a refusal; it holds neither a key nor a body."""
    catalogue.emit(
        logger,
        request_events.RequestRefused(
            refusal.submission_id,
            refusal.status,
            refusal.problem,
            verdict.value,
            refusal.detail,
        ),
    )


def build_failure_refusal(
    active: active_request.ActiveRequest, failure: verdict_models.Failure
) -> request_models.Refusal:
    """Return what a caller is told about a failed last attempt."""
    not_run = active.verdict is verdict_models.Verdict.NOT_RUN
    return request_models.Refusal(
        active.submission.submission_id,
        503 if not_run else _STATUS_BY_REASON.get(failure.reason, 502),
        failure.reason,
        "The runner gave no whole answer",
        active.verdict,
        1.0 if not_run else None,
    )


def build_deadline_refusal(
    active: active_request.ActiveRequest,
) -> request_models.Refusal:
    """Return what a caller is told when its deadline passes."""
    return request_models.Refusal(
        active.submission.submission_id,
        504,
        "deadline-passed",
        "The deadline passed before the whole answer was there",
        active.verdict,
    )


class CallerSink:
    """Passes an answer on to its caller, from its first byte on.

    Nothing is written before the first byte of the body, so that a
    failure up to there is still reported whole.
    """

    def __init__(
        self,
        active: active_request.ActiveRequest,
        answer: answers.RunnerAnswer,
    ) -> None:
        self._exchange = active.exchange
        self._answer = answer

    def registerProducer(  # noqa: N802 (name of the interface)
        self, producer: object, streaming: bool
    ) -> None:
        """Let the caller's connection pause the runner's."""
        if not self._exchange.answered:
            self._exchange.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Note that the runner's answer has ended."""
        if not self._exchange.answered:
            self._exchange.unregisterProducer()

    def write(self, data: bytes) -> None:
        """Pass on a part of the body, unless nobody waits for it."""
        if self._exchange.answered:
            return
        self._start()
        self._exchange.write(data)

    def _start(self) -> None:
        if self._exchange.streaming:
            return
        self._exchange.start_answer(
            self._answer.status,
            self._answer.phrase,
            self._answer.headers,
            self._answer.length,
        )
        if self._answer.failure is not None:
            self._exchange.setHeader(
                b"Azurevane-Verdict",
                self._answer.failure.verdict.value.encode(),
            )

    def end(self) -> None:
        """End an answer that has arrived whole."""
        if not self._exchange.answered:
            self._start()
            self._exchange.end_answer()
