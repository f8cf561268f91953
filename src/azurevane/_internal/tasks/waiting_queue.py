"""Queue of one team's submissions that wait for a pool."""

import collections
import heapq

from azurevane._internal.models import request as request_models


class WaitingQueue:
    """Submissions in order of service, with an index by deadline."""

    def __init__(self) -> None:
        self._item_by_id: collections.OrderedDict[
            str, request_models.Submission
        ] = collections.OrderedDict()
        self._deadlines: list[tuple[float, str]] = []
        self.size_bytes = 0
        self._latest_arrival = 0.0

    def __len__(self) -> int:
        return len(self._item_by_id)

    def add(self, item: request_models.Submission, max_wait_s: float) -> None:
        """Append a submission, or insert a retried one at the front.

        A retried submission is recognised by its earlier arrival. It is
        appended if the first submission arrived ``max_wait_s`` or more
        before it.
        """
        first = next(iter(self._item_by_id.values()), None)
        self._item_by_id[item.submission_id] = item
        self.size_bytes += item.size_bytes
        heapq.heappush(self._deadlines, (item.deadline, item.submission_id))
        if item.arrived_at >= self._latest_arrival or first is None:
            self._latest_arrival = item.arrived_at
        elif item.arrived_at - first.arrived_at < max_wait_s:
            self._item_by_id.move_to_end(item.submission_id, last=False)

    def first(self) -> request_models.Submission:
        """Return the submission to serve next."""
        return next(iter(self._item_by_id.values()))

    def get(self, submission_id: str) -> request_models.Submission:
        """Return a queued submission by its id."""
        return self._item_by_id[submission_id]

    def remove(self, submission_id: str) -> request_models.Submission | None:
        """Remove a submission; return None if it isn't queued here."""
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

    def remove_due(self, before: float) -> list[request_models.Submission]:
        """Remove and return submissions due at ``before`` or earlier."""
        due = []
        while self._deadlines and self._deadlines[0][0] <= before:
            submission_id = heapq.heappop(self._deadlines)[1]
            item = self._item_by_id.pop(submission_id, None)
            if item is not None:
                self.size_bytes -= item.size_bytes
                due.append(item)
        return due

    def items(self) -> list[request_models.Submission]:
        """Return all submissions in order of service."""
        return list(self._item_by_id.values())
