"""Faults that a stand-in can be told to show."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Faults:
    """What a stand-in does wrong.

    Attributes:
        down: refuse every call with 503.
        delay_s: take effect, then answer this much later.
        slow_s: take effect this much later, then answer.
        reject_share: refuse this share of the calls with 503.
        calls_per_s: refuse calls above this rate with 429.
        down_after: be down after the next call whose path starts so has
            taken effect; its answer is still given.
        only: show these faults only to calls whose path starts so.
        lose_answers: take effect, then drop the connection.
        fail_all: answer 500 at once.
        hang: accept and never answer.
        cut_body_at: close after this many bytes of the body.
        draining: refuse new work as not run.
    """

    down: bool = False
    delay_s: float = 0.0
    slow_s: float = 0.0
    reject_share: float = 0.0
    calls_per_s: float | None = None
    down_after: str = ""
    only: str = ""
    lose_answers: bool = False
    fail_all: bool = False
    hang: bool = False
    cut_body_at: int | None = None
    draining: bool = False
