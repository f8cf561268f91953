"""A request that an entry process has taken and not yet ended."""

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
    """What the entry process knows of one request.

    Attributes:
        submission: the latest one; a retry is submitted under a new id.
        path: what the runner is asked for.
        digest: identifies the request's content; empty if unclaimed.
        attempts: number of times it was sent, or begun to be sent.
        running: whether an attempt holds a slot.
        may_have_run: whether any attempt may have run.
        claim_seq: number of its claim; None without one.
        ran_status: status of its whole answer, once there is one.
        kept: that answer, for repeats.
        relay: passes the runner's answer on, once there is one.
        deadline_call: answers the caller when its deadline passes.
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
        """Whether the request may have run, for all that is known."""
        if self.may_have_run or self.running:
            return verdict_models.Verdict.MAY_HAVE_RUN
        return verdict_models.Verdict.NOT_RUN
