"""Divided limits: permits that processes lend to each other.

A ``PermitKeeper`` owns the part of each limit that belongs to its seat. It
is a state machine without sockets or a clock: its methods take messages
and the time and return effects. The sum of the permits in use in all
processes never exceeds the limit, even if messages are lost or processes
are paused or killed.

Public API: names in this module change only with a major version.
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
