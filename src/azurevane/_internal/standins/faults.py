"""Faults that a stand-in can be told to show."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Faults:
    """What a stand-in does wrong.

    Attributes:
        down: refuse every call with 503.
        down_prefix: refuse the calls whose path starts with it.
        delay_s: answer this much later.
        lose_answers: take effect, then drop the connection.
        fail_all: answer 500 at once.
        hang: accept and never answer.
        cut_body_at: close after this many bytes of the body.
        draining: refuse new work as not run.
    """

    down: bool = False
    down_prefix: str = ""
    delay_s: float = 0.0
    lose_answers: bool = False
    fail_all: bool = False
    hang: bool = False
    cut_body_at: int | None = None
    draining: bool = False
