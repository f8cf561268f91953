"""Claims requests of this entry host at the seats that keep them.

Takes messages and returns effects; owns no socket. Every ``now`` is in
monotonic seconds of this host.
"""

import collections
import dataclasses
import hashlib

from azurevane._internal.models import claim_messages
from azurevane._internal.models import claim_records
from azurevane._internal.models import effects
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.policy import claim_owner
from azurevane._internal.tasks import answer_cache

# A claim that isn't decided by then is given up; nothing has run. An entry
# host that is restarted holds its seat again after 2 to 3 s.
GIVE_UP_S = 5.0
RESEND_S = 0.25
# How long the host that ran a request is waited for.
FETCH_S = 0.5
_REMEMBERED_GIVEN_UP = 10_000

_Effects = list[claim_records.ClaimEffect]
_Outcome = claim_records.Outcome
_NOT_RUN = verdict_models.Verdict.NOT_RUN


@dataclasses.dataclass(slots=True)
class _Ask:
    """A claim that isn't decided, or whose answer is being fetched."""

    message: claim_messages.Claim
    give_up_at: float
    resend_at: float
    known: claim_records.Outcome | None = None
    fetch_until: float = 0.0


class ClaimClient:
    """Owns the claims of this host's requests, and their outcomes."""

    def __init__(self, incarnation: str) -> None:
        # Each process start numbers its claims from another value. An
        # answer to a claim of the process before it under the same host
        # name would otherwise be taken for the answer to a claim here.
        digest = hashlib.blake2b(incarnation.encode(), digest_size=7)
        self._next_seq = int.from_bytes(digest.digest(), "big")
        self._seats = 0
        self._holder_by_seat: dict[int, str] = {}
        self._ask_by_seq: dict[int, _Ask] = {}
        self._running_by_seq: dict[int, claim_messages.Claim] = {}
        self._running_keys: set[claim_records.RequestKey] = set()
        self._given_up: collections.OrderedDict[int, claim_messages.Claim] = (
            collections.OrderedDict()
        )
        self._answer_cache = answer_cache.AnswerCache()

    def configure(self, seats: int, holder_by_seat: dict[int, str]) -> None:
        """Follow which entry host holds which seat."""
        self._seats = seats
        self._holder_by_seat = dict(holder_by_seat)
        for ask in self._ask_by_seq.values():
            # To the new holder at the next tick.
            ask.resend_at = 0.0

    def begin_claim(
        self,
        now: float,
        team: str,
        request_id: str,
        digest: str,
        run_s: float,
    ) -> tuple[int, _Effects]:
        """Claim a request; return the number that names the attempt.

        Args:
            run_s: time after which the attempt has surely ended.
        """
        self._next_seq += 1
        seq = self._next_seq
        message = claim_messages.Claim(
            seq, team, request_id, digest, int(run_s * 1000)
        )
        self._ask_by_seq[seq] = _Ask(message, now + GIVE_UP_S, now + RESEND_S)
        return seq, self._send(message, message)

    def _holder(
        self, message: claim_messages.Claim | claim_messages.ClaimDone
    ) -> str | None:
        if not self._seats:
            return None
        number = claim_owner.seat_for_claim(
            message.team, message.request_id, self._seats
        )
        return self._holder_by_seat.get(number)

    def _send(
        self,
        claim: claim_messages.Claim,
        message: claim_messages.Claim | claim_messages.ClaimDone,
    ) -> _Effects:
        holder = self._holder(claim)
        return [] if holder is None else [effects.Send(holder, message)]

    def handle_claim_ack(
        self, now: float, message: claim_messages.ClaimAck
    ) -> _Effects:
        """Take the decision of a seat."""
        outcome = _Outcome(message.outcome)
        ask = self._ask_by_seq.get(message.seq)
        if ask is None:
            given_up = self._given_up.get(message.seq)
            if given_up is not None and outcome is _Outcome.FIRST:
                return self._give_back(given_up)
            return []
        if ask.known is not None:
            return []
        if outcome is _Outcome.FIRST:
            del self._ask_by_seq[message.seq]
            self._running_by_seq[message.seq] = ask.message
            self._running_keys.add((ask.message.team, ask.message.request_id))
            return [claim_records.ClaimDecided(message.seq, outcome)]
        if outcome in (_Outcome.MISMATCH, _Outcome.REFUSED):
            del self._ask_by_seq[message.seq]
            return [claim_records.ClaimDecided(message.seq, outcome)]
        ask.known = outcome
        ask.fetch_until = now + FETCH_S
        request = claim_messages.AnswerRequest(
            message.seq, ask.message.team, ask.message.request_id
        )
        return [effects.Send(message.host, request)]

    def handle_answer_reply(
        self, message: claim_messages.AnswerReply
    ) -> _Effects:
        """Take what the host that came first knows."""
        ask = self._ask_by_seq.get(message.seq)
        if ask is None or ask.known is None:
            return []
        del self._ask_by_seq[message.seq]
        if message.outcome:
            outcome = _Outcome(message.outcome)
        else:
            outcome = _without_host(ask.known)
        return [
            claim_records.ClaimDecided(
                message.seq, outcome, message if message.found else None
            )
        ]

    def handle_answer_request(
        self, now: float, peer: str, message: claim_messages.AnswerRequest
    ) -> _Effects:
        """Tell a peer what is known here of a request."""
        key = message.team, message.request_id
        kept = self._answer_cache.find(now, key)
        if kept is not None and kept.answer is not None:
            reply = claim_messages.AnswerReply(
                message.seq,
                True,
                kept.status,
                kept.answer.headers,
                kept.answer.body,
                kept.outcome,
            )
        elif kept is not None:
            reply = claim_messages.AnswerReply(
                message.seq, False, kept.status, outcome=kept.outcome
            )
        else:
            running = key in self._running_keys
            outcome = _Outcome.RUNNING.value if running else ""
            reply = claim_messages.AnswerReply(
                message.seq, False, 0, outcome=outcome
            )
        return [effects.Send(peer, reply)]

    def end_attempt(
        self,
        now: float,
        seq: int,
        verdict: verdict_models.Verdict,
        status: int,
        answer: answer_cache.CachedAnswer | None,
    ) -> _Effects:
        """Report how an attempt ended, also one that isn't decided."""
        ask = self._ask_by_seq.pop(seq, None)
        if ask is not None:
            assert verdict is _NOT_RUN, "ran without a claim"
            return self._give_up(ask.message)
        claim = self._running_by_seq.pop(seq, None)
        if claim is None:
            return []
        key = claim.team, claim.request_id
        self._running_keys.discard(key)
        if verdict is _NOT_RUN:
            return self._give_up(claim)
        self._answer_cache.add(now, key, verdict.value, status, answer)
        done = claim_messages.ClaimDone(
            claim.team, claim.request_id, verdict.value, status, seq
        )
        return self._send(claim, done)

    def _give_up(self, claim: claim_messages.Claim) -> _Effects:
        # The decision may still come, and is given back then.
        self._given_up[claim.seq] = claim
        while len(self._given_up) > _REMEMBERED_GIVEN_UP:
            self._given_up.popitem(last=False)
        return self._give_back(claim)

    def _give_back(self, claim: claim_messages.Claim) -> _Effects:
        done = claim_messages.ClaimDone(
            claim.team, claim.request_id, _NOT_RUN.value, 0, claim.seq
        )
        return self._send(claim, done)

    def tick(self, now: float) -> _Effects:
        """Send again, and give up, what has had no answer."""
        decided: _Effects = []
        for seq, ask in list(self._ask_by_seq.items()):
            if ask.known is not None:
                if now >= ask.fetch_until:
                    del self._ask_by_seq[seq]
                    decided.append(
                        claim_records.ClaimDecided(
                            seq, _without_host(ask.known)
                        )
                    )
            elif now >= ask.give_up_at:
                del self._ask_by_seq[seq]
                decided += self._give_up(ask.message)
                decided.append(
                    claim_records.ClaimDecided(seq, _Outcome.REFUSED)
                )
            elif now >= ask.resend_at:
                ask.resend_at = now + RESEND_S
                decided += self._send(ask.message, ask.message)
        return decided


def _without_host(
    known: claim_records.Outcome,
) -> claim_records.Outcome:
    """Return what is certain if the host that came first says nothing."""
    if known is _Outcome.RAN:
        return known
    return _Outcome.MAY_HAVE_RUN
