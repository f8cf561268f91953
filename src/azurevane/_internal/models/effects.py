"""Effects that a state machine returns for its daemon to carry out."""

import dataclasses
from typing import TypeAlias

from azurevane._internal.models import messages
from azurevane._internal.models import request as request_models


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer, identified by its entry host name."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePrepared:
    """Enough seats have acknowledged the restrictions of a change."""

    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateInstalled:
    """A fleet state has come into force on this host."""

    version: int
    previous: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitsGained:
    """Tell the dispatcher to retry its waiting work.

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
