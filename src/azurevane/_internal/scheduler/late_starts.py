"""Starts without a response that a runner may still carry out.

A runner that accepted the stop of such a run rejects the start when it
arrives. The next incarnation of the runner knows nothing of the stop, so it
gets it anew.
"""

import dataclasses

from azurevane._internal.models import job as job_models

# A command without a response is carried out within this time, or not at all.
MAX_LATENESS_S = 15.0
# Least time between two stops of the same run.
STOP_RESEND_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LateStart:
    """Start of a run whose task may run elsewhere by now."""

    task: job_models.TaskName
    attempt: int


class LateStarts:
    """Late starts by the runner's id; times are monotonic seconds."""

    def __init__(self) -> None:
        # Until when each start may arrive.
        self._until_by_start_by_id: dict[str, dict[LateStart, float]] = {}
        # When the stops were last sent that the newest incarnation hasn't
        # accepted.
        self._stop_sent_at_by_id: dict[str, dict[LateStart, float]] = {}

    def record_released(
        self, runner_id: str, start: LateStart, sent_at: float
    ) -> None:
        """Record a start without a response whose run was released."""
        self._forget_old(sent_at)
        until_by_start = self._until_by_start_by_id.setdefault(runner_id, {})
        until_by_start[start] = sent_at + MAX_LATENESS_S

    def begin_incarnation(self, runner_id: str, now: float) -> None:
        """Have all starts stopped that a new incarnation may still get."""
        self._forget_old(now)
        starts = self._until_by_start_by_id.get(runner_id)
        if starts:
            self._stop_sent_at_by_id[runner_id] = dict.fromkeys(
                starts, float("-inf")
            )

    def record_stopped(self, runner_id: str, start: LateStart) -> None:
        """Record that the newest incarnation accepted a stop."""
        sent_at_by_start = self._stop_sent_at_by_id.get(runner_id, {})
        sent_at_by_start.pop(start, None)
        if not sent_at_by_start:
            self._stop_sent_at_by_id.pop(runner_id, None)

    def awaits_stops(self, runner_id: str) -> bool:
        """Whether the newest incarnation hasn't accepted all stops."""
        return runner_id in self._stop_sent_at_by_id

    def take_due_stops(self, runner_id: str, now: float) -> list[LateStart]:
        """Return the runs to stop now; their stops count as sent."""
        self._forget_old(now)
        sent_at_by_start = self._stop_sent_at_by_id.get(runner_id, {})
        due = [
            start
            for start, sent_at in sent_at_by_start.items()
            if now - sent_at >= STOP_RESEND_INTERVAL_S
        ]
        sent_at_by_start.update(dict.fromkeys(due, now))
        return due

    def _forget_old(self, now: float) -> None:
        for runner_id, starts in list(self._until_by_start_by_id.items()):
            for start in [s for s, until in starts.items() if now >= until]:
                del starts[start]
                self.record_stopped(runner_id, start)
            if not starts:
                del self._until_by_start_by_id[runner_id]
