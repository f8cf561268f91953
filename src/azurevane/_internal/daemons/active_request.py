"""A request that an entry process has admitted and not yet finished."""

import dataclasses
from typing import Any

from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.tasks import answer_cache
from azurevane._internal.upstreams import answers


@dataclasses.dataclass(eq=False, slots=True)
class ActiveRequest:
    """State of one admitted request.

    Attributes:
        submission: the latest submission; a retry gets a new id.
        path: path and query that the runner is asked for.
        digest: identifies the request's content; empty if the request
            needs no claim.
        attempts: number of attempts that were begun.
        running: whether an attempt holds a slot.
        may_have_run: whether any attempt may have run.
        claim_seq: number of the open claim; None without one.
        answer_status: HTTP status of the runner's whole answer, once
            there is one.
        cached_answer: that answer, kept for repeats of the request.
        relay: relays the runner's answer, once there is one.
        deadline_call: timer that answers the caller at the deadline.
        last_failure: how the latest attempt failed; None if it didn't.
    """

    exchange: exchange_module.CallerRequest
    submission: request_models.Submission
    queue: manifest_models.Queue
    path: str
    digest: str = ""
    attempts: int = 0
    running: bool = False
    may_have_run: bool = False
    claim_seq: int | None = None
    answer_status: int | None = None
    cached_answer: answer_cache.CachedAnswer | None = None
    relay: answers.AnswerRelay | None = None
    deadline_call: Any = None
    last_failure: verdict_models.Failure | None = None

    @property
    def verdict(self) -> verdict_models.Verdict:
        """Whether the request may have run, judged by all attempts so far."""
        if self.may_have_run or self.running:
            return verdict_models.Verdict.MAY_HAVE_RUN
        return verdict_models.Verdict.NOT_RUN
