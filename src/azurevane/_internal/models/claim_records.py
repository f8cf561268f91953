"""Records, journal entries and effects of at-most-once claims."""

import dataclasses
import enum
from typing import Any, TypeAlias

from azurevane._internal.models import claim_messages
from azurevane._internal.models import effects


class Outcome(enum.Enum):
    """Answer to an entry host that claims a request.

    Only ``FIRST`` lets the host run the request. ``REFUSED`` means that
    the claim couldn't be decided; ``MISMATCH``, that the same request id
    was claimed with another digest.
    """

    FIRST = "first"
    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
    MISMATCH = "mismatch"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to run a request, by one incarnation of an entry host."""

    host: str
    incarnation: str
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A claim, as stored in the journal."""

    team: str
    request_id: str
    digest: str
    attempt: Attempt
    run_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """Team and request id."""
        return self.team, self.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeEntry:
    """The outcome of an attempt, as stored in the journal."""

    team: str
    request_id: str
    attempt: Attempt
    verdict: str
    status: int

    @property
    def key(self) -> tuple[str, str]:
        """Team and request id."""
        return self.team, self.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """One batch of journal entries; segments are loaded by number."""

    number: int
    claims: tuple[ClaimEntry, ...] = ()
    outcomes: tuple[OutcomeEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JournalHead:
    """The row on which each write to a seat's journal is conditional.

    Attributes:
        epoch: epoch of the holder that wrote the row.
        token: identifies the write.
        next_number: number of the next segment.
    """

    epoch: int
    incarnation: str
    token: str
    next_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJournal:
    """A journal as read from the store; version 0 means there is none."""

    head_version: int
    head: JournalHead | None
    segments: tuple[Segment, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJournal:
    """Effect: read the journal of a seat for its holder in an epoch."""

    seat: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendJournal:
    """Effect: write a segment if the head row has the stated version.

    Attributes:
        dropped: numbers of segments that the same write deletes.
    """

    seat: int
    head_version: int
    head: JournalHead
    segment: Segment
    dropped: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Effect: pass the outcome of a claim to the request's handler.

    Attributes:
        answer: cached answer of the first attempt, if there is one.
    """

    seq: int
    outcome: Outcome
    answer: claim_messages.AnswerReply | None = None


ClaimEffect: TypeAlias = (
    effects.Send | ReadJournal | AppendJournal | ClaimDecided
)
RequestKey: TypeAlias = tuple[str, str]
JsonObject: TypeAlias = dict[str, Any]
