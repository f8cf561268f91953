"""Classifies failures by whether the request may have run."""

from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure as twisted_failure
from twisted.web import client
from twisted.web import http_headers

from azurevane._internal.models import verdict as verdict_models

NOT_RUN_HEADER = "Azurevane-Verdict"

_NOT_RUN = verdict_models.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdict_models.Verdict.MAY_HAVE_RUN

# Verdict for each reason why a runner gives no complete answer.
# docs/callers.md lists the same reasons, and tests/upstreams/verdicts.feature
# covers each of them.
VERDICT_BY_REASON = {
    "connection-refused": _NOT_RUN,
    "connect-time-out": _NOT_RUN,
    "no-connection": _NOT_RUN,
    "closed-before-request": _NOT_RUN,
    "not-wanted": _NOT_RUN,
    "runner-refused": _NOT_RUN,
    "reset-before-answer": _MAY_HAVE_RUN,
    "half-answer": _MAY_HAVE_RUN,
    "malformed-answer": _MAY_HAVE_RUN,
    "answer-without-length": _MAY_HAVE_RUN,
    "unasked-answer": _MAY_HAVE_RUN,
    "request-cut": _MAY_HAVE_RUN,
    "time-out": _MAY_HAVE_RUN,
    "runner-unavailable": _MAY_HAVE_RUN,
}


def build_failure(reason: str, detail: str = "") -> verdict_models.Failure:
    """Return the failure for a reason, with its verdict."""
    return verdict_models.Failure(VERDICT_BY_REASON[reason], reason, detail)


def classify_connect_error(reason: Exception) -> verdict_models.Failure:
    """Return the failure for an error while connecting."""
    timed_out = isinstance(
        reason, error.TimeoutError | defer.TimeoutError | TimeoutError
    )
    return build_failure(
        "connect-time-out" if timed_out else "connection-refused",
        type(reason).__name__,
    )


def classify_answer_error(reason: BaseException) -> verdict_models.Failure:
    """Return the failure for a sent request without a complete answer."""
    if isinstance(reason, defer.TimeoutError | defer.CancelledError):
        return build_failure("time-out")
    if isinstance(reason, client.ResponseNeverReceived):
        return build_failure("reset-before-answer", _describe_causes(reason))
    if isinstance(reason, client.ResponseFailed):
        if any(_is_connection_loss(item) for item in reason.reasons):
            return build_failure("half-answer", _describe_causes(reason))
        return build_failure("malformed-answer", _describe_causes(reason))
    return build_failure("half-answer", type(reason).__name__)


def _is_connection_loss(reason: twisted_failure.Failure) -> bool:
    return bool(reason.check(error.ConnectionDone, error.ConnectionLost))


def _describe_causes(reason: client.ResponseFailed) -> str:
    # Only the types are included: the text of a parse error repeats bytes of
    # the answer, which may contain a caller's data.
    return ",".join(item.type.__name__ for item in reason.reasons)


def classify_status(
    status: int, headers: http_headers.Headers
) -> verdict_models.Failure | None:
    """Return the failure that a status stands for, if any."""
    verdict = headers.getRawHeaders(NOT_RUN_HEADER, [""])[0]
    if status == 503:
        return build_failure(
            "runner-refused" if verdict == "not-run" else "runner-unavailable"
        )
    return None
