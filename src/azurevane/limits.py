"""Divided limits: permits that processes lend each other.

A ``PermitKeeper`` owns the part of each limit that belongs to its seat. It
takes messages and times and returns effects; it has no socket and no
clock. The sum of the permits in use at all processes never exceeds the
limit, whatever is lost, paused or killed.

Public and stable: names here change only with a major version.
"""

from azurevane._internal.models.effects import PermitsGained
from azurevane._internal.models.effects import Send
from azurevane._internal.tasks.permit_keeper import PermitKeeper
from azurevane._internal.tasks.permits import runner_limit_key
from azurevane._internal.tasks.permits import team_limit_key

__all__ = [
    "PermitKeeper",
    "PermitsGained",
    "Send",
    "runner_limit_key",
    "team_limit_key",
]
