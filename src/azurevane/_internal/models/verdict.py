"""Verdicts: whether a request may have run."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Says whether a request may have run at an upstream."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A request that got no whole answer.

    Attributes:
        verdict: whether the request may have run.
        reason: short stable identifier, such as ``connection-refused``.
        detail: text for people; holds no key and no body.
    """

    verdict: Verdict
    reason: str
    detail: str = ""
