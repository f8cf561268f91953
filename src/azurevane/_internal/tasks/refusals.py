"""Refusals of submissions, for reasons other than admission control."""

from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models
from azurevane._internal.policy import queueing

UNKNOWN_QUEUE = queueing.RefusalReason(
    404, "unknown-queue", "There is no such queue"
)
KEY_WITHDRAWN = queueing.RefusalReason(
    401, "unauthorized", "The key was withdrawn while the request waited"
)
TEAM_NOT_ALLOWED = queueing.RefusalReason(
    403, "forbidden", "The team may no longer use the queue"
)
DEADLINE_TOO_NEAR = queueing.RefusalReason(
    503,
    "pool-full",
    "No slot was free in time to run before the deadline",
    1.0,
)
QUEUE_WAIT_TOO_LONG = queueing.RefusalReason(
    503,
    "pool-full",
    "What waits ahead takes longer than the deadline allows",
    1.0,
)


def find_refusal_reason(
    item: request_models.Submission,
    state: fleet.FleetState,
    manifest: manifest_models.Manifest,
) -> queueing.RefusalReason | None:
    """Return why a fleet state no longer allows a submission, if so."""
    queue = manifest.queue_by_name.get(item.queue)
    if queue is None:
        return UNKNOWN_QUEUE
    digest = item.api_key_digest
    if digest and state.team_by_digest.get(digest) != item.team:
        return KEY_WITHDRAWN
    if queue.teams and item.team not in queue.teams:
        return TEAM_NOT_ALLOWED
    return None


def build_refusal(
    item: request_models.Submission, reason: queueing.RefusalReason
) -> request_models.Refusal:
    """Build the refusal of a submission that hasn't run."""
    return request_models.Refusal(
        item.submission_id,
        reason.status,
        reason.problem,
        reason.detail,
        retry_after_s=reason.retry_after_s,
    )


def build_late_refusal(
    now: float, item: request_models.Submission
) -> request_models.Refusal:
    """Build the refusal of a submission that can't end in time."""
    if item.deadline <= now:
        return build_refusal(item, queueing.DEADLINE_PASSED)
    return build_refusal(item, DEADLINE_TOO_NEAR)
