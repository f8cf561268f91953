"""Cache of outcomes and answers of claimed requests that ran here."""

import collections
import dataclasses

from azurevane._internal.models import claim_messages

OUTCOME_TTL_S = 600.0
# Largest body that is cached for repeated requests.
MAX_BODY_BYTES = 64 * 1024
# Bounds of the whole cache. Beyond MAX_BYTES the oldest answers are
# dropped first; a repeated request is then told that it ran, without the
# answer.
MAX_BYTES = 64 * 1024 * 1024
MAX_OUTCOMES = 100_000
# Memory that the status and headers of an answer are counted with.
_HEAD_BYTES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class CachedAnswer:
    """A complete answer that can be sent again."""

    status: int
    headers: tuple[claim_messages.Header, ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Memory that the answer is counted with, in bytes."""
        return _HEAD_BYTES + len(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class CachedOutcome:
    """How a claimed request ended on this host.

    Attributes:
        outcome: ``ran`` or ``may-have-run``.
        expires_at: monotonic seconds.
    """

    outcome: str
    status: int
    expires_at: float
    answer: CachedAnswer | None


class AnswerCache:
    """Bounded cache of the outcomes of the last ten minutes."""

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
        """Store an outcome, with its answer if there is one."""
        self._remove(key)
        self.expire(now)
        self._outcome_by_key[key] = CachedOutcome(
            outcome, status, now + OUTCOME_TTL_S, answer
        )
        if answer is not None:
            self.size_bytes += answer.size_bytes
            self._keys_with_answer.append(key)
        while self.size_bytes > MAX_BYTES:
            self._drop_answer(self._keys_with_answer.popleft())
        while len(self._outcome_by_key) > MAX_OUTCOMES:
            self._remove(next(iter(self._outcome_by_key)))

    def find(self, now: float, key: tuple[str, str]) -> CachedOutcome | None:
        """Return the cached outcome of a request, if there is one."""
        self.expire(now)
        return self._outcome_by_key.get(key)

    def expire(self, now: float) -> None:
        """Drop outcomes older than ten minutes."""
        while self._outcome_by_key:
            key, cached = next(iter(self._outcome_by_key.items()))
            if cached.expires_at > now:
                return
            self._remove(key)

    def _drop_answer(self, key: tuple[str, str]) -> None:
        cached = self._outcome_by_key.get(key)
        if cached is not None and cached.answer is not None:
            self.size_bytes -= cached.answer.size_bytes
            self._outcome_by_key[key] = dataclasses.replace(
                cached, answer=None
            )

    def _remove(self, key: tuple[str, str]) -> None:
        self._drop_answer(key)
        self._outcome_by_key.pop(key, None)
