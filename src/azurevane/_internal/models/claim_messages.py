"""Messages about at-most-once claims and kept answers."""

import dataclasses

from azurevane._internal.models import messages


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Claim(messages.Message):
    """Asks whether a non-idempotent request is the first."""

    seq: int
    team: str
    request_id: str
    digest: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAck(messages.Message):
    """Answers a claim with what is known of the request."""

    seq: int
    outcome: str
    host: str
    status: int


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDone(messages.Message):
    """Reports how a claimed request ended."""

    team: str
    request_id: str
    verdict: str
    status: int


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
    """Carries a kept answer, if it is still there."""

    seq: int
    found: bool
    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
