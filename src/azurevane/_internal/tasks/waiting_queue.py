"""Submissions of one team that wait for a pool, in order of service."""

import collections
import heapq

from azurevane._internal.models import request as request_models


class WaitingQueue:
    """Order by arrival, with an index of the deadlines."""

    def __init__(self) -> None:
        self._item_by_id: collections.OrderedDict[
            str, request_models.Submission
        ] = collections.OrderedDict()
        self._deadlines: list[tuple[float, str]] = []
        self.size_bytes = 0

    def __len__(self) -> int:
        return len(self._item_by_id)

    def add(self, item: request_models.Submission, max_wait_s: float) -> None:
        """Append a submission; one that is retried goes to the front.

        It doesn't pass a submission that has waited for ``max_wait_s``
        when the retried one arrived.
        """
        last = next(reversed(self._item_by_id.values()), None)
        first = next(iter(self._item_by_id.values()), None)
        self._item_by_id[item.submission_id] = item
        self.size_bytes += item.size_bytes
        heapq.heappush(self._deadlines, (item.deadline, item.submission_id))
        if last is None or first is None:
            return
        overdue = item.arrived_at - first.arrived_at >= max_wait_s
        if item.arrived_at < last.arrived_at and not overdue:
            self._item_by_id.move_to_end(item.submission_id, last=False)

    def first(self) -> request_models.Submission:
        """Return the submission that is served next."""
        return next(iter(self._item_by_id.values()))

    def get(self, submission_id: str) -> request_models.Submission:
        """Return a submission that waits here."""
        return self._item_by_id[submission_id]

    def take(self, submission_id: str) -> request_models.Submission | None:
        """Remove a submission, if it waits here."""
        item = self._item_by_id.pop(submission_id, None)
        if item is not None:
            self.size_bytes -= item.size_bytes
        if len(self._deadlines) > 2 * len(self._item_by_id) + 64:
            self._deadlines = [
                (waiting.deadline, waiting.submission_id)
                for waiting in self._item_by_id.values()
            ]
            heapq.heapify(self._deadlines)
        return item

    def take_due(self, before: float) -> list[request_models.Submission]:
        """Remove every submission whose deadline isn't after a time."""
        due = []
        while self._deadlines and self._deadlines[0][0] <= before:
            submission_id = heapq.heappop(self._deadlines)[1]
            item = self._item_by_id.pop(submission_id, None)
            if item is not None:
                self.size_bytes -= item.size_bytes
                due.append(item)
        return due

    def items(self) -> list[request_models.Submission]:
        """Return all in order of service."""
        return list(self._item_by_id.values())
