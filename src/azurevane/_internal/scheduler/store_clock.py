"""Relation between the store's clock and this host's."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreClock:
    """What one response tells of the store's clock.

    The store read its clock at some time between the call and the handling
    of its response, so the difference of the clocks is known within bounds.
    Both clocks are monotonic; all times are in seconds.

    Attributes:
        least_offset_s: least time by which the store's clock is ahead.
        greatest_offset_s: greatest time by which it is ahead.
    """

    least_offset_s: float
    greatest_offset_s: float

    @classmethod
    def from_response(
        cls, store_time_s: float, *, sent_at: float, handled_at: float
    ) -> "StoreClock":
        """Return the relation that a response with a clock reading shows."""
        return cls(store_time_s - handled_at, store_time_s - sent_at)

    def earliest(self, local_time: float) -> float:
        """Return the least that the store's clock shows at a local time."""
        return local_time + self.least_offset_s

    def latest(self, local_time: float) -> float:
        """Return the most that the store's clock shows at a local time."""
        return local_time + self.greatest_offset_s

    def certainly_passed_at(self, store_time_s: float) -> float:
        """Return the local time from which the store's has been passed."""
        return store_time_s - self.least_offset_s
