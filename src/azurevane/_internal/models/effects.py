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


Effect: TypeAlias = Send | request_models.Dispatch | request_models.Refusal
