"""Orders for hosts that the leader wants sent."""

import dataclasses

from azurevane._internal.models import site


@dataclasses.dataclass(frozen=True, slots=True)
class HostCommand:
    """Move a host, or begin its maintenance.

    Attributes:
        pool: pool to move to; empty for maintenance.
        wave: number of the wave; 0 for a move.
    """

    host: site.Host
    reason: str
    pool: str = ""
    wave: int = 0
