"""Messages about at-most-once claims and kept answers."""

import dataclasses

from azurevane._internal.models import messages


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Claim(messages.Message):
    """Asks whether a non-idempotent request is the first.

    Attributes:
        seq: with the sender's host and incarnation, names the attempt.
        run_ms: time after which the sender has surely ended it.
    """

    seq: int
    team: str
    request_id: str
    digest: str
    run_ms: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAck(messages.Message):
    """Answers a claim with what is known of the request.

    Attributes:
        outcome: value of ``claim_records.Outcome``.
        host: entry host of the attempt that came first.
    """

    seq: int
    outcome: str
    host: str
    status: int


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDone(messages.Message):
    """Reports how a claimed request ended; not-run gives it back."""

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
    """One header of a kept answer."""

    name: str
    value: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReply(messages.Message):
    """Carries a kept answer, if it is still there.

    Attributes:
        outcome: what the host knows of the request; empty if nothing.
    """

    seq: int
    found: bool
    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    outcome: str = ""
