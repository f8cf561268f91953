"""Decides whether a request may be queued."""

import hashlib

from returns import pipeline
from returns import result

from azurevane._internal.callers import authentication
from azurevane._internal.callers import body as body_module
from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.callers import heads
from azurevane._internal.daemons import active_request
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models

_AdmissionResult = result.Result[
    active_request.ActiveRequest, request_models.Refusal
]


def admit_request(
    now: float,
    state: fleet.FleetState,
    submission_id: str,
    exchange: exchange_module.CallerRequest,
) -> _AdmissionResult:
    """Return the request ready to be queued, or its refusal.

    None of the body has been read yet, so a refusal is cheap.

    Args:
        now: monotonic seconds.
    """
    head = exchange.head
    queue_name, path = split_path(head.path)
    queue = (
        state.manifest.queue_by_name.get(queue_name)
        if state.manifest is not None
        else None
    )
    if queue is None:
        return _refuse_admission(
            submission_id, 404, "unknown-queue", "There is no such queue"
        )
    team = authentication.authorize_caller(state, queue, head.headers)
    if not pipeline.is_successful(team):
        denied = team.failure()
        return _refuse_admission(
            submission_id, denied.status, denied.problem, denied.detail
        )
    refused = _check_request(submission_id, head, queue, team.unwrap())
    if refused is not None:
        return result.Failure(refused)
    exchange.max_body_bytes = queue.max_body_bytes
    submission = _build_submission(
        now, submission_id, head, queue, team.unwrap()
    )
    digest = ""
    if head.request_id is not None and not submission.idempotent:
        digest = compute_request_digest(head)
    return result.Success(
        active_request.ActiveRequest(exchange, submission, queue, path, digest)
    )


def recheck_request(
    state: fleet.FleetState, active: active_request.ActiveRequest
) -> request_models.Refusal | None:
    """Return the refusal of an admitted request, or None if it may go on.

    The fleet state may have changed while the request waited for its claim
    or for a retry.
    """
    submission = active.submission
    queue = (
        state.manifest.queue_by_name.get(submission.queue)
        if state.manifest is not None
        else None
    )
    if queue is None:
        return request_models.Refusal(
            submission.submission_id,
            404,
            "unknown-queue",
            "There is no such queue any more",
        )
    team = authentication.authorize_caller(
        state, queue, active.exchange.head.headers
    )
    if pipeline.is_successful(team):
        return None
    denied = team.failure()
    return request_models.Refusal(
        submission.submission_id, denied.status, denied.problem, denied.detail
    )


def split_path(path: str) -> tuple[str, str]:
    """Split ``/q/<queue>/<path>`` into the queue and the runner's path."""
    parts = path.split("/", 3)
    if len(parts) < 3 or parts[1] != "q":
        return "", "/"
    name, mark, query = parts[2].partition("?")
    if len(parts) == 3 or mark:
        return name, "/" + path[len("/q/" + name) :].lstrip("/")
    return name, "/" + parts[3]


def compute_request_digest(head: heads.RequestHead) -> str:
    """Return a digest of what a repeat shares with its request."""
    content = f"{head.method} {head.path} {head.length}"
    return hashlib.blake2b(content.encode(), digest_size=12).hexdigest()


def _refuse_admission(
    submission_id: str, status: int, problem: str, detail: str
) -> _AdmissionResult:
    return result.Failure(
        request_models.Refusal(submission_id, status, problem, detail)
    )


def _check_request(
    submission_id: str,
    head: heads.RequestHead,
    queue: manifest_models.Queue,
    team: str,
) -> request_models.Refusal | None:
    if head.length is not None and head.length > queue.max_body_bytes:
        return request_models.Refusal(
            submission_id,
            413,
            "body-too-large",
            f"Queue {queue.name} takes {queue.max_body_bytes} bytes at most",
        )
    if head.request_id is not None and not team:
        # Request ids are scoped to a team. Callers without a key would share
        # one scope, and one could fetch the answer to another's request.
        return request_models.Refusal(
            submission_id,
            400,
            "malformed",
            "Idempotency-Key needs a key that names the team",
        )
    if head.deadline_ms == 0:
        return request_models.Refusal(
            submission_id, 504, "deadline-passed", "The deadline is now"
        )
    return None


def _build_submission(
    now: float,
    submission_id: str,
    head: heads.RequestHead,
    queue: manifest_models.Queue,
    team: str,
) -> request_models.Submission:
    deadline_ms = (
        queue.deadline_ms if head.deadline_ms is None else head.deadline_ms
    )
    api_key = authentication.parse_api_key(head.headers)
    limit_bytes = body_module.REPEATABLE_BODY_LIMIT_BYTES
    return request_models.Submission(
        submission_id,
        queue.name,
        team,
        now,
        now + deadline_ms / 1000,
        head.method in request_models.IDEMPOTENT_METHODS,
        limit_bytes if head.length is None else min(head.length, limit_bytes),
        api_key_digest=fleet.digest_api_key(api_key) if api_key else "",
    )
