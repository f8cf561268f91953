"""Faults that can be injected into the HTTP stand-ins."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServerFaults:
    """Faults that a stand-in injects into its responses.

    Attributes:
        down: reject every call with 503.
        delay_s: apply the call, then delay its response by this time.
        slow_s: delay the call by this time, then apply and answer it.
        reject_share: reject this share of the calls with 503.
        calls_per_s: reject calls above this rate with 429.
        down_after: path prefix; go down after the next matching call,
            which is still applied and answered.
        only: path prefix; inject these faults into matching calls only.
        lose_answers: apply the call, then drop the connection.
        fail_all: answer 500 immediately.
        hang: accept the request and never answer.
        cut_body_at: close the connection after this many body bytes.
        draining: reject new work with the verdict not-run.
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
