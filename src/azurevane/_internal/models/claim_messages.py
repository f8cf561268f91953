"""Messages for at-most-once claims and cached answers."""

import dataclasses

from azurevane._internal.models import messages


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Claim(messages.Message):
    """Asks a seat's holder for the right to run a non-idempotent request.

    Attributes:
        seq: identifies the attempt, together with the sender's host and
            incarnation.
        run_ms: milliseconds after which the sender's attempt is certain
            to have ended.
    """

    seq: int
    team: str
    request_id: str
    digest: str
    run_ms: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAck(messages.Message):
    """Answers a claim with what the seat has recorded for the request.

    Attributes:
        outcome: value of ``claim_records.Outcome``.
        host: entry host of the first attempt.
    """

    seq: int
    outcome: str
    host: str
    status: int


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDone(messages.Message):
    """Reports how a claimed request ended; not-run releases the claim."""

    team: str
    request_id: str
    verdict: str
    status: int
    seq: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRequest(messages.Message):
    """Asks the host that ran a request for its answer."""

    seq: int
    team: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header of a cached answer."""

    name: str
    value: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReply(messages.Message):
    """Carries a cached answer, if the host still has it.

    Attributes:
        found: whether the reply contains an answer.
        outcome: outcome that the host has recorded for the request; empty
            if it has none.
    """

    seq: int
    found: bool
    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    outcome: str = ""
