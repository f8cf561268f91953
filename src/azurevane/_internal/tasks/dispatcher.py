"""Queues submissions and dispatches them to runners' slots."""

import collections

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import request as request_models


class Dispatcher:
    """Owns the queued and the running submissions of one entry host."""

    def __init__(self) -> None:
        self._state = fleet.FleetState()
        self._waiting: collections.deque[request_models.Submission] = (
            collections.deque()
        )
        self._running_by_runner: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def running(self) -> int:
        """Number of dispatched submissions that haven't ended."""
        return self._running_by_runner.total()

    def configure(
        self, now: float, state: fleet.FleetState
    ) -> list[effects.Effect]:
        """Follow a new fleet state."""
        self._state = state
        return self._dispatch(now)

    def submit(
        self, now: float, submission: request_models.Submission
    ) -> list[effects.Effect]:
        """Queue a submission, or decide on it at once."""
        self._waiting.append(submission)
        return self._dispatch(now)

    def ended(
        self, now: float, outcome: request_models.RunResult
    ) -> list[effects.Effect]:
        """Free the slot of a submission that has ended."""
        self._running_by_runner[outcome.runner] -= 1
        return self._dispatch(now)

    def cancel(self, now: float, submission_id: str) -> list[effects.Effect]:
        """Drop a waiting submission whose caller has left."""
        self._waiting = collections.deque(
            item
            for item in self._waiting
            if item.submission_id != submission_id
        )
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Refuse what can't be answered in time; call ten times a second."""
        decided: list[effects.Effect] = []
        for item in list(self._waiting):
            if item.deadline <= now:
                self._waiting.remove(item)
                decided.append(
                    request_models.Refusal(
                        item.submission_id,
                        504,
                        "deadline-passed",
                        "The deadline passed while the request waited",
                    )
                )
        return decided + self._dispatch(now)

    def _dispatch(self, now: float) -> list[effects.Effect]:
        decided: list[effects.Effect] = []
        for item in list(self._waiting):
            dispatch = self._route(now, item)
            if dispatch is None:
                continue
            self._waiting.remove(item)
            self._running_by_runner[dispatch.runner] += 1
            decided.append(dispatch)
        return decided

    def _route(
        self, now: float, item: request_models.Submission
    ) -> request_models.Dispatch | None:
        manifest = self._state.manifest
        if manifest is None:
            return None
        queue = manifest.queue_by_name[item.queue]
        free = [
            (self._running_by_runner[runner.name], runner.name)
            for runner in manifest.runners
            if runner.pool == queue.pool
            and runner.zone not in self._state.zones_out
            and runner.name not in self._state.draining
            and self._running_by_runner[runner.name] < runner.slots
        ]
        if not free:
            return None
        outstanding, name = min(free)
        return request_models.Dispatch(
            item.submission_id,
            name,
            now + queue.max_run_s,
            (f"outstanding={outstanding}",),
        )
