"""Claims requests of this entry host from the seats responsible for them.

Takes messages and returns effects; does no I/O. Every ``now`` is in
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

# A claim without a decision after this time is abandoned, and its request
# isn't run. A restarted entry host holds its seat again after 2 to 3 s.
CLAIM_TIMEOUT_S = 5.0
CLAIM_RESEND_INTERVAL_S = 0.25
# How long to wait for the answer from the host that ran a request first.
ANSWER_FETCH_TIMEOUT_S = 0.5
_MAX_ABANDONED_CLAIMS = 10_000

_Effects = list[claim_records.ClaimEffect]
_Outcome = claim_records.Outcome
_NOT_RUN = verdict_models.Verdict.NOT_RUN


@dataclasses.dataclass(slots=True)
class _OpenClaim:
    """A claim without a decision, or whose answer is being fetched.

    Attributes:
        known_outcome: the seat's decision if another attempt came first;
            None until then.
        fetch_until: when to stop waiting for that attempt's answer.
    """

    message: claim_messages.Claim
    expires_at: float
    resend_at: float
    known_outcome: claim_records.Outcome | None = None
    fetch_until: float = 0.0


class ClaimClient:
    """Owns the claims of this host's requests and their outcomes."""

    def __init__(self, incarnation: str) -> None:
        # Each incarnation numbers its claims from a different value.
        # Otherwise an answer to a claim of the previous process under the
        # same host name could be matched to a claim of this one.
        digest = hashlib.blake2b(incarnation.encode(), digest_size=7)
        self._next_seq = int.from_bytes(digest.digest(), "big")
        self._seat_count = 0
        self._holder_by_seat: dict[int, str] = {}
        self._open_claim_by_seq: dict[int, _OpenClaim] = {}
        self._running_by_seq: dict[int, claim_messages.Claim] = {}
        self._running_keys: set[claim_records.RequestKey] = set()
        self._abandoned: collections.OrderedDict[int, claim_messages.Claim] = (
            collections.OrderedDict()
        )
        self._answer_cache = answer_cache.AnswerCache()

    def configure(self, seats: int, holder_by_seat: dict[int, str]) -> None:
        """Set which entry host holds which seat."""
        self._seat_count = seats
        self._holder_by_seat = dict(holder_by_seat)
        for open_claim in self._open_claim_by_seq.values():
            # Resend to the new holder at the next tick.
            open_claim.resend_at = 0.0

    def begin_claim(
        self, now: float, team: str, request_id: str, digest: str, run_s: float
    ) -> tuple[int, _Effects]:
        """Claim a request; return the number that identifies the attempt.

        Args:
            run_s: seconds after which the attempt is certain to have
                ended.
        """
        self._next_seq += 1
        seq = self._next_seq
        message = claim_messages.Claim(
            seq, team, request_id, digest, int(run_s * 1000)
        )
        self._open_claim_by_seq[seq] = _OpenClaim(
            message, now + CLAIM_TIMEOUT_S, now + CLAIM_RESEND_INTERVAL_S
        )
        return seq, self._send_to_holder(message, message)

    def _find_holder(
        self, message: claim_messages.Claim | claim_messages.ClaimDone
    ) -> str | None:
        if not self._seat_count:
            return None
        number = claim_owner.seat_for_claim(
            message.team, message.request_id, self._seat_count
        )
        return self._holder_by_seat.get(number)

    def _send_to_holder(
        self,
        claim: claim_messages.Claim,
        message: claim_messages.Claim | claim_messages.ClaimDone,
    ) -> _Effects:
        holder = self._find_holder(claim)
        return [] if holder is None else [effects.Send(holder, message)]

    def handle_claim_ack(
        self, now: float, message: claim_messages.ClaimAck
    ) -> _Effects:
        """Handle a seat's decision on a claim."""
        outcome = _Outcome(message.outcome)
        open_claim = self._open_claim_by_seq.get(message.seq)
        if open_claim is None:
            abandoned = self._abandoned.get(message.seq)
            if abandoned is not None and outcome is _Outcome.FIRST:
                return self._release(abandoned)
            return []
        if open_claim.known_outcome is not None:
            return []
        if outcome is _Outcome.FIRST:
            del self._open_claim_by_seq[message.seq]
            self._running_by_seq[message.seq] = open_claim.message
            self._running_keys.add(
                (open_claim.message.team, open_claim.message.request_id)
            )
            return [claim_records.ClaimDecided(message.seq, outcome)]
        if outcome in (_Outcome.MISMATCH, _Outcome.REFUSED):
            del self._open_claim_by_seq[message.seq]
            return [claim_records.ClaimDecided(message.seq, outcome)]
        open_claim.known_outcome = outcome
        open_claim.fetch_until = now + ANSWER_FETCH_TIMEOUT_S
        request = claim_messages.AnswerRequest(
            message.seq, open_claim.message.team, open_claim.message.request_id
        )
        return [effects.Send(message.host, request)]

    def handle_answer_reply(
        self, message: claim_messages.AnswerReply
    ) -> _Effects:
        """Handle the reply of the host that ran the request first."""
        open_claim = self._open_claim_by_seq.get(message.seq)
        if open_claim is None or open_claim.known_outcome is None:
            return []
        del self._open_claim_by_seq[message.seq]
        if message.outcome:
            outcome = _Outcome(message.outcome)
        else:
            outcome = _outcome_without_reply(open_claim.known_outcome)
        return [
            claim_records.ClaimDecided(
                message.seq, outcome, message if message.found else None
            )
        ]

    def handle_answer_request(
        self, now: float, peer: str, message: claim_messages.AnswerRequest
    ) -> _Effects:
        """Reply with the outcome and the cached answer of a request."""
        key = message.team, message.request_id
        cached = self._answer_cache.find(now, key)
        if cached is not None and cached.answer is not None:
            reply = claim_messages.AnswerReply(
                message.seq,
                True,
                cached.status,
                cached.answer.headers,
                cached.answer.body,
                cached.outcome,
            )
        elif cached is not None:
            reply = claim_messages.AnswerReply(
                message.seq, False, cached.status, outcome=cached.outcome
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
        """Report how an attempt ended, even if its claim is undecided."""
        open_claim = self._open_claim_by_seq.pop(seq, None)
        if open_claim is not None:
            assert verdict is _NOT_RUN, (
                "the request ran before its claim was granted"
            )
            return self._abandon(open_claim.message)
        claim = self._running_by_seq.pop(seq, None)
        if claim is None:
            return []
        key = claim.team, claim.request_id
        self._running_keys.discard(key)
        if verdict is _NOT_RUN:
            return self._abandon(claim)
        self._answer_cache.add(now, key, verdict.value, status, answer)
        done = claim_messages.ClaimDone(
            claim.team, claim.request_id, verdict.value, status, seq
        )
        return self._send_to_holder(claim, done)

    def _abandon(self, claim: claim_messages.Claim) -> _Effects:
        # The claim may still be granted; it is released again then.
        self._abandoned[claim.seq] = claim
        while len(self._abandoned) > _MAX_ABANDONED_CLAIMS:
            self._abandoned.popitem(last=False)
        return self._release(claim)

    def _release(self, claim: claim_messages.Claim) -> _Effects:
        done = claim_messages.ClaimDone(
            claim.team, claim.request_id, _NOT_RUN.value, 0, claim.seq
        )
        return self._send_to_holder(claim, done)

    def tick(self, now: float) -> _Effects:
        """Resend or abandon claims that have had no answer."""
        result: _Effects = []
        for seq, open_claim in list(self._open_claim_by_seq.items()):
            if open_claim.known_outcome is not None:
                if now >= open_claim.fetch_until:
                    del self._open_claim_by_seq[seq]
                    result.append(
                        claim_records.ClaimDecided(
                            seq,
                            _outcome_without_reply(open_claim.known_outcome),
                        )
                    )
            elif now >= open_claim.expires_at:
                del self._open_claim_by_seq[seq]
                result += self._abandon(open_claim.message)
                result.append(
                    claim_records.ClaimDecided(seq, _Outcome.REFUSED)
                )
            elif now >= open_claim.resend_at:
                open_claim.resend_at = now + CLAIM_RESEND_INTERVAL_S
                result += self._send_to_holder(
                    open_claim.message, open_claim.message
                )
        return result


def _outcome_without_reply(
    known: claim_records.Outcome,
) -> claim_records.Outcome:
    """Return the outcome if the host that ran first doesn't reply."""
    if known is _Outcome.RAN:
        return known
    return _Outcome.MAY_HAVE_RUN
