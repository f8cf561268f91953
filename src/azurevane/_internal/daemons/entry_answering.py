"""Answers callers: refusals, failures and runners' answers."""

import logging

from twisted.web import http_headers

from azurevane._internal.daemons import active_request
from azurevane._internal.events import catalogue
from azurevane._internal.events import request_events
from azurevane._internal.models import claim_messages
from azurevane._internal.models import claim_records
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.tasks import answer_cache
from azurevane._internal.upstreams import answers

logger = logging.getLogger(__name__)

_STATUS_BY_REASON = {"time-out": 504, "internal-error": 500}
_Outcome = claim_records.Outcome
# Refusals of requests whose claim isn't the first: status, problem type,
# verdict on the request with this id, detail and Retry-After in seconds.
_REPEAT_REFUSAL_BY_OUTCOME = {
    _Outcome.REFUSED: (
        503,
        "claim-unavailable",
        verdict_models.Verdict.NOT_RUN,
        "The request id can't be claimed now; this request wasn't run, and"
        " the outcome of an earlier one with the same id is unknown",
        1.0,
    ),
    _Outcome.MISMATCH: (
        422,
        "digest-mismatch",
        verdict_models.Verdict.NOT_RUN,
        "Another request was sent under the same Idempotency-Key",
        None,
    ),
    _Outcome.RUNNING: (
        409,
        "request-running",
        verdict_models.Verdict.MAY_HAVE_RUN,
        "A request with this Idempotency-Key is running",
        1.0,
    ),
    _Outcome.MAY_HAVE_RUN: (
        409,
        "request-may-have-run",
        verdict_models.Verdict.MAY_HAVE_RUN,
        "A request with this Idempotency-Key may have run",
        None,
    ),
    _Outcome.RAN: (
        409,
        "request-ran",
        verdict_models.Verdict.RAN,
        "A request with this Idempotency-Key ran; its answer isn't kept",
        None,
    ),
}


def refuse_request(
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
    """Log a refusal, which holds neither a key nor a body."""
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
    """Build the refusal that follows a failed last attempt."""
    not_run = active.verdict is verdict_models.Verdict.NOT_RUN
    return request_models.Refusal(
        active.submission.submission_id,
        503 if not_run else _STATUS_BY_REASON.get(failure.reason, 502),
        failure.reason,
        "The runner gave no whole answer",
        active.verdict,
        1.0 if not_run else None,
    )


def build_stale_refusal(submission_id: str) -> request_models.Refusal:
    """Build the refusal sent while the configuration may be outdated."""
    return request_models.Refusal(
        submission_id,
        503,
        "not-fresh",
        "This entry host can't confirm its configuration",
        retry_after_s=1.0,
    )


def build_deadline_refusal(
    active: active_request.ActiveRequest,
) -> request_models.Refusal:
    """Build the refusal sent when the deadline of a request passes."""
    return request_models.Refusal(
        active.submission.submission_id,
        504,
        "deadline-passed",
        "The deadline passed before the whole answer was there",
        active.verdict,
    )


def answer_repeat(
    active: active_request.ActiveRequest, decided: claim_records.ClaimDecided
) -> None:
    """Answer a request whose claim isn't the first."""
    if active.exchange.answered:
        return
    if decided.answer is not None:
        _replay_answer(active, decided.answer)
        return
    status, problem, verdict, detail, retry_after_s = (
        _REPEAT_REFUSAL_BY_OUTCOME[decided.outcome]
    )
    refuse_request(
        active,
        request_models.Refusal(
            active.submission.submission_id,
            status,
            problem,
            detail,
            verdict,
            retry_after_s,
        ),
    )


def _replay_answer(
    active: active_request.ActiveRequest, answer: claim_messages.AnswerReply
) -> None:
    headers = http_headers.Headers()
    for header in answer.headers:
        headers.addRawHeader(header.name, header.value)
    active.exchange.start_answer(
        answer.status, None, headers, len(answer.body)
    )
    active.exchange.setHeader(b"Azurevane-Verdict", b"ran")
    active.exchange.write(answer.body)
    active.exchange.end_answer()


class CallerSink:
    """Relays a runner's answer to its caller.

    Nothing is written before the first byte of the body, so that a
    failure until then can still be answered with a problem document.
    """

    def __init__(
        self,
        active: active_request.ActiveRequest,
        answer: answers.RunnerAnswer,
    ) -> None:
        self._active = active
        self._exchange = active.exchange
        self._answer = answer
        # Body of the answer to a claimed request, kept for repeats even
        # after the caller has disconnected; None if it is too large.
        self._cached_chunks: list[bytes] | None = None
        if active.claim_seq is not None:
            self._cached_chunks = []
        self._cached_bytes = 0

    def registerProducer(  # noqa: N802 (name of the interface)
        self, producer: object, streaming: bool
    ) -> None:
        """Let the caller's connection pause the runner's connection."""
        if not self._exchange.answered:
            self._exchange.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Stop the flow control when the runner's answer has ended."""
        if not self._exchange.answered:
            self._exchange.unregisterProducer()

    def write(self, data: bytes) -> None:
        """Pass on a chunk of the body, unless the caller needs no more."""
        self._cache_data(data)
        if self._exchange.answered:
            return
        self._start_answer()
        self._exchange.write(data)

    def _cache_data(self, data: bytes) -> None:
        if self._cached_chunks is None:
            return
        self._cached_bytes += len(data)
        if self._cached_bytes > answer_cache.MAX_BODY_BYTES:
            self._cached_chunks = None
        else:
            self._cached_chunks.append(data)

    def _start_answer(self) -> None:
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

    def finish_answer(self) -> None:
        """Finish an answer that has arrived whole."""
        if self._answer.failure is None:
            self._active.answer_status = self._answer.status
        if self._cached_chunks is not None:
            self._active.cached_answer = answer_cache.CachedAnswer(
                self._answer.status,
                tuple(
                    claim_messages.Header(
                        name.decode("latin-1"), value.decode("latin-1")
                    )
                    for name, values in self._answer.headers.getAllRawHeaders()
                    for value in values
                ),
                b"".join(self._cached_chunks),
            )
        if not self._exchange.answered:
            self._start_answer()
            self._exchange.end_answer()
