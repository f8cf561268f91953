"""At-most-once claims: records, journal and effects."""

import dataclasses
import enum
from typing import Any, TypeAlias

from azurevane._internal.models import claim_messages
from azurevane._internal.models import effects


class Outcome(enum.Enum):
    """What an entry host is told about a request that it claims."""

    FIRST = "first"
    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
    MISMATCH = "mismatch"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of one process start of an entry host."""

    host: str
    incarnation: str
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A claim as it stands in the journal."""

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
    """How an attempt ended, as it stands in the journal."""

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
    """One batch of the journal; segments are applied by number."""

    number: int
    claims: tuple[ClaimEntry, ...] = ()
    outcomes: tuple[OutcomeEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JournalHead:
    """The row on which each write of a seat's journal is conditional.

    Attributes:
        epoch: of the holder that wrote it.
        token: identifies the write.
        next_number: number of the next segment.
    """

    epoch: int
    incarnation: str
    token: str
    next_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJournal:
    """A journal as read; version 0 means that there is none."""

    head_version: int
    head: JournalHead | None
    segments: tuple[Segment, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJournal:
    """Effect: read the journal of a seat, for its holder of an epoch."""

    seat: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendJournal:
    """Effect: write a segment, if the head has the stated version.

    Attributes:
        dropped: numbers of segments that are deleted with it.
    """

    seat: int
    head_version: int
    head: JournalHead
    segment: Segment
    dropped: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Effect: go on with a request, as its claim was decided.

    Attributes:
        answer: the first's kept answer, if there is one.
    """

    seq: int
    outcome: Outcome
    answer: claim_messages.AnswerReply | None = None


ClaimEffect: TypeAlias = (
    effects.Send | ReadJournal | AppendJournal | ClaimDecided
)
RequestKey: TypeAlias = tuple[str, str]
JsonObject: TypeAlias = dict[str, Any]
