"""What a state machine asks its daemon to do."""

import dataclasses
from typing import TypeAlias

from azurevane._internal.models import messages
from azurevane._internal.models import request as request_models


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer, named by its entry host name."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePrepared:
    """A majority of seats obeys the restrictions of a change."""

    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateInstalled:
    """A fleet state has been put in force on this host."""

    version: int
    previous: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitsGained:
    """Tell the dispatcher to try its waiting work again.

    Attributes:
        kind: ``team`` or ``pool``, as in ``Permits.want``.
        name: name of that team or pool.
    """

    kind: str
    name: str


Effect: TypeAlias = (
    Send
    | PermitsGained
    | ChangePrepared
    | StateInstalled
    | request_models.Dispatch
    | request_models.Refusal
)
