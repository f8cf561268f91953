"""Encoding of the rows of a job: submission, state, cancellation, refusal."""

import itertools
import string
import zlib

import msgspec

from azurevane._internal.models import job as job_models
from azurevane._internal.platform import store
from azurevane._internal.policy import crash_attribution
from azurevane._internal.scheduler import runs as runs_module
from azurevane._internal.utils import json_decoding

# Submissions are partitioned by the first digit of the job's id, so that no
# partition gets more transactions than it can process.
JOBS_TABLE = "azurevane-jobs"
STATE_TABLE = "azurevane-state"
JOB_PARTITIONS = tuple(string.hexdigits[:16])
# The leader writes its rows in one transaction with the condition on its own
# row, so they share one partition.
LEADER_PARTITION = ""
CANCEL_SUFFIX = "-cancel"
REFUSED_SUFFIX = "-refused"
# Sorts after every suffix of a key.
KEY_END = "~"
_WAVE_PREFIX = "wave/"
# Largest value of a row where the platform's settings don't say.
MAX_ROW_BYTES = 65536
# A row that the store accepts has room for a task in so many bytes, most of
# them for its checkpoint.
MIN_TASK_BYTES = 32
# Fast, as a large state is written each time one of its tasks changes.
_COMPRESSION_LEVEL = 1
# Addresses of crashed runners that are stored with a task; a job may have
# many tasks.
MAX_STORED_ADDRESSES = 2
# About 1 KB for each of the tasks that a job may have.
_MAX_RECORD_BYTES = 1 << 21


class _Task(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    phase: int
    attempt: int
    runner_id: str
    failed_attempts: list[int]
    checkpoint: str


class _RetriedTask(_Task, array_like=True):
    """A task with a higher attempt; rows of other tasks lack this field."""

    last_attempt: int = 0


class _SuspectedTask(_RetriedTask, array_like=True):
    """A task that may have crashed runners, or the first one of its gang."""

    # Earlier versions stored a second run of the task here.
    unused_attempt: int = 0
    unused_runner_id: str = ""
    crashed_attempts: list[int] = []
    uncertain_attempts: list[int] = []
    # Addresses of some of the runners that crashed; earlier versions ignore
    # them.
    crashed_at: list[str] = []


class _Record(msgspec.Struct, array_like=True):
    status: str
    tasks: list[_SuspectedTask]
    # Earlier versions stored the run times of ended jobs here.
    unused_run_times: list[float] = []
    # Earlier versions store running jobs without it.
    begun: bool = True


class _EncodedRecord(msgspec.Struct, array_like=True):
    status: str
    tasks: list[_Task]


class _UnbegunRecord(_EncodedRecord, array_like=True):
    """A running job of which no runner has begun a task yet.

    Earlier versions ignore the last field, and read the job as running.
    """

    # A list, as some of them read one here.
    unused_run_times: list[float] = []
    begun: bool = False


class Refusal(msgspec.Struct, frozen=True):
    """A job that was refused and not stored; times are Unix seconds.

    Attributes:
        first_at: when its caller's first attempt was refused.
        latest_at: the same of the latest attempt.
        count: number of refusals.
        host: entry host of the latest refusal.
    """

    first_at: float
    latest_at: float
    count: int
    host: str

    def waited_s(self, unix_now: float) -> float:
        """Return the time since the first refusal."""
        return max(unix_now - self.first_at, 0.0)


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the value of a refusal's row."""
    return msgspec.json.encode(refusal)


def decode_refusal(value: bytes) -> Refusal:
    """Return the refusal that a row holds.

    Raises:
        msgspec.MsgspecError: the value can't be decoded.
    """
    return json_decoding.decode(value, Refusal)


def job_partition(job_id: str) -> str:
    """Return the partition that holds a job's submission."""
    return job_id[0].lower()


def state_ranges() -> list[store.RowRange]:
    """Return ranges that together hold all rows of ``STATE_TABLE``."""
    bounds = ["", *JOB_PARTITIONS[1:], ""]
    return [
        store.RowRange(STATE_TABLE, LEADER_PARTITION, first, end)
        for first, end in itertools.pairwise(bounds)
    ]


def wave_key(number: int) -> str:
    """Return the key of the row that holds a wave's progress."""
    return f"{_WAVE_PREFIX}{number}"


def wave_number(key: str) -> int | None:
    """Return the number of the wave whose progress a row holds, or None."""
    text = key.removeprefix(_WAVE_PREFIX)
    if text == key or not text.isascii() or not text.isdecimal():
        return None
    return int(text)


def encode_job(job: job_models.Job) -> bytes:
    """Return the value of a submission's row."""
    return msgspec.json.encode(job)


def decode_job(value: bytes) -> job_models.Job:
    """Return the job that a row holds.

    Raises:
        msgspec.MsgspecError: the value can't be decoded.
    """
    return json_decoding.decode(value, job_models.Job)


def encode_state(
    state: runs_module.JobState, max_bytes: int = MAX_ROW_BYTES
) -> bytes:
    """Return the value of the row of a job's state.

    The store rejects a larger row, and with it all rows of its transaction.
    So a job of many tasks is compressed, and its tasks lose their checkpoints
    if that isn't enough.
    """
    tasks = []
    if not state.status.ended or state.runs_occupying_capacity():
        tasks = [
            _encode_task(run) for run in state.all_runs() if run.last_attempt
        ]
    begun = state.begun or state.status is not runs_module.JobStatus.RUNNING
    record_type = _EncodedRecord if begun else _UnbegunRecord
    record = record_type(state.status.value, tasks)
    value = msgspec.json.encode(record)
    if len(value) <= max_bytes:
        return value
    value = zlib.compress(value, _COMPRESSION_LEVEL)
    if len(value) <= max_bytes:
        return value
    for task in tasks:
        task.checkpoint = ""
    return zlib.compress(msgspec.json.encode(record), _COMPRESSION_LEVEL)


def _decode_record(value: bytes) -> _Record:
    if not value.startswith(b"["):
        try:
            # No row is larger, however much smaller it was when stored.
            value = zlib.decompressobj().decompress(value, _MAX_RECORD_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from error
    return json_decoding.decode(value, _Record)


def _encode_task(run: runs_module.Run) -> _Task:
    fields = (
        run.name.occurrence,
        run.name.step,
        run.name.index,
        int(run.phase),
        run.attempt,
        run.runner_id,
        sorted(run.failed_attempts),
        run.checkpoint,
    )
    history = run.job.crash_history(run)
    if run.last_attempt == run.attempt and not history.suspected:
        return _Task(*fields)
    if not history.suspected:
        return _RetriedTask(*fields, run.last_attempt)
    return _SuspectedTask(
        *fields,
        run.last_attempt,
        0,
        "",
        sorted(history.attempts),
        sorted(history.uncertain_attempts),
        sorted(run.crashed_at)[:MAX_STORED_ADDRESSES],
    )


def decode_status(value: bytes) -> runs_module.JobStatus:
    """Return the job's status from the value of its state row.

    A job is queued until a runner has begun one of its tasks.
    """
    record = _decode_record(value)
    status = runs_module.JobStatus(record.status)
    if status is runs_module.JobStatus.RUNNING and not record.begun:
        return runs_module.JobStatus.QUEUED
    return status


def restore_state(state: runs_module.JobState, value: bytes) -> None:
    """Restore a job's state from the value of its state row.

    A run that had been started is marked as inherited, since only its runner
    knows whether it began.
    """
    record = _decode_record(value)
    state.status = runs_module.JobStatus(record.status)
    state.begun = (
        record.begun and state.status is not runs_module.JobStatus.QUEUED
    )
    for task in record.tasks:
        run = state.find_run(
            job_models.TaskName(
                state.job.id, task.occurrence, task.step, task.index
            )
        )
        if run is None:
            continue
        run.attempt = task.attempt
        run.last_attempt = max(task.attempt, task.last_attempt)
        run.failed_attempts = set(task.failed_attempts)
        run.checkpoint = task.checkpoint
        history = crash_attribution.CrashHistory(
            frozenset(task.crashed_attempts),
            frozenset(task.uncertain_attempts),
        )
        if history.suspected:
            state.set_crash_history(run, history)
            run.crashed_at = set(task.crashed_at)
        phase = runs_module.Phase(task.phase)
        if phase is runs_module.Phase.DONE:
            run.finish()
            state.record_task_done((task.occurrence, task.step))
        elif phase is not runs_module.Phase.WAITING:
            run.assign(task.runner_id, task.attempt)
            run.inherited = True
