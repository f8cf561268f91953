"""The fleet state: what is in force at a site, under one version."""

import dataclasses
import functools
import hashlib
import zlib

import msgspec

from azurevane import exceptions
from azurevane._internal.models import manifest as manifest_models

# Bounds what a peer can make this process allocate; a manifest of the
# largest site (4,000 hosts) has about 0.5 MB of JSON.
MAX_UNPACKED_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ApiKey:
    """A team's key, stored as the hex SHA-256 of its text."""

    digest: str
    team: str


@dataclasses.dataclass(frozen=True)
class Seat:
    """A numbered right to a base part of each divided limit.

    Attributes:
        holder: name of the entry host that holds the seat; empty after
            its holder handed it over.
        incarnation: identifies one process start of the holder.
        epoch: fencing token; grows with each new holder.
        clean: whether the holder before handed the seat over with
            nothing in use or lent, so that its rights need no wait.
    """

    number: int
    holder: str
    incarnation: str
    epoch: int
    clean: bool = False


@dataclasses.dataclass(frozen=True)
class Restrictions:
    """What a change takes away; obeyed from its prepare on.

    Attributes:
        api_key_digests: withdrawn keys.
        zones: availability zones taken out.
        draining: names of runners and hosts that get no new work.
        limit_by_team: lowered upper limits.
        seats: numbers of seats that change hands.
        teams_by_queue: the only teams that may still use a queue; none
            if the queue is removed.
        slots_by_runner: lowered slots.
    """

    api_key_digests: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    limit_by_team: dict[str, int] = dataclasses.field(default_factory=dict)
    seats: tuple[int, ...] = ()
    teams_by_queue: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    slots_by_runner: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class ChangeRecord:
    """A change that an operator made, as the history remembers it.

    Attributes:
        change_id: chosen by the operator's client, for a later look-up.
        made_at: seconds since the epoch.
    """

    version: int
    change_id: str
    kind: str
    made_at: float


@dataclasses.dataclass(frozen=True)
class FleetState:
    """The versioned configuration that the whole site follows.

    Attributes:
        token: identifies the attempt that made this version.
        content_version: version of the last change by an operator;
            later versions changed only seats or nothing.
    """

    version: int = 0
    token: str = ""
    manifest: manifest_models.Manifest | None = None
    api_keys: tuple[ApiKey, ...] = ()
    zones_out: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    seats: tuple[Seat, ...] = ()
    content_version: int = 0
    history: tuple[ChangeRecord, ...] = ()

    @property
    def entry_seats(self) -> int:
        """Number of seats of the site; 0 before the first manifest."""
        return self.manifest.entry_seats if self.manifest else 0

    @functools.cached_property
    def team_by_digest(self) -> dict[str, str]:
        """Team names by key digest."""
        return {key.digest: key.team for key in self.api_keys}

    @functools.cached_property
    def seat_by_number(self) -> dict[int, Seat]:
        """Seats by number."""
        return {seat.number: seat for seat in self.seats}

    def seat_of(self, holder: str, incarnation: str) -> Seat | None:
        """Return the seat that a process start of a host holds."""
        for seat in self.seats:
            if (seat.holder, seat.incarnation) == (holder, incarnation):
                return seat
        return None


def digest_api_key(api_key: str) -> str:
    """Return the hex SHA-256 digest under which a key is stored."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def encode_state(state: FleetState) -> bytes:
    """Encode a fleet state as JSON."""
    return msgspec.json.encode(state)


def pack(data: bytes) -> bytes:
    """Compress the JSON of a message."""
    return zlib.compress(data)


def unpack(data: bytes) -> bytes:
    """Decompress the JSON of a message.

    Raises:
        MessageError: the data is damaged or unreasonably large.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise exceptions.MessageError(f"Damaged data: {error}") from error
    if not inflater.eof:
        raise exceptions.MessageError(
            f"Data is cut or has over {MAX_UNPACKED_BYTES} bytes"
        )
    return text


def decode_state(data: bytes) -> FleetState:
    """Decode a fleet state from JSON.

    Raises:
        msgspec.ValidationError: the data doesn't match the model.
    """
    return msgspec.json.decode(data, type=FleetState)
