"""Raised while a caller's request is handled, to refuse it."""

import dataclasses

from azurevane._internal.models import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused(Exception):
    """Holds the fields of the response that refuses a request.

    Attributes:
        retry_after_s: set if a later retry may succeed.
    """

    status: int
    reason: str
    retry_after_s: int | None = None
    outcome: verdict.Verdict = verdict.Verdict.NOT_RUN
