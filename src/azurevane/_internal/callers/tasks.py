"""Lets callers submit, list, show and cancel tasks over HTTP."""

from collections.abc import Callable
import hashlib
import logging
from typing import Any, Protocol

import msgspec
from returns import pipeline
from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.callers import authentication
from azurevane._internal.callers import body as body_module
from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models
from azurevane._internal.models import task as task_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.table_service import table

logger = logging.getLogger(__name__)

BODY_LIMIT_BYTES = 64 * 1024
MAX_WRITE_ATTEMPTS = 3


class Table(Protocol):
    """Calls of the table service's client that tasks need."""

    async def read(self, name: str) -> table.Row:
        """Return a row."""

    async def read_prefix(self, prefix: str) -> tuple[table.Row, ...]:
        """Return the rows whose names start with a prefix."""

    async def transact(
        self, transaction: table.Transaction
    ) -> table.TransactionResult:
        """Apply a transaction, or nothing of it."""


class Submitted(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /t/<queue>``; sizes are those of ``Task``."""

    run_s: float
    cores: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    urgent: bool = False
    at_most_once: bool = False
    kind: str = ""
    payload: str = ""


def _may_run_tasks(state: fleet.FleetState, team: str) -> bool:
    if state.manifest is None or not team:
        # A request without a team is refused later, with its own reason.
        return True
    return state.manifest.team_by_name[team].task_part > 0


class _RequestRefused(Exception):
    """Raised to answer a request with a problem document."""

    def __init__(
        self,
        status: int,
        problem: str,
        detail: str,
        verdict: verdict_models.Verdict = verdict_models.Verdict.NOT_RUN,
    ) -> None:
        super().__init__(detail)
        self.refusal = request_models.Refusal(
            "",
            status,
            problem,
            detail,
            verdict,
            1.0 if status == 503 else None,
        )


class _BodyCollector:
    """Collects the body of a request up to ``BODY_LIMIT_BYTES``."""

    def __init__(self) -> None:
        self.data = bytearray()

    def write(self, data: bytes) -> None:
        """Store a chunk, or drop it once the limit is exceeded."""
        if len(self.data) <= BODY_LIMIT_BYTES:
            self.data += data

    def registerProducer(  # noqa: N802 (name of the interface)
        self, producer: Any, streaming: bool
    ) -> None:
        """Accept the producer, which is never paused."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Do nothing; no producer is kept."""


class TasksResource:
    """Answers ``/t/<queue>`` and ``/t/<queue>/<id>`` for a team.

    A task is accepted (202) only after its record is in the table. The
    pool's controller learns of it from an inbox row that is written in
    the same transaction.
    """

    def __init__(
        self,
        client: Table,
        unix_time: Callable[[], float],
        new_token: Callable[[], str],
    ) -> None:
        self._client = client
        self._unix_time = unix_time
        self._new_token = new_token

    def handle_request(
        self,
        exchange: exchange_module.CallerRequest,
        submission_id: str,
        state: fleet.FleetState,
    ) -> None:
        """Find the queue and the team of a request, and answer it."""
        name, _, task_id = exchange.head.path[len("/t/") :].partition("/")
        manifest = state.manifest
        queue = manifest.queue_by_name.get(name) if manifest else None
        if queue is None:
            exchange.refuse(
                request_models.Refusal(
                    submission_id, 404, "unknown-queue", "No such queue"
                )
            )
            return
        team = authentication.authorize_caller(
            state, queue, exchange.head.headers
        )
        if not pipeline.is_successful(team):
            denied = team.failure()
            exchange.refuse(
                request_models.Refusal(
                    submission_id, denied.status, denied.problem, denied.detail
                )
            )
            return
        if exchange.head.method == "POST" and not _may_run_tasks(
            state, team.unwrap()
        ):
            exchange.refuse(
                request_models.Refusal(
                    submission_id,
                    403,
                    "forbidden",
                    f"Team {team.unwrap()} has no task_limit in the manifest",
                )
            )
            return
        self.handle_authorized_request(exchange, queue, team.unwrap(), task_id)

    def handle_authorized_request(
        self,
        exchange: exchange_module.CallerRequest,
        queue: manifest_models.Queue,
        team: str,
        task_id: str,
    ) -> "defer.Deferred[None]":
        """Answer a request of a team that may use the queue.

        Args:
            task_id: rest of the path; empty for the whole queue.
        """
        answering = defer.ensureDeferred(
            self._answer_request(exchange, queue, team, task_id)
        )
        answering.addErrback(
            lambda reason: logger.error(
                "Task request failed: %s", reason.getTraceback()
            )
        )
        return answering

    async def _answer_request(
        self,
        exchange: exchange_module.CallerRequest,
        queue: manifest_models.Queue,
        team: str,
        task_id: str,
    ) -> None:
        try:
            status, body = await self._route_request(
                exchange, queue, team, task_id
            )
        except _RequestRefused as refused:
            exchange.refuse(refused.refusal)
            return
        except exceptions.StoreUnavailable:
            exchange.refuse(
                _RequestRefused(
                    503, "store-unavailable", "The table gives no answer"
                ).refusal
            )
            return
        if exchange.answered:
            return
        exchange.setResponseCode(status)
        exchange.setHeader(b"Content-Type", b"application/json")
        exchange.answer_bytes(msgspec.json.encode(body))

    async def _route_request(
        self,
        exchange: exchange_module.CallerRequest,
        queue: manifest_models.Queue,
        team: str,
        task_id: str,
    ) -> tuple[int, Any]:
        if not team:
            raise _RequestRefused(
                401, "unauthorized", "Tasks belong to a team's key"
            )
        method = exchange.head.method
        if method == "POST" and not task_id:
            return await self._submit_task(exchange, queue, team)
        if method == "GET" and not task_id:
            return 200, await self._list_tasks(queue, team)
        if method == "GET":
            return 200, _public_view(
                await self._find_task(queue, team, task_id)
            )
        if method == "DELETE" and task_id:
            return await self._cancel_task(queue, team, task_id)
        raise _RequestRefused(
            405, "method-not-allowed", f"{method} isn't served"
        )

    async def _list_tasks(
        self, queue: manifest_models.Queue, team: str
    ) -> list[dict[str, Any]]:
        live = await self._client.read_prefix(f"task/{queue.name}/")
        ended = await self._client.read_prefix(f"ended/{queue.name}/")
        return [
            _public_view(row.value)
            for row in (*live, *ended)
            if row.value["team"] == team
        ]

    async def _read_record(
        self, queue: manifest_models.Queue, task_id: str
    ) -> dict[str, Any] | None:
        # A record moves from the live rows to the ended ones, so the
        # ended ones are read last.
        for row_name in (task_models.task_row, task_models.ended_row):
            row = await self._client.read(row_name(queue.name, task_id))
            if row.value is not None:
                value: dict[str, Any] = row.value
                return value
        return None

    async def _find_task(
        self, queue: manifest_models.Queue, team: str, task_id: str
    ) -> dict[str, Any]:
        value = await self._read_record(queue, task_id)
        if value is None or value["team"] != team:
            raise _RequestRefused(404, "unknown-task", "There is no such task")
        return value

    async def _cancel_task(
        self, queue: manifest_models.Queue, team: str, task_id: str
    ) -> tuple[int, Any]:
        value = await self._find_task(queue, team, task_id)
        if value["phase"] not in task_models.LIVE_PHASES:
            return 200, _public_view(value)
        row = task_models.inbox_row(queue.pool, task_id, "cancel")
        await self._client.transact(
            table.Transaction(
                self._new_token(), {}, {row: {"queue": queue.name}}
            )
        )
        return 202, _public_view(value)

    async def _submit_task(
        self,
        exchange: exchange_module.CallerRequest,
        queue: manifest_models.Queue,
        team: str,
    ) -> tuple[int, Any]:
        data = await self._read_body(exchange)
        request_id = exchange.head.request_id or ""
        task = self._parse_task(data, queue, team, request_id)
        # Nothing has been written before this read succeeds, so a store
        # that is down is reported as not run.
        stored = await self._read_record(queue, task.task_id)
        if stored is not None:
            return self._answer_repeat(stored, task)
        token = self._new_token()
        value = {**msgspec.to_builtins(task), "token": token}
        return await self._write_task(queue, task, value, token)

    async def _write_task(
        self,
        queue: manifest_models.Queue,
        task: task_models.Task,
        value: dict[str, Any],
        token: str,
    ) -> tuple[int, Any]:
        live = task_models.task_row(queue.name, task.task_id)
        ended = task_models.ended_row(queue.name, task.task_id)
        inbox = task_models.inbox_row(queue.pool, task.task_id, "submit")
        transaction = table.Transaction(
            token,
            {live: 0, ended: 0},
            {live: value, inbox: _inbox_value(queue)},
        )
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                result = await self._client.transact(transaction)
                if result.applied:
                    return 202, _public_view(value)
                # The task was written by an earlier attempt whose answer
                # was lost, or by a repeat at another entry host.
                stored = await self._read_record(queue, task.task_id)
                if stored is not None:
                    return self._answer_repeat(stored, task)
            except exceptions.StoreUnavailable:
                continue
        raise _RequestRefused(
            503,
            "store-unavailable",
            f"Task {task.task_id} may have been accepted",
            verdict_models.Verdict.MAY_HAVE_RUN,
        )

    def _answer_repeat(
        self, stored: dict[str, Any], task: task_models.Task
    ) -> tuple[int, Any]:
        submitted = msgspec.to_builtins(task)
        compared_names = (
            "team",
            "run_s",
            "cores",
            "memory_gb",
            "payload",
            "kind",
        )
        if any(stored[name] != submitted[name] for name in compared_names):
            raise _RequestRefused(
                422, "digest-mismatch", "Another task has this request id"
            )
        return 202, _public_view(stored)

    async def _read_body(
        self, exchange: exchange_module.CallerRequest
    ) -> bytes:
        length = exchange.head.length
        if length is not None and length > BODY_LIMIT_BYTES:
            raise _RequestRefused(
                413, "body-too-large", "The task is too large"
            )
        exchange.max_body_bytes = BODY_LIMIT_BYTES
        collector = _BodyCollector()
        feed = exchange.body.new_feed()
        if feed is not None:
            try:
                await feed.startProducing(collector)
            except body_module.BodyIncomplete:
                raise _RequestRefused(
                    400, "malformed", "The body is incomplete"
                ) from None
        if len(collector.data) > BODY_LIMIT_BYTES:
            raise _RequestRefused(
                413, "body-too-large", "The task is too large"
            )
        return bytes(collector.data)

    def _parse_task(
        self,
        data: bytes,
        queue: manifest_models.Queue,
        team: str,
        request_id: str,
    ) -> task_models.Task:
        try:
            submitted = msgspec.json.decode(data, type=Submitted)
        except msgspec.DecodeError as error:
            raise _RequestRefused(400, "malformed", str(error)) from error
        sizes = (submitted.run_s, submitted.cores, submitted.memory_gb)
        if min(sizes) <= 0 or submitted.accelerators < 0:
            raise _RequestRefused(400, "malformed", "Sizes must be above zero")
        task_id = self._new_token()
        if request_id:
            hashed = f"{team}\n{queue.name}\n{request_id}".encode()
            task_id = hashlib.sha256(hashed).hexdigest()[:32]
        return task_models.Task(
            task_id,
            queue.name,
            team,
            submitted_at=self._unix_time(),
            **msgspec.structs.asdict(submitted),
        )


def _inbox_value(queue: manifest_models.Queue) -> dict[str, str]:
    return {"queue": queue.name}


def _public_view(value: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a record that callers may see."""
    names = ("task_id", "queue", "phase", "attempts", "detail", "kind")
    return {name: value.get(name) for name in names}
