"""Decides whether and when a failed request is retried."""

import dataclasses

from azurevane._internal.models import verdict as verdict_models

MAX_ATTEMPTS = 3
BASE_DELAY_S = 0.025
MAX_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A request whose last attempt has failed.

    Attributes:
        number: number of attempts made, from 1.
        repeatable: whether the whole request can be sent again.
        deadline: monotonic seconds.
        expected_run_s: time that another attempt is expected to take.
    """

    number: int
    failure: verdict_models.Failure
    idempotent: bool
    repeatable: bool
    deadline: float
    expected_run_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to retry, and why or why not.

    Attributes:
        not_before: monotonic seconds of the retry; None for no retry.
    """

    not_before: float | None
    reason: str


def decide_retry(
    now: float, attempt: FailedAttempt, budget_left: int, random: float
) -> RetryDecision:
    """Decide whether to retry after a failed attempt.

    Args:
        budget_left: number of retries that the retry budget allows now.
        random: random number from 0 to 1, for the jitter.
    """
    not_run = attempt.failure.verdict is verdict_models.Verdict.NOT_RUN
    if not (not_run or attempt.idempotent):
        return RetryDecision(None, "may-have-run")
    if not attempt.repeatable:
        return RetryDecision(None, "body-not-kept")
    if attempt.number >= MAX_ATTEMPTS:
        return RetryDecision(None, "attempts-used")
    # The whole delay is random, so that requests that failed together aren't
    # retried together.
    max_delay_s = min(BASE_DELAY_S * 2 ** (attempt.number - 1), MAX_DELAY_S)
    not_before = now + max_delay_s * random
    if not_before + attempt.expected_run_s >= attempt.deadline:
        return RetryDecision(None, "deadline")
    if budget_left < 1:
        return RetryDecision(None, "budget-used")
    return RetryDecision(not_before, "granted")
