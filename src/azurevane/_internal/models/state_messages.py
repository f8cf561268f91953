"""Messages about the fleet state."""

import dataclasses

from azurevane._internal.models import messages


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(messages.Message):
    """Asks a peer to obey a change's restrictions from now on."""

    version: int
    token: str
    restrictions: bytes


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class PrepareAck(messages.Message):
    """Says that the restrictions of a change are obeyed here."""

    token: str
    ok: bool


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Commit(messages.Message):
    """Carries an accepted fleet state, as JSON."""

    state: bytes


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
    """Carries the fleet state in force, as JSON."""

    state: bytes
