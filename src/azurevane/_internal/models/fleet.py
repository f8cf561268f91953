"""The fleet state: what is in force at a site, under one version."""

import dataclasses
import functools
import hashlib

import msgspec

from azurevane._internal.models import manifest as manifest_models


@dataclasses.dataclass(frozen=True)
class ApiKey:
    """A team's key, stored as the hex SHA-256 of its text."""

    digest: str
    team: str


@dataclasses.dataclass(frozen=True)
class Seat:
    """A numbered right to a base part of each divided limit.

    Attributes:
        holder: name of the entry host that holds the seat.
        incarnation: identifies one process start of the holder.
        epoch: fencing token; grows with each new holder.
    """

    number: int
    holder: str
    incarnation: str
    epoch: int


@dataclasses.dataclass(frozen=True)
class Restrictions:
    """What a change takes away; obeyed from its prepare on.

    Attributes:
        api_key_digests: withdrawn keys.
        zones: availability zones taken out.
        draining: names of runners and hosts that get no new work.
        limit_by_team: lowered upper limits.
        seats: numbers of seats that change hands.
    """

    api_key_digests: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    limit_by_team: dict[str, int] = dataclasses.field(default_factory=dict)
    seats: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class ChangeRecord:
    """An accepted change, as the history remembers it.

    Attributes:
        token: identifies the change; chosen by whoever made it.
        made_at: seconds since the epoch.
    """

    version: int
    token: str
    kind: str
    made_at: float


@dataclasses.dataclass(frozen=True)
class FleetState:
    """The versioned configuration that the whole site follows."""

    version: int = 0
    token: str = ""
    manifest: manifest_models.Manifest | None = None
    api_keys: tuple[ApiKey, ...] = ()
    zones_out: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    seats: tuple[Seat, ...] = ()
    history: tuple[ChangeRecord, ...] = ()

    @functools.cached_property
    def team_by_digest(self) -> dict[str, str]:
        """Team names by key digest."""
        return {key.digest: key.team for key in self.api_keys}

    @functools.cached_property
    def seat_by_number(self) -> dict[int, Seat]:
        """Seats by number."""
        return {seat.number: seat for seat in self.seats}


def digest_api_key(api_key: str) -> str:
    """Return the hex SHA-256 digest under which a key is stored."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def encode_state(state: FleetState) -> bytes:
    """Encode a fleet state as JSON."""
    return msgspec.json.encode(state)


def decode_state(data: bytes) -> FleetState:
    """Decode a fleet state from JSON.

    Raises:
        msgspec.ValidationError: the data doesn't match the model.
    """
    return msgspec.json.decode(data, type=FleetState)
