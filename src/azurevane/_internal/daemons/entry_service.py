"""The entry daemon's callers' side: decides, dispatches and answers."""

import logging
from typing import Any

from returns import pipeline
from twisted.internet import defer

from azurevane._internal.callers import authentication
from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.callers import tasks
from azurevane._internal.events import catalogue
from azurevane._internal.events import request_events
from azurevane._internal.models import effects
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.tasks import dispatcher as dispatcher_module
from azurevane._internal.tasks import state_keeper
from azurevane._internal.upstreams import client as upstream_client

logger = logging.getLogger(__name__)


class EntryService:
    """Owns the exchanges with callers of one entry process."""

    def __init__(
        self,
        reactor: Any,
        keeper: state_keeper.StateKeeper,
        dispatcher: dispatcher_module.Dispatcher,
        runners: upstream_client.RunnerClient,
        task_calls: tasks.TasksResource,
    ) -> None:
        self._reactor = reactor
        self._keeper = keeper
        self._dispatcher = dispatcher
        self._runners = runners
        self._tasks = task_calls
        self._next_id = 0
        self._ready = False
        self._exchange_by_id: dict[str, exchange_module.CallerRequest] = {}
        self._submission_by_id: dict[str, request_models.Submission] = {}
        self._path_by_id: dict[str, str] = {}

    def begin(self, exchange: exchange_module.CallerRequest) -> None:
        """Decide on a request whose head has arrived."""
        path = exchange.head.path
        if path == "/healthz":
            exchange.answer_bytes(b"ok\n")
            return
        if path == "/readyz":
            ready = self._keeper.fresh(self._reactor.seconds())
            exchange.setResponseCode(200 if ready else 503)
            # The control daemon beside confirms its own state by this.
            exchange.setHeader(
                b"Azurevane-Fleet-Version",
                str(self._keeper.state.version).encode(),
            )
            exchange.answer_bytes(b"ready\n" if ready else b"not ready\n")
            return
        decided = self._admit(exchange)
        if decided is not None:
            self._refuse(exchange, decided)

    def _admit(
        self, exchange: exchange_module.CallerRequest
    ) -> request_models.Refusal | None:
        now = self._reactor.seconds()
        self._next_id += 1
        submission_id = str(self._next_id)
        if not self._keeper.fresh(now):
            return request_models.Refusal(
                submission_id,
                503,
                "not-fresh",
                "This entry host can't confirm its configuration",
                retry_after_s=1.0,
            )
        state = self._keeper.state
        parts = exchange.head.path.split("/", 3)
        manifest = state.manifest
        if (
            manifest is None
            or len(parts) < 3
            or parts[1] not in ("q", "t")
            or parts[2].split("?")[0] not in manifest.queue_by_name
        ):
            return request_models.Refusal(
                submission_id, 404, "unknown-queue", "There is no such queue"
            )
        queue = manifest.queue_by_name[parts[2].split("?")[0]]
        team = authentication.authenticate(state, queue, exchange.head.headers)
        if not pipeline.is_successful(team):
            denied = team.failure()
            return request_models.Refusal(
                submission_id, denied.status, denied.problem, denied.detail
            )
        if parts[1] == "t":
            task_id = parts[3] if len(parts) > 3 else ""
            self._tasks.handle(exchange, queue, team.unwrap(), task_id)
            return None
        submission = request_models.Submission(
            submission_id,
            queue.name,
            team.unwrap(),
            now,
            now + queue.deadline_ms / 1000,
            exchange.head.method in request_models.IDEMPOTENT_METHODS,
        )
        self._exchange_by_id[submission_id] = exchange
        self._submission_by_id[submission_id] = submission
        self._path_by_id[submission_id] = (
            "/" + parts[3] if len(parts) > 3 else "/"
        )
        exchange.submission_id = submission_id
        self.apply(self._dispatcher.submit(now, submission))
        return None

    def caller_left(self, exchange: exchange_module.CallerRequest) -> None:
        """Drop the waiting submission of a caller that has left."""
        submission_id = exchange.submission_id
        if submission_id is None:
            return
        self.apply(
            self._dispatcher.cancel(self._reactor.seconds(), submission_id)
        )

    def apply(self, decided: list[effects.Effect]) -> None:
        """Carry out what the state machines decided."""
        for effect in decided:
            if isinstance(effect, request_models.Dispatch):
                running = defer.ensureDeferred(self._run(effect))
                running.addErrback(
                    lambda reason: logger.error(
                        "Run failed: %s", reason.getTraceback()
                    )
                )
            elif isinstance(effect, request_models.Refusal):
                exchange = self._exchange_by_id.pop(effect.submission_id, None)
                if exchange is not None:
                    self._refuse(exchange, effect)

    def _refuse(
        self,
        exchange: exchange_module.CallerRequest,
        refusal: request_models.Refusal,
    ) -> None:
        catalogue.emit(
            logger,
            request_events.RequestRefused(
                refusal.submission_id,
                refusal.status,
                refusal.problem,
                refusal.verdict.value,
                refusal.detail,
            ),
        )
        exchange.refuse(refusal)

    async def _run(self, dispatch: request_models.Dispatch) -> None:
        submission_id = dispatch.submission_id
        exchange = self._exchange_by_id[submission_id]
        submission = self._submission_by_id[submission_id]
        manifest = self._keeper.state.manifest
        assert manifest is not None
        catalogue.emit(
            logger,
            request_events.RequestRouted(
                submission_id,
                submission.queue,
                submission.team,
                dispatch.runner,
                dispatch.reasons,
            ),
        )
        started_at = self._reactor.seconds()
        answer = await self._runners.run(
            exchange,
            self._path_by_id[submission_id],
            manifest.runner_by_name[dispatch.runner],
            submission.team,
            dispatch.not_after,
        )
        failed = None if pipeline.is_successful(answer) else answer.failure()
        self._finish(dispatch, started_at, failed)

    def _finish(
        self,
        dispatch: request_models.Dispatch,
        started_at: float,
        failed: verdict_models.Failure | None,
    ) -> None:
        submission_id = dispatch.submission_id
        now = self._reactor.seconds()
        exchange = self._exchange_by_id.pop(submission_id)
        del self._submission_by_id[submission_id]
        del self._path_by_id[submission_id]
        outcome = request_models.RunResult(
            submission_id, dispatch.runner, started_at, now, None, failed
        )
        catalogue.emit(
            logger,
            request_events.RequestEnded(
                submission_id,
                dispatch.runner,
                round(now - started_at, 4),
                None,
                failed.reason if failed else "",
            ),
        )
        if failed is not None and not exchange.answered:
            exchange.refuse(
                request_models.Refusal(
                    submission_id,
                    502,
                    failed.reason,
                    "The runner gave no whole answer",
                    failed.verdict,
                )
            )
        self.apply(self._dispatcher.ended(now, outcome))

    def tick(self) -> None:
        """Drop what can't be answered in time any more."""
        self.apply(self._dispatcher.tick(self._reactor.seconds()))
