"""Requests of callers, as the dispatcher sees them."""

import dataclasses

from azurevane._internal.models import verdict as verdict_models

IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A request that asks for a slot.

    Attributes:
        submission_id: unique in this entry process.
        team: name of the team; empty on an open queue without a key.
        arrived_at: monotonic seconds.
        deadline: monotonic seconds.
        idempotent: whether it may be run again after it may have run.
        size_bytes: memory that it uses while it waits.
        avoid_runner: runner of the previous attempt; it is used only if no
            other runner of the pool takes work. Empty for a first attempt.
        api_key_digest: digest of the API key that it was sent with; it is
            refused if the key is withdrawn while it waits. Empty on an
            open queue.
    """

    submission_id: str
    queue: str
    team: str
    arrived_at: float
    deadline: float
    idempotent: bool
    size_bytes: int = 0
    avoid_runner: str = ""
    api_key_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Decision to send a submission to a runner now.

    Attributes:
        not_after: monotonic seconds by which the run must have ended;
            enforced by closing the connection.
        reasons: why this runner was chosen, for the log.
    """

    submission_id: str
    runner: str
    not_after: float
    reasons: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Final decision to refuse a submission.

    Attributes:
        status: HTTP status code.
        problem: last part of the RFC 9457 problem type.
        retry_after_s: seconds after which a retry may succeed.
    """

    submission_id: str
    status: int
    problem: str
    detail: str
    verdict: verdict_models.Verdict = verdict_models.Verdict.NOT_RUN
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Outcome of a dispatched submission.

    Attributes:
        started_at: monotonic seconds.
        ended_at: monotonic seconds.
        failure: None if a complete answer was received.
    """

    submission_id: str
    runner: str
    started_at: float
    ended_at: float
    status: int | None
    failure: verdict_models.Failure | None
