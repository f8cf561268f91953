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
    """A request without a complete response.

    Attributes:
        verdict: whether the request may have run.
        reason: short stable identifier, such as ``connection-refused``.
        detail: human-readable text; contains no API key and no body.
    """

    verdict: Verdict
    reason: str
    detail: str = ""
