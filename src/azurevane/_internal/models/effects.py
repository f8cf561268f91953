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
class PermitsGained:
    """Tell the dispatcher to try its waiting work again.

    Attributes:
        kind: ``team`` or ``pool``, as in ``Permits.want``.
        name: name of that team or pool.
    """

    kind: str
    name: str


Effect: TypeAlias = (
    Send | PermitsGained | request_models.Dispatch | request_models.Refusal
)
