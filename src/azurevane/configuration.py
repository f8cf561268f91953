"""Versioned configuration whose version never decreases.

A ``StateKeeper`` holds the accepted state of a site and applies prepared
restrictions before they are accepted. It also knows whether its state was
confirmed recently enough to admit new work.

Public API: names in this module change only with a major version.
"""

from azurevane._internal.models.fleet import ApiKey
from azurevane._internal.models.fleet import FleetState
from azurevane._internal.models.fleet import Restrictions
from azurevane._internal.models.fleet import Seat
from azurevane._internal.models.manifest import Manifest
from azurevane._internal.models.manifest import Pool
from azurevane._internal.models.manifest import Queue
from azurevane._internal.models.manifest import Runner
from azurevane._internal.models.manifest import Team
from azurevane._internal.tasks.state_keeper import StateKeeper

__all__ = [
    "ApiKey",
    "FleetState",
    "Manifest",
    "Pool",
    "Queue",
    "Restrictions",
    "Runner",
    "Seat",
    "StateKeeper",
    "Team",
]
