"""Paces calls to a peer that handles one call at a time, in turn.

Designed for a peer that may be slower than usual, not answer for seconds, or
lose single responses, which the caller can't tell apart. A call that is given
up still takes the peer's time. So an overdue call stays open, and further
calls are sent beside it at growing intervals and only up to a limit.
"""

import dataclasses

# Calls that are open at a time, far below the number that a peer of the
# platform queues. A further one takes the place of the oldest.
MAX_OPEN_CALLS = 8
# A call is overdue after this multiple of the time that the peer should take,
# plus a margin for the network and for a busy process.
OVERDUE_FACTOR = 2.0
OVERDUE_MARGIN_S = 0.5
# The time after which a call is overdue doubles with each overdue call up to
# this, unless the peer is slower. The pause after a failed call does, too.
MAX_PAUSE_S = 5.0
# Pause after a failed call; it doubles up to the maximum.
INITIAL_RETRY_DELAY_S = 0.25
# Stands for the time that a peer should take where none is known.
MIN_EXPECTED_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenCall:
    sent_at: float
    expected_s: float


class SerialCalls:
    """Calls to one peer and when the next may be sent; monotonic seconds.

    Args:
        max_pause_s: longest pause after a failed call, or between overdue
            calls unless the peer is slower.
    """

    def __init__(self, max_pause_s: float = MAX_PAUSE_S) -> None:
        self._max_pause_s = max_pause_s
        self._last_number = 0
        # In the order in which they were sent.
        self._open_call_by_number: dict[int, _OpenCall] = {}
        # Overdue and failed calls since the last response.
        self._failures = 0
        # Multiple of the expected time that the last response took.
        self._slowness = 1.0
        self._last_response_at = float("-inf")
        self._not_before = float("-inf")

    @property
    def open_count(self) -> int:
        """Number of calls without a response or failure."""
        return len(self._open_call_by_number)

    def next_call_at(self) -> float:
        """Return when the next call may be sent."""
        if not self._open_call_by_number:
            return self._not_before
        calls = list(self._open_call_by_number.values())
        waiting_since = max(calls[-1].sent_at, self._last_response_at)
        overdue_after_s = (
            OVERDUE_FACTOR * calls[0].expected_s * self._slowness
            + OVERDUE_MARGIN_S
        )
        pause_s = max(
            overdue_after_s,
            min(overdue_after_s * 2**self._failures, self._max_pause_s),
        )
        return max(waiting_since + pause_s, self._not_before)

    def take_surplus(self) -> list[int]:
        """Return the calls to give up before a further one is sent."""
        count = self.open_count + 1 - MAX_OPEN_CALLS
        surplus = list(self._open_call_by_number)[: max(count, 0)]
        for number in surplus:
            del self._open_call_by_number[number]
        return surplus

    def begin(self, now: float, expected_s: float) -> int:
        """Record that a call is sent; return its number.

        Args:
            expected_s: time that the peer should work on the call.
        """
        if self._open_call_by_number:
            self._failures += 1
        self._last_number += 1
        self._open_call_by_number[self._last_number] = _OpenCall(
            now, max(expected_s, MIN_EXPECTED_S)
        )
        return self._last_number

    def record_response(self, number: int, now: float) -> list[int]:
        """Record a response.

        Returns:
            Numbers of the earlier calls, whose responses are lost since the
            peer handles the calls in turn.
        """
        call = self._open_call_by_number.pop(number, None)
        if call is None:
            return []
        begun_at = max(call.sent_at, self._last_response_at)
        self._slowness = max((now - begun_at) / call.expected_s, 1.0)
        self._last_response_at = now
        self._failures = 0
        lost = [other for other in self._open_call_by_number if other < number]
        for other in lost:
            del self._open_call_by_number[other]
        return lost

    def record_failure(self, number: int, now: float) -> None:
        """Record that a call ended without a usable response."""
        if self._open_call_by_number.pop(number, None) is None:
            return
        delay_s = min(
            INITIAL_RETRY_DELAY_S * 2**self._failures, self._max_pause_s
        )
        self._not_before = now + delay_s
        self._failures += 1
