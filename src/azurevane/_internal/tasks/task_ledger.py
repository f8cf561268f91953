"""Counts the running tasks of each team over all pools of a daemon."""

import collections


class TaskLedger:
    """Running tasks per team, shared by the placers of all pools.

    One daemon holds all leases of a site, so the counts cover the whole
    fleet.

    Attributes:
        version: incremented whenever a count decreases.
    """

    def __init__(self) -> None:
        self.version = 0
        self._running_by_team: collections.Counter[str] = collections.Counter()

    def count_running(self, team: str) -> int:
        """Return the number of running tasks of a team."""
        return self._running_by_team[team]

    def record_start(self, team: str) -> None:
        """Count a task that has started or is about to start."""
        self._running_by_team[team] += 1

    def record_end(self, team: str) -> None:
        """Count a task that has ended."""
        assert self._running_by_team[team] > 0, "more ends than starts"
        self.version += 1
        self._running_by_team[team] -= 1
