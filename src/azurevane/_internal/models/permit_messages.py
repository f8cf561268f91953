"""Messages about the permits of limits divided between entry hosts."""

import dataclasses

from azurevane._internal.models import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Usage counters of one team in one pool at one entry host.

    Attributes:
        slot_seconds: slot seconds used since the host started.
        running: requests that run at the host.
        waiting: requests that wait at the host.
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
        ask_id: increases with each ask of a sender; the upper 32 bits
            identify the sender's incarnation.
        kind: ``team`` or ``pool``; other kinds only carry ``usage``.
        count: permits wanted; 0 withdraws the sender's previous asks for
            the same name.
        rank: used slot seconds divided by weight of the waiter with the
            highest priority; the lowest is served first.
        waited_ms: milliseconds for which this waiter has waited.
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
    """Lends permits, which the lender has already removed from its own.

    A loan of 0 permits reports that the permits which the sender uses or
    has lent fit into its base part of a lowered limit.

    Attributes:
        loan_id: the upper 32 bits identify the sender's incarnation.
        max_run_ms: longest run that may start under the loan, in
            milliseconds; the lender waits this long after the loan has
            expired before it reclaims the permits.
        version: version of the fleet state in force at the sender.
        limit: limit from which the sender computes its base part.
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
    """Asks the lender to extend loans, from when this message is sent."""

    seq: int
    loan_ids: tuple[int, ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class RenewAck(messages.Message):
    """Lists the loans that were extended."""

    seq: int
    loan_ids: tuple[int, ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Return(messages.Message):
    """Returns permits of a loan to the lender.

    Attributes:
        count: all permits of the loan returned so far, so that a
            repeated or late message has no effect.
    """

    loan_id: int
    count: int
