"""Commands for hosts that the leader plans and then sends."""

import dataclasses

from azurevane._internal.models import site


@dataclasses.dataclass(frozen=True, slots=True)
class HostCommand:
    """Command to move a host or to begin its maintenance.

    Attributes:
        reason: why it is sent, for the log.
        pool: pool to move to; empty for maintenance.
        wave: number of the wave; 0 for a move.
    """

    host: site.Host
    reason: str
    pool: str = ""
    wave: int = 0
