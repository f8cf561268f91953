"""Counts the running tasks of each team over all pools of a daemon."""

import collections


class TaskLedger:
    """One count per team, shared by the placers of all pools.

    All leases of a site are held by one daemon, so this count is the
    fleet-wide one.
    """

    def __init__(self) -> None:
        self.version = 0
        self._running_by_team: collections.Counter[str] = collections.Counter()

    def running(self, team: str) -> int:
        """Return how many tasks of a team run."""
        return self._running_by_team[team]

    def started(self, team: str) -> None:
        """Count a task that has started, or is about to."""
        self._running_by_team[team] += 1

    def ended(self, team: str) -> None:
        """Count a task that has ended."""
        assert self._running_by_team[team] > 0, "more ends than starts"
        self.version += 1
        self._running_by_team[team] -= 1
