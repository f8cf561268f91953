"""Messages by which entry hosts agree on the fleet state."""

import dataclasses

from azurevane._internal.models import messages


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(messages.Message):
    """Asks a peer to apply a change's restrictions from now on.

    Attributes:
        version: version that the change is to have.
        token: identifies the change.
        restrictions: compressed JSON.
        maker: host that makes the change and counts acknowledgements;
            empty if it is the sender. Peers forward the message to hosts
            that have missed it.
    """

    version: int
    token: str
    restrictions: bytes
    maker: str = ""


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class PrepareAck(messages.Message):
    """Answers a ``Prepare``.

    Attributes:
        ok: whether the sender applies the restrictions of the change.
    """

    token: str
    ok: bool


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Commit(messages.Message):
    """Carries an accepted fleet state, in full or as a difference.

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
    """Lifts the restrictions of a change that won't be accepted."""

    token: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest(messages.Message):
    """Asks for a fleet state newer than the given version."""

    version: int


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class StateReply(messages.Message):
    """Carries the fleet state in force.

    Attributes:
        state: compressed JSON; empty if there are differences.
        differences: one per version after the requested one, up to the
            version in force.
    """

    state: bytes
    row_version: int = 0
    differences: tuple[Commit, ...] = ()
