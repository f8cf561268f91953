"""Outcomes and answers of claimed requests that ran on this host."""

import collections
import dataclasses

from azurevane._internal.models import claim_messages

KEEP_S = 600.0
# Largest body that is kept for a repeat.
MAX_BODY_BYTES = 64 * 1024
# Bounds for all of them. When they are used up, the oldest bodies go
# first: a repeat is then told that it ran, without the answer.
MAX_BYTES = 64 * 1024 * 1024
MAX_OUTCOMES = 100_000
_HEAD_BYTES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class CachedAnswer:
    """A whole answer that can be given again."""

    status: int
    headers: tuple[claim_messages.Header, ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Memory that it is counted with."""
        return _HEAD_BYTES + len(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class CachedOutcome:
    """How a claimed request ended here.

    Attributes:
        outcome: ``ran`` or ``may-have-run``.
        until: monotonic seconds.
    """

    outcome: str
    status: int
    until: float
    answer: CachedAnswer | None


class AnswerCache:
    """Owns the outcomes of the last ten minutes, within bounds."""

    def __init__(self) -> None:
        self._outcome_by_key: collections.OrderedDict[
            tuple[str, str], CachedOutcome
        ] = collections.OrderedDict()
        self._keys_with_answer: collections.deque[tuple[str, str]] = (
            collections.deque()
        )
        self.size_bytes = 0

    def add(
        self,
        now: float,
        key: tuple[str, str],
        outcome: str,
        status: int,
        answer: CachedAnswer | None,
    ) -> None:
        """Keep an outcome, and the answer if there is one."""
        self._remove(key)
        self.expire(now)
        self._outcome_by_key[key] = CachedOutcome(
            outcome, status, now + KEEP_S, answer
        )
        if answer is not None:
            self.size_bytes += answer.size_bytes
            self._keys_with_answer.append(key)
        while self.size_bytes > MAX_BYTES:
            self._drop_answer(self._keys_with_answer.popleft())
        while len(self._outcome_by_key) > MAX_OUTCOMES:
            self._remove(next(iter(self._outcome_by_key)))

    def find(self, now: float, key: tuple[str, str]) -> CachedOutcome | None:
        """Return what is kept of a request."""
        self.expire(now)
        return self._outcome_by_key.get(key)

    def expire(self, now: float) -> None:
        """Drop what is older than ten minutes."""
        while self._outcome_by_key:
            key, kept = next(iter(self._outcome_by_key.items()))
            if kept.until > now:
                return
            self._remove(key)

    def _drop_answer(self, key: tuple[str, str]) -> None:
        kept = self._outcome_by_key.get(key)
        if kept is not None and kept.answer is not None:
            self.size_bytes -= kept.answer.size_bytes
            self._outcome_by_key[key] = dataclasses.replace(kept, answer=None)

    def _remove(self, key: tuple[str, str]) -> None:
        self._drop_answer(key)
        self._outcome_by_key.pop(key, None)
