"""Counts of the runs that the runners of one stand-in process executed."""

import collections
import dataclasses
from typing import Any

import msgspec


def _counter() -> Any:
    return dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass
class RunRecord:
    """Counts of runs, shared by the runners of one process.

    Attributes:
        runs_by_request: number of starts of each request id.
        slot_seconds_by_team: total duration of the ended runs of a team.
    """

    runs_by_request: collections.Counter[str] = _counter()
    running_by_team: collections.Counter[str] = _counter()
    highest_by_team: collections.Counter[str] = _counter()
    running_by_runner: collections.Counter[str] = _counter()
    highest_by_runner: collections.Counter[str] = _counter()
    starts_by_runner: collections.Counter[str] = _counter()
    slot_seconds_by_team: collections.defaultdict[str, float] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(float)
        )
    )

    def record_start(self, request_id: str, runner: str, team: str) -> None:
        """Count the start of a run."""
        self.runs_by_request[request_id] += 1
        self.starts_by_runner[runner] += 1
        self.running_by_team[team] += 1
        self.running_by_runner[runner] += 1
        self.highest_by_team[team] = max(
            self.highest_by_team[team], self.running_by_team[team]
        )
        self.highest_by_runner[runner] = max(
            self.highest_by_runner[runner], self.running_by_runner[runner]
        )

    def record_end(self, runner: str, team: str, seconds: float) -> None:
        """Count the end of a run."""
        self.running_by_team[team] -= 1
        self.running_by_runner[runner] -= 1
        self.slot_seconds_by_team[team] += seconds

    def to_json_values(self) -> dict[str, Any]:
        """Return the record as JSON values."""
        plain: dict[str, Any] = msgspec.to_builtins(self)
        return plain
