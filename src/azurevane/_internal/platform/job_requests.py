"""Decodes callers' requests about jobs and encodes the response bodies."""

from typing import Any

import msgspec

from azurevane import exceptions
from azurevane._internal.models import job as job_models
from azurevane._internal.models import site
from azurevane._internal.platform import capacity as wire_capacity
from azurevane._internal.policy import job_order
from azurevane._internal.utils import json_decoding

# Limit of the platform's protocol.
MAX_SPEC_BYTES = 4000
_JOB_ID_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


# Values beyond this are no times that the platform can meet, and their sums
# and products couldn't be stored.
_MAX_MS = 1e15


class _Phase(msgspec.Struct):
    count: int = 0
    cpu: int = 0
    memory: int = msgspec.field(name="memMb", default=0)
    gpu: int = 0
    estimate_ms: float = msgspec.field(name="estimateMs", default=0.0)
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = msgspec.field(name="sameRack", default=False)
    # A single label, despite the plural.
    requirements: str = ""
    # Rack that holds the data; a preference, not a requirement.
    affinity: str = ""
    # Maximum number of tasks on a runner, not a label to avoid.
    anti_affinity: int = msgspec.field(name="antiAffinity", default=0)
    speculative: bool = False
    long_running: bool = msgspec.field(name="longRunning", default=False)
    image: str = ""
    target_ms: float = msgspec.field(name="targetMs", default=0.0)
    fills: bool = False
    max_unavailable: int | None = msgspec.field(
        name="maxUnavailable", default=None
    )


class _Submission(msgspec.Struct):
    phases: list[_Phase]
    spec: str = ""
    repeats: int = 0
    start_at_ms: float = msgspec.field(name="startAtMs", default=0.0)
    interval_ms: float = msgspec.field(name="intervalMs", default=0.0)


def valid_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id."""
    return len(text) == _JOB_ID_LENGTH and _HEX_DIGITS.issuperset(text)


def decode_job(
    body: bytes,
    *,
    job_id: str,
    queue: site.Queue,
    team: str,
    now: float,
) -> job_models.Job:
    """Return the job that the body of a submission describes.

    Raises:
        JobRejected: the body is malformed, or a field is out of range.
    """
    try:
        submission = json_decoding.decode(body, _Submission)
    except msgspec.MsgspecError as error:
        raise exceptions.JobRejected(f"job {job_id}: {error}") from error
    if not submission.phases:
        raise exceptions.JobRejected(f"job {job_id} has no phases")
    if len(submission.spec.encode()) > MAX_SPEC_BYTES:
        raise exceptions.JobRejected(
            f"job {job_id}: spec is over {MAX_SPEC_BYTES} bytes"
        )
    for index, phase in enumerate(submission.phases):
        _check_phase(job_id, index, phase)
    times = submission.start_at_ms, submission.interval_ms
    if max(map(abs, times)) > _MAX_MS:
        raise exceptions.JobRejected(f"job {job_id}: times are out of range")
    steps = tuple(_decode_step(phase) for phase in submission.phases)
    job = job_models.Job(
        id=job_id,
        queue=queue.name,
        service=queue.service,
        team=team,
        spec=submission.spec,
        steps=steps,
        accepted_at=now,
        repeats=max(submission.repeats, 0),
        first_due_at=submission.start_at_ms / 1000,
        interval_s=submission.interval_ms / 1000,
        priority=queue.priority,
        attempts=queue.attempts,
        objective_s=job_order.objective_s(queue, steps),
        advised=queue.advised,
    )
    if job.task_count > job_models.MAX_TASKS_PER_JOB:
        raise exceptions.JobRejected(
            f"job {job_id} has {job.task_count} tasks in all; at most"
            f" {job_models.MAX_TASKS_PER_JOB} are possible"
        )
    return job


def _check_phase(job_id: str, index: int, phase: _Phase) -> None:
    field_path = f"job {job_id}: phases[{index}]"
    if phase.count < 1:
        raise exceptions.JobRejected(f"{field_path}.count is below 1")
    if min(phase.cpu, phase.memory, phase.gpu) < 0:
        raise exceptions.JobRejected(
            f"{field_path} asks for less than nothing"
        )
    counts = (phase.cpu, phase.memory, phase.gpu, abs(phase.anti_affinity))
    if (
        max(*counts, abs(phase.max_unavailable or 0))
        > wire_capacity.MAX_AMOUNT
    ):
        raise exceptions.JobRejected(f"{field_path} has too large a number")
    if not 0 <= phase.estimate_ms <= _MAX_MS:
        raise exceptions.JobRejected(
            f"{field_path}.estimateMs is out of range"
        )
    if not 0 <= phase.target_ms <= _MAX_MS:
        raise exceptions.JobRejected(f"{field_path}.targetMs is out of range")
    for previous in phase.after:
        if not 0 <= previous < index:
            raise exceptions.JobRejected(
                f"{field_path}.after names phase {previous}, which isn't"
                " earlier"
            )


def _decode_step(phase: _Phase) -> job_models.Step:
    return job_models.Step(
        count=phase.count,
        need=job_models.Capacity(phase.cpu, phase.memory, phase.gpu),
        estimate_s=phase.estimate_ms / 1000,
        after=tuple(sorted(set(phase.after))),
        checkpointing=phase.checkpointing,
        gang=phase.gang,
        same_rack=phase.same_rack,
        required_label=phase.requirements,
        data_rack=phase.affinity,
        max_per_runner=max(phase.anti_affinity, 0),
        speculative=phase.speculative,
        long_running=phase.long_running,
        image=phase.image,
        latency_target_s=phase.target_ms / 1000,
        fills=phase.fills,
        max_unavailable=phase.max_unavailable,
    )


def encode_state(state: str) -> bytes:
    """Return the body of a response with a job's state."""
    return msgspec.json.encode({"state": state})


def encode_pending(count: int) -> bytes:
    """Return the body of a response with a queue's number of pending jobs."""
    return msgspec.json.encode({"pending": count})


def encode_error(text: str) -> bytes:
    """Return the body of an error response."""
    body: dict[str, Any] = {"error": text}
    return msgspec.json.encode(body)
