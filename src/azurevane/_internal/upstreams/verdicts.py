"""Decide from a failure whether a request may have run."""

from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers

from azurevane._internal.models import verdict as verdict_models

NOT_RUN_HEADER = "Azurevane-Verdict"


def classify_error(reason: Exception) -> verdict_models.Failure:
    """Return the verdict on a request that got no whole answer."""
    if isinstance(reason, error.ConnectError):
        return verdict_models.Failure(
            verdict_models.Verdict.NOT_RUN, "connection-refused"
        )
    if isinstance(reason, client.RequestNotSent):
        return verdict_models.Failure(
            verdict_models.Verdict.NOT_RUN, "not-sent"
        )
    return verdict_models.Failure(
        verdict_models.Verdict.MAY_HAVE_RUN, "no-whole-answer"
    )


def classify_status(
    status: int, headers: http_headers.Headers
) -> verdict_models.Failure | None:
    """Return the failure that a status stands for, if any."""
    promise = headers.getRawHeaders(NOT_RUN_HEADER, [""])[0]
    if status == 503 and promise == "not-run":
        return verdict_models.Failure(
            verdict_models.Verdict.NOT_RUN, "runner-refused"
        )
    return None
