"""Messages about permits of divided limits."""

import dataclasses

from azurevane._internal.models import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one host has used for a team in a pool, and uses now.

    Attributes:
        slot_seconds: cumulative counter since the host started.
        running: requests that run there.
        waiting: requests that wait there.
    """

    pool: str
    team: str
    slot_seconds: float
    running: int = 0
    waiting: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Ask(messages.Message):
    """Asks for permits of a team, or for slots of a pool's runners.

    Attributes:
        ask_id: grows with each ask of a sender; the upper 32 bits
            identify the sender's incarnation.
        count: 0 withdraws the earlier asks for the same name.
    """

    ask_id: int
    kind: str
    name: str
    count: int
    rank: float
    waited_ms: int
    usage: tuple[Usage, ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Loan(messages.Message):
    """Lends permits; the lender has given them up already.

    A loan of 0 permits reports that what the sender has in use or lent
    fits into its base part of a lowered limit.

    Attributes:
        loan_id: the upper 32 bits identify the sender's incarnation.
        max_run_ms: longest run that the lender waits for after the loan
            has lapsed; no longer run may start under the loan.
        version: version of the fleet state in force at the sender.
        limit: limit that the sender's base part is of.
    """

    loan_id: int
    ask_id: int
    limit_key: str
    count: int
    max_run_ms: int = 0
    version: int = 0
    limit: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Renew(messages.Message):
    """Asks to extend loans, counted from when this was sent."""

    seq: int
    loan_ids: tuple[int, ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class RenewAck(messages.Message):
    """Names the loans that were extended."""

    seq: int
    loan_ids: tuple[int, ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Return(messages.Message):
    """Gives back permits of a loan.

    Attributes:
        count: all permits of the loan given back so far, so that a
            repeated or late message changes nothing.
    """

    loan_id: int
    count: int
