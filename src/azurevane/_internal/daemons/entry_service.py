"""Serves the requests of callers, from the head to the answer."""

import dataclasses
import functools
import logging
import random
from typing import Any

from returns import pipeline
from twisted.internet import defer
from twisted.python import failure as twisted_failure

from azurevane._internal.callers import exchange as exchange_module
from azurevane._internal.callers import tasks
from azurevane._internal.daemons import active_request
from azurevane._internal.daemons import entry_admission
from azurevane._internal.daemons import entry_answering
from azurevane._internal.daemons import entry_attempts
from azurevane._internal.daemons import entry_claims
from azurevane._internal.daemons import entry_permits
from azurevane._internal.events import catalogue
from azurevane._internal.events import request_events
from azurevane._internal.models import claim_records
from azurevane._internal.models import effects
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.tasks import dispatcher as dispatcher_module
from azurevane._internal.tasks import state_keeper
from azurevane._internal.upstreams import client as upstream_client
from azurevane._internal.upstreams import verdicts

logger = logging.getLogger(__name__)


class EntryService:
    """Owns the requests of callers that one entry process serves."""

    def __init__(
        self,
        reactor: Any,
        keeper: state_keeper.StateKeeper,
        dispatcher: dispatcher_module.Dispatcher,
        runners: upstream_client.RunnerClient,
        claims: entry_claims.EntryClaims,
        rng: random.Random | None = None,
        permits: entry_permits.EntryPermits | None = None,
        tasks_resource: tasks.TasksResource | None = None,
    ) -> None:
        self._reactor = reactor
        self._keeper = keeper
        self._dispatcher = dispatcher
        self._attempt_sender = entry_attempts.AttemptSender(
            reactor, runners, rng or random.Random()
        )
        self._claims = claims
        self._permits = permits
        self._tasks_resource = tasks_resource
        self._next_id = 0
        self._active_by_id: dict[str, active_request.ActiveRequest] = {}
        self.stopping = False

    @property
    def active_count(self) -> int:
        """Number of requests that haven't ended."""
        return len(self._active_by_id)

    def handle_request(self, exchange: exchange_module.CallerRequest) -> None:
        """Answer, admit or refuse a request whose head has arrived."""
        path = exchange.head.path
        if path == "/healthz":
            exchange.answer_bytes(b"ok\n")
            return
        fresh = self._keeper.fresh(self._reactor.seconds())
        if path == "/readyz":
            ready = fresh and not self.stopping
            exchange.setResponseCode(200 if ready else 503)
            # The control daemon on this host compares this version with that
            # of its own state.
            exchange.setHeader(
                b"Azurevane-Fleet-Version",
                str(self._keeper.state.version).encode(),
            )
            exchange.answer_bytes(b"ready\n" if ready else b"not ready\n")
            return
        submission_id = self._new_id()
        if not fresh:
            refused = entry_answering.build_stale_refusal(submission_id)
            entry_answering.log_refusal(refused, refused.verdict)
            exchange.refuse(refused)
            return
        if self._tasks_resource is not None and path.startswith("/t/"):
            self._tasks_resource.handle_request(
                exchange, submission_id, self._keeper.state
            )
            return
        admitted = entry_admission.admit_request(
            self._reactor.seconds(),
            self._keeper.state,
            submission_id,
            exchange,
        )
        if not pipeline.is_successful(admitted):
            refused = admitted.failure()
            entry_answering.log_refusal(refused, refused.verdict)
            exchange.refuse(refused)
            return
        self._start_request(admitted.unwrap())

    def _new_id(self) -> str:
        self._next_id += 1
        return str(self._next_id)

    def _start_request(self, active: active_request.ActiveRequest) -> None:
        now = self._reactor.seconds()
        active.exchange.active_request = active
        active.deadline_call = self._reactor.callLater(
            active.submission.deadline - now, self._handle_deadline, active
        )
        if not active.digest:
            self._submit(active)
            return
        # Counts as active while its claim is being decided.
        self._active_by_id[active.submission.submission_id] = active
        self._claims.begin_claim(
            active.submission.team,
            str(active.exchange.head.request_id),
            active.digest,
            active.submission.deadline - now + active.queue.max_run_s,
            functools.partial(self._handle_claim_begun, active),
            functools.partial(self._handle_claim_decided, active),
        )

    @staticmethod
    def _handle_claim_begun(
        active: active_request.ActiveRequest, seq: int
    ) -> None:
        active.claim_seq = seq

    def _handle_claim_decided(
        self,
        active: active_request.ActiveRequest,
        decided: claim_records.ClaimDecided,
    ) -> None:
        if decided.outcome is claim_records.Outcome.FIRST:
            self._recheck_and_submit(active)
            return
        active.claim_seq = None
        self._end_request(active)
        entry_answering.answer_repeat(active, decided)

    def _recheck_and_submit(
        self, active: active_request.ActiveRequest
    ) -> None:
        """Submit an admitted request after a wait, if it is still valid."""
        refused = entry_admission.recheck_request(self._keeper.state, active)
        if not self._keeper.fresh(self._reactor.seconds()):
            refused = entry_answering.build_stale_refusal(
                active.submission.submission_id
            )
        if refused is None:
            self._submit(active)
            return
        self._end_request(active)
        entry_answering.refuse_request(active, refused)

    def _submit(self, active: active_request.ActiveRequest) -> None:
        self._active_by_id[active.submission.submission_id] = active
        self.apply_effects(
            self._dispatcher.submit(self._reactor.seconds(), active.submission)
        )

    def _handle_deadline(self, active: active_request.ActiveRequest) -> None:
        active.deadline_call = None
        self._refuse_early(
            active, entry_answering.build_deadline_refusal(active)
        )

    def handle_caller_disconnect(
        self, exchange: exchange_module.CallerRequest
    ) -> None:
        """Drop a waiting request; let a running one finish at its runner."""
        active = exchange.active_request
        if active is not None:
            self._abandon_request(active)

    def handle_input_failure(
        self,
        exchange: exchange_module.CallerRequest,
        refusal: request_models.Refusal,
    ) -> None:
        """Refuse a request whose body turned out to be unacceptable."""
        active = exchange.active_request
        if active is None:
            exchange.refuse(refusal)
            return
        self._refuse_early(
            active,
            dataclasses.replace(
                refusal, submission_id=active.submission.submission_id
            ),
        )

    def _refuse_early(
        self,
        active: active_request.ActiveRequest,
        refusal: request_models.Refusal,
    ) -> None:
        """Refuse a request even while its runner still uses the slot."""
        if not active.exchange.answered:
            entry_answering.refuse_request(active, refusal)
        self._abandon_request(active)

    def _abandon_request(self, active: active_request.ActiveRequest) -> None:
        if active.running:
            # The slot is free only when the runner is done.
            if active.relay is not None:
                active.relay.discard_rest()
            return
        submission_id = active.submission.submission_id
        self._end_request(active)
        self.apply_effects(
            self._dispatcher.cancel(self._reactor.seconds(), submission_id)
        )

    def apply_effects(self, new_effects: list[effects.Effect]) -> None:
        """Carry out effects of the dispatcher and the permit keeper."""
        for effect in new_effects:
            if isinstance(effect, request_models.Dispatch):
                attempt_deferred = defer.ensureDeferred(
                    self._run_dispatch(effect)
                )
                attempt_deferred.addErrback(self._log_failure)
            elif isinstance(effect, request_models.Refusal):
                active = self._active_by_id.get(effect.submission_id)
                if active is not None:
                    self._end_request(active)
                    entry_answering.refuse_request(active, effect)
            elif self._permits is not None:
                self._permits.carry_out_effect(effect)
        if self._permits is not None:
            self._permits.schedule_keeper_tick()

    @staticmethod
    def _log_failure(reason: twisted_failure.Failure) -> None:
        logger.error("Attempt failed: %s", reason.getTraceback())

    async def _run_dispatch(self, dispatch: request_models.Dispatch) -> None:
        active = self._active_by_id.get(dispatch.submission_id)
        if active is None:
            # The request was dropped before its dispatch was carried out.
            self._free_slot(
                dispatch,
                self._reactor.seconds(),
                entry_attempts.AttemptResult(
                    None, verdicts.build_failure("not-wanted")
                ),
            )
            return
        manifest = self._keeper.state.manifest
        assert manifest is not None, "dispatched without a manifest"
        assert not active.running, "one attempt at a time"
        active.running = True
        catalogue.emit(
            logger,
            request_events.RequestRouted(
                dispatch.submission_id,
                active.submission.queue,
                active.submission.team,
                dispatch.runner,
                dispatch.reasons,
            ),
        )
        started_at = self._reactor.seconds()
        try:
            attempt = await self._attempt_sender.send_attempt(
                active, dispatch, manifest
            )
        except Exception:
            # A bug in this program must neither leak the slot nor leave the
            # caller without an answer.
            self._log_failure(twisted_failure.Failure())
            attempt = entry_attempts.AttemptResult(
                None,
                verdict_models.Failure(
                    verdict_models.Verdict.MAY_HAVE_RUN, "internal-error"
                ),
            )
        self._finish_attempt(active, dispatch, started_at, attempt)

    def _finish_attempt(
        self,
        active: active_request.ActiveRequest,
        dispatch: request_models.Dispatch,
        started_at: float,
        attempt: entry_attempts.AttemptResult,
    ) -> None:
        now = self._reactor.seconds()
        active.running = False
        active.relay = None
        failure = attempt.failure
        active.last_failure = failure
        if failure is None or (
            failure.verdict is not verdict_models.Verdict.NOT_RUN
        ):
            active.may_have_run = True
        catalogue.emit(
            logger,
            request_events.RequestEnded(
                dispatch.submission_id,
                dispatch.runner,
                round(now - started_at, 4),
                attempt.status,
                failure.reason if failure else "",
            ),
        )
        self._active_by_id.pop(dispatch.submission_id, None)
        if attempt.retry_at is not None and not active.exchange.answered:
            self._schedule_retry(active, dispatch.runner, attempt.retry_at)
        else:
            self._finish_request(active, attempt)
        self._free_slot(dispatch, started_at, attempt)

    def _free_slot(
        self,
        dispatch: request_models.Dispatch,
        started_at: float,
        attempt: entry_attempts.AttemptResult,
    ) -> None:
        now = self._reactor.seconds()
        self.apply_effects(
            self._dispatcher.handle_run_end(
                now,
                request_models.RunResult(
                    dispatch.submission_id,
                    dispatch.runner,
                    started_at,
                    now,
                    attempt.status,
                    attempt.failure,
                ),
            )
        )

    def _schedule_retry(
        self,
        active: active_request.ActiveRequest,
        runner: str,
        retry_at: float,
    ) -> None:
        active.submission = dataclasses.replace(
            active.submission,
            submission_id=self._new_id(),
            avoid_runner=runner,
        )
        # Counts as active while it waits, so that a stop waits for it.
        self._active_by_id[active.submission.submission_id] = active
        delay_s = max(retry_at - self._reactor.seconds(), 0.0)
        self._reactor.callLater(delay_s, self._retry_request, active)

    def _retry_request(self, active: active_request.ActiveRequest) -> None:
        if active.submission.submission_id in self._active_by_id:
            self._recheck_and_submit(active)

    def _finish_request(
        self,
        active: active_request.ActiveRequest,
        attempt: entry_attempts.AttemptResult,
    ) -> None:
        if attempt.failure is not None and not active.exchange.answered:
            entry_answering.refuse_request(
                active,
                entry_answering.build_failure_refusal(active, attempt.failure),
            )
        self._end_request(active)

    def _end_request(self, active: active_request.ActiveRequest) -> None:
        self._active_by_id.pop(active.submission.submission_id, None)
        if active.deadline_call is not None:
            active.deadline_call.cancel()
            active.deadline_call = None
        if active.claim_seq is not None:
            seq, active.claim_seq = active.claim_seq, None
            ran = active.answer_status is not None
            self._claims.end_claim(
                seq,
                verdict_models.Verdict.RAN if ran else active.verdict,
                active.answer_status or 0,
                active.cached_answer if ran else None,
            )

    def tick(self) -> None:
        """Refuse waiting requests that can't be answered in time any more."""
        self.apply_effects(self._dispatcher.tick(self._reactor.seconds()))
