"""Messages about the fleet state."""

import dataclasses

from azurevane._internal.models import messages


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(messages.Message):
    """Asks a peer to obey a change's restrictions from now on.

    Attributes:
        restrictions: compressed JSON.
        maker: host that makes the change and counts acknowledgements;
            peers pass the message on to hosts that have missed it.
    """

    version: int
    token: str
    restrictions: bytes
    maker: str = ""


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class PrepareAck(messages.Message):
    """Says that the restrictions of a change are obeyed here."""

    token: str
    ok: bool


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Commit(messages.Message):
    """Carries an accepted fleet state, whole or as a difference.

    Attributes:
        state: compressed JSON; empty if there is a difference.
        row_version: version of the table's row that holds the state.
        base_version: version to which the difference applies.
        difference: compressed JSON.
    """

    state: bytes
    row_version: int = 0
    base_version: int = 0
    difference: bytes = b""


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Abort(messages.Message):
    """Lifts the restrictions of a change that wasn't accepted."""

    token: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest(messages.Message):
    """Asks for a fleet state newer than a version."""

    version: int


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class StateReply(messages.Message):
    """Carries the fleet state in force.

    Attributes:
        state: compressed JSON; empty if there are differences.
        differences: from the version asked for up to this one.
    """

    state: bytes
    row_version: int = 0
    differences: tuple[Commit, ...] = ()
