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
        size_bytes: memory that it holds while it waits.
        avoid_runner: runner of an earlier try; another one is used if
            the pool has any that takes work.
        api_key_digest: key that it came with; it is refused if the key is
            withdrawn while it waits. Empty on an open queue.
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
        not_after: monotonic seconds; latest end of the run, enforced by
            closing the connection.
        reasons: why this runner, for the log.
    """

    submission_id: str
    runner: str
    not_after: float
    reasons: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Decision to refuse a submission, final and at once.

    Attributes:
        status: HTTP status code.
        problem: last part of the RFC 9457 problem type.
        retry_after_s: seconds after which a new try may succeed.
    """

    submission_id: str
    status: int
    problem: str
    detail: str
    verdict: verdict_models.Verdict = verdict_models.Verdict.NOT_RUN
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """What became of a dispatched submission.

    Attributes:
        started_at: monotonic seconds.
        ended_at: monotonic seconds.
        failure: ``None`` when a whole answer came back.
    """

    submission_id: str
    runner: str
    started_at: float
    ended_at: float
    status: int | None
    failure: verdict_models.Failure | None
