"""Connects claims to the table, to peers and to callers' requests."""

import collections
from collections.abc import Callable
import logging
from typing import Any, Protocol

from twisted.internet import defer
from twisted.python import failure as twisted_failure

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.models import claim_messages
from azurevane._internal.models import claim_records
from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import messages
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.tasks import answer_cache
from azurevane._internal.tasks import claim_client
from azurevane._internal.tasks import claim_keeper

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
MESSAGE_TYPES = (
    claim_messages.Claim,
    claim_messages.ClaimAck,
    claim_messages.ClaimDone,
    claim_messages.AnswerRequest,
    claim_messages.AnswerReply,
)

_Effects = list[claim_records.ClaimEffect]
_DecidedCallback = Callable[[claim_records.ClaimDecided], None]


class Journal(Protocol):
    """Calls of ``table_service.claim_journal`` that claims need."""

    async def read(self, seat: int) -> claim_records.StoredJournal:
        """Return the whole journal of a seat."""

    async def append(
        self, write: claim_records.AppendJournal
    ) -> tuple[bool, int]:
        """Write a segment; return whether it applied, and the version."""


class EntryClaims:
    """Owns the claims of one entry process, as client and as keeper.

    Args:
        host: name of this entry host.
        incarnation: identifies this process start.
        send: sends a message to a peer, named by its entry host.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        incarnation: str,
        journal: Journal,
        send: Callable[[str, messages.Message], None],
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._incarnation = incarnation
        self._journal = journal
        self._send = send
        self._client = claim_client.ClaimClient(incarnation)
        self._keeper = claim_keeper.ClaimKeeper(incarnation)
        self._decided_by_seq: dict[int, _DecidedCallback] = {}
        self._pending_effects: collections.deque[claim_records.ClaimEffect] = (
            collections.deque()
        )
        self._applying_effects = False

    def configure(self, state: fleet.FleetState) -> None:
        """Apply the seats of a fleet state."""
        seats = 0 if state.manifest is None else state.manifest.entry_seats
        own_identity = (self._host, self._incarnation)
        self._client.configure(
            seats,
            {seat.number: seat.holder for seat in state.seats if seat.holder},
        )
        self._apply_effects(
            self._keeper.configure(
                self._reactor.seconds(),
                seats,
                [
                    seat
                    for seat in state.seats
                    if (seat.holder, seat.incarnation) == own_identity
                ],
            )
        )

    def begin_claim(
        self,
        team: str,
        request_id: str,
        digest: str,
        run_s: float,
        on_begun: Callable[[int], None],
        on_decided: _DecidedCallback,
    ) -> None:
        """Claim a request.

        Args:
            run_s: seconds after which the request is certain to have ended.
            on_begun: called with the number of the claim, before any effect
                is carried out.
            on_decided: called with the outcome, unless the claim ends
                earlier.
        """
        seq, new_effects = self._client.begin_claim(
            self._reactor.seconds(), team, request_id, digest, run_s
        )
        self._decided_by_seq[seq] = on_decided
        on_begun(seq)
        self._apply_effects(new_effects)

    def end_claim(
        self,
        seq: int,
        verdict: verdict_models.Verdict,
        status: int,
        answer: answer_cache.CachedAnswer | None,
    ) -> None:
        """Report how a claimed request ended."""
        self._decided_by_seq.pop(seq, None)
        self._apply_effects(
            self._client.end_attempt(
                self._reactor.seconds(), seq, verdict, status, answer
            )
        )

    def handle_message(
        self, peer: str, incarnation: str, message: messages.Message
    ) -> None:
        """Handle a message of a peer."""
        self._apply_effects(self._dispatch_message(peer, incarnation, message))

    def _dispatch_message(
        self, peer: str, incarnation: str, message: messages.Message
    ) -> _Effects:
        now = self._reactor.seconds()
        if isinstance(message, claim_messages.Claim):
            return self._keeper.handle_claim(now, peer, incarnation, message)
        if isinstance(message, claim_messages.ClaimDone):
            return self._keeper.handle_claim_done(
                now, peer, incarnation, message
            )
        if isinstance(message, claim_messages.ClaimAck):
            return self._client.handle_claim_ack(now, message)
        if isinstance(message, claim_messages.AnswerRequest):
            return self._client.handle_answer_request(now, peer, message)
        assert isinstance(message, claim_messages.AnswerReply)
        return self._client.handle_answer_reply(message)

    @property
    def has_pending_writes(self) -> bool:
        """Whether any claim or outcome isn't in a journal yet."""
        return self._keeper.has_pending_writes

    def flush(self) -> None:
        """Write outcomes without waiting for more."""
        self._keeper.flush()
        self.tick()

    def tick(self) -> None:
        """Do what is due; call every ``TICK_INTERVAL_S`` seconds."""
        now = self._reactor.seconds()
        self._apply_effects(self._keeper.tick(now) + self._client.tick(now))

    def _apply_effects(self, new_effects: _Effects) -> None:
        # Carrying out an effect may add others, which are queued and carried
        # out in order instead of recursively.
        self._pending_effects.extend(new_effects)
        if self._applying_effects:
            return
        self._applying_effects = True
        try:
            while self._pending_effects:
                self._carry_out_effect(self._pending_effects.popleft())
        finally:
            self._applying_effects = False

    def _carry_out_effect(self, effect: claim_records.ClaimEffect) -> None:
        if isinstance(effect, effects.Send):
            if effect.peer == self._host:
                self._pending_effects.extend(
                    self._dispatch_message(
                        self._host, self._incarnation, effect.message
                    )
                )
            else:
                self._send(effect.peer, effect.message)
        elif isinstance(effect, claim_records.ClaimDecided):
            on_decided = self._decided_by_seq.pop(effect.seq, None)
            if on_decided is not None:
                on_decided(effect)
        else:
            call = defer.ensureDeferred(self._call_journal(effect))
            call.addErrback(_log_failure)

    async def _call_journal(
        self,
        call: claim_records.ReadJournal | claim_records.AppendJournal,
    ) -> None:
        try:
            if isinstance(call, claim_records.ReadJournal):
                stored = await self._journal.read(call.seat)
                now = self._reactor.seconds()
                new_effects = self._keeper.handle_journal_read(
                    now, call, stored
                )
            else:
                applied, version = await self._journal.append(call)
                now = self._reactor.seconds()
                new_effects = self._keeper.handle_journal_written(
                    now, call, applied, version
                )
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("claims", str(error))
            )
            new_effects = self._keeper.handle_store_failure(
                self._reactor.seconds(), call
            )
        self._apply_effects(new_effects)


def _log_failure(reason: twisted_failure.Failure) -> None:
    logger.error("Call to the claim journal failed: %s", reason.getTraceback())
