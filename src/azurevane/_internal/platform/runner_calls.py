"""Calls to runners: start, stop and pace tasks, poll for reports."""

import dataclasses
from typing import Any, TypeGuard

import msgspec

from azurevane import exceptions
from azurevane._internal.models import job as job_models
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.models import verdict
from azurevane._internal.platform import addresses
from azurevane._internal.platform import http_client
from azurevane._internal.utils import json_decoding

# Commands that a runner gets at a time, beside the poll that waits for an
# end. Each needs a connection, and many tasks may start on it at once; those
# that a runner leaves unanswered must not hold up the others.
MAX_PARALLEL_COMMANDS = 8
# Ended runs that a runner lists at a time; the others follow once these are
# acknowledged.
MAX_LISTED_ENDS = 500
# A longer checkpoint isn't kept, and its task starts anew without it: those of
# all tasks of a job share the row of its state.
MAX_CHECKPOINT_CHARS = 200
# Numbers beyond those that JSON represents exactly are no counts.
_MAX_NUMBER = 1 << 53

_OUTCOME_BY_REASON = {
    "fence": messages.StartOutcome.FENCED,
    "old": messages.StartOutcome.OLD_ATTEMPT,
    "late": messages.StartOutcome.LEASE_EXPIRED,
    "room": messages.StartOutcome.NO_CAPACITY,
    "ticket": messages.StartOutcome.BAD_TICKET,
}


class _Answer(msgspec.Struct):
    """Body of a response; each kind of request uses only some fields."""

    clock_ms: float | None = msgspec.field(name="clockMs", default=None)
    # Why the runner rejected the command.
    reason: str = ""
    # Unix milliseconds of the runner's start.
    born: int | None = None
    running: list[Any] = []
    # Ended runs that aren't acknowledged yet, not all that ever ended.
    finished: list[Any] = []


@dataclasses.dataclass(frozen=True, slots=True)
class StartResult:
    """Outcome of a start command, and the clock of a runner that responded."""

    outcome: messages.StartOutcome
    clock_s: float | None = None


class RunnerFenced(exceptions.AzurevaneError):
    """Raised when a runner has accepted a higher fencing token."""


class RunnerMismatch(exceptions.AzurevaneError):
    """Raised when the address now belongs to another runner."""


class RunnerCalls:
    """Sends commands to runners under one fencing token."""

    def __init__(
        self, client: http_client.HttpClient, fencing_token: int
    ) -> None:
        self._client = client
        self._fencing_token = fencing_token

    async def start_task(
        self,
        runner_id: str,
        address: str,
        command: messages.StartTask,
        lease_until_s: float,
        *,
        timeout_s: float,
        send_before: float,
    ) -> StartResult:
        """Start a run; the outcome says whether it may have begun.

        Args:
            lease_until_s: end of the lease, on the runner's clock.
            timeout_s: time after which the outcome is unknown.
            send_before: monotonic time from which the command isn't sent.
        """
        body = {
            "task": str(command.task),
            "attempt": command.attempt,
            "spec": command.spec,
            "expiresMs": round(lease_until_s * 1000),
            "fencingToken": self._fencing_token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        try:
            status, answer = await self._send_request(
                runner_id,
                address,
                "run-start",
                body,
                timeout_s=timeout_s,
                send_before=send_before,
            )
        except exceptions.CallFailed as failure:
            if failure.verdict is verdict.Verdict.NOT_RUN:
                return StartResult(messages.StartOutcome.NOT_SENT)
            return StartResult(messages.StartOutcome.UNKNOWN)
        except RunnerMismatch:
            return StartResult(messages.StartOutcome.RUNNER_MISMATCH)
        return StartResult(_start_outcome(status, answer), _clock_s(answer))

    async def stop_task(
        self,
        runner_id: str,
        address: str,
        task: job_models.TaskName,
        attempt: int,
        *,
        timeout_s: float,
        send_before: float,
    ) -> bool:
        """Stop a run, or keep it from starting if it hasn't begun.

        Args:
            timeout_s: time from the call to the end of the response.
            send_before: monotonic time from which the command isn't sent.

        Returns:
            Whether the runner accepted the command.

        Raises:
            CallFailed: no usable response.
            RunnerFenced: the runner has accepted a higher fencing token.
            RunnerMismatch: another runner answered.
        """
        body = {
            "task": str(task),
            "attempt": attempt,
            "fencingToken": self._fencing_token,
        }
        status, answer = await self._send_request(
            runner_id,
            address,
            "run-stop",
            body,
            timeout_s=timeout_s,
            send_before=send_before,
        )
        if answer.reason == "fence":
            raise RunnerFenced(
                f"runner {runner_id} rejected an outdated fencing token"
            )
        return status == 200

    async def poll(
        self,
        runner_id: str,
        address: str,
        *,
        last_seen: int,
        lease_until_s: float | None,
        wait_s: float,
        timeout_s: float,
    ) -> messages.RunnerReport:
        """Renew the lease, acknowledge ended runs and return the report.

        This is a long poll: the runner responds once its report has an
        ended run or the wait is over.

        Args:
            last_seen: highest number of an ended run that is stored.
            lease_until_s: new end of the lease, on the runner's clock;
                None to leave the lease as it is.
            wait_s: longest time to wait for a run to end.
            timeout_s: time that the response may take beyond that.

        Raises:
            CallFailed: no usable response.
            RunnerFenced: the runner has accepted a higher fencing token.
            RunnerMismatch: another runner answered.
        """
        body: dict[str, Any] = {
            "fencingToken": self._fencing_token,
            "lastSeen": last_seen,
            "waitMs": round(wait_s * 1000),
        }
        if lease_until_s is not None:
            body["expiresMs"] = round(lease_until_s * 1000)
        status, answer = await self._send_request(
            runner_id,
            address,
            "hold",
            body,
            timeout_s=timeout_s + wait_s,
            max_parallel=0,
        )
        if answer.reason == "fence":
            raise RunnerFenced(
                f"runner {runner_id} rejected an outdated fencing token"
            )
        if status != 200 or not _is_time(answer.clock_ms):
            raise exceptions.CallFailed(
                f"polling runner {runner_id}: HTTP {status}",
                verdict.Verdict.NOT_RUN,
            )
        return _build_report(answer)

    async def pace_task(
        self,
        runner_id: str,
        address: str,
        task: job_models.TaskName,
        attempt: int,
        percent: int,
        *,
        timeout_s: float,
        send_before: float,
    ) -> bool:
        """Limit a run to a percentage of its full speed.

        Args:
            timeout_s: time from the call to the end of the response.
            send_before: monotonic time from which the command isn't sent.

        Returns:
            Whether the runner accepted the command.

        Raises:
            CallFailed: no usable response.
            RunnerMismatch: another runner answered.
        """
        body = {
            "task": str(task),
            "attempt": attempt,
            "percent": percent,
            "fencingToken": self._fencing_token,
        }
        status, _ = await self._send_request(
            runner_id,
            address,
            "pace",
            body,
            timeout_s=timeout_s,
            send_before=send_before,
        )
        return status == 200

    async def _send_request(
        self,
        runner_id: str,
        address: str,
        name: str,
        body: dict[str, Any],
        *,
        timeout_s: float,
        max_parallel: int = MAX_PARALLEL_COMMANDS,
        send_before: float | None = None,
    ) -> tuple[int, _Answer]:
        response = await self._client.call(
            addresses.parse_address(address),
            b"POST",
            f"/azurevane/{name}",
            body,
            timeout_s=timeout_s,
            headers={"X-Target-Instance": runner_id},
            max_parallel=max_parallel,
            send_before=send_before,
        )
        if response.status == 421:
            # The text becomes a metric label, so it doesn't change.
            raise RunnerMismatch(f"{address} is no longer runner {runner_id}")
        try:
            return response.status, json_decoding.decode(
                response.body or b"{}", _Answer
            )
        except msgspec.MsgspecError as error:
            if response.status in (200, 409):
                raise exceptions.CallFailed(
                    f"{name} at runner {runner_id}: invalid body: {error}",
                    verdict.Verdict.MAY_HAVE_RUN,
                ) from error
            return response.status, _Answer()


def decode_report(body: bytes) -> messages.RunnerReport:
    """Return a runner's report without the entries that can't be decoded.

    Raises:
        msgspec.MsgspecError: the body can't be decoded.
    """
    return _build_report(json_decoding.decode(body, _Answer))


def _start_outcome(status: int, answer: _Answer) -> messages.StartOutcome:
    if status == 200:
        return messages.StartOutcome.STARTED
    if status == 409 and answer.reason in _OUTCOME_BY_REASON:
        return _OUTCOME_BY_REASON[answer.reason]
    if status in (429, 503):
        return messages.StartOutcome.UNHEALTHY
    if status in (400, 404, 409):
        return messages.StartOutcome.INVALID
    return messages.StartOutcome.UNKNOWN


def _clock_s(answer: _Answer) -> float | None:
    if answer.clock_ms is None or not _is_time(answer.clock_ms):
        return None
    return answer.clock_ms / 1000


def _is_time(value: float | None) -> TypeGuard[float]:
    """Whether a value may be a time in milliseconds."""
    return value is not None and 0 <= value <= _MAX_NUMBER


def _build_report(answer: _Answer) -> messages.RunnerReport:
    assert answer.clock_ms is not None
    ended = [_decode_ended(row) for row in answer.finished]
    numbers = [
        row[0]
        for row in answer.finished
        if isinstance(row, list) and row and _is_number(row[0])
    ]
    running = [_decode_running(row) for row in answer.running]
    return messages.RunnerReport(
        clock_s=answer.clock_ms / 1000,
        started_at=answer.born / 1000 if _is_time(answer.born) else None,
        running=tuple(row for row in running if row is not None),
        ended=tuple(row for row in ended if row is not None),
        last_number=max(numbers, default=0),
        # A row that can't be decoded may be that of any run.
        complete=len(answer.finished) < MAX_LISTED_ENDS
        and None not in running,
    )


def _is_number(value: Any) -> bool:
    """Whether a value may be the number of an attempt or an end."""
    return type(value) is int and 0 <= value <= _MAX_NUMBER


def _decode_running(row: Any) -> messages.RunningTask | None:
    """Return the run of a row; what is malformed beside its name is left out.

    The run occupies its runner in any case.
    """
    try:
        text, attempt, checkpoint, percent = row[:4]
        task = job_models.TaskName.parse(text)
    except (AttributeError, LookupError, TypeError, ValueError):
        return None
    if task is None or not _is_number(attempt):
        return None
    return messages.RunningTask(
        task,
        attempt,
        _usable_checkpoint(checkpoint),
        int(_decode_amount(percent)),
        _decode_amount(row[4]) if len(row) > 4 else 0.0,
    )


def _decode_amount(value: Any) -> float:
    if isinstance(value, int | float) and abs(value) <= _MAX_NUMBER:
        return float(value)
    return 0.0


def _decode_ended(row: Any) -> messages.EndedTask | None:
    try:
        number, text, attempt, reason_text, checkpoint = row
        task = job_models.TaskName.parse(text)
        reason = messages.EndReason(reason_text)
    except (AttributeError, LookupError, TypeError, ValueError):
        return None
    if task is None or not _is_number(number) or not _is_number(attempt):
        return None
    return messages.EndedTask(
        number, task, attempt, reason, _usable_checkpoint(checkpoint)
    )


def _usable_checkpoint(text: Any) -> str:
    """Return a checkpoint that a job's row has room for, otherwise empty."""
    if not isinstance(text, str) or len(text) > MAX_CHECKPOINT_CHARS:
        return ""
    return text
