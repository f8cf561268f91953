"""Decodes the rows in which runners register in the store."""

import msgspec

from azurevane import exceptions
from azurevane._internal.models import site
from azurevane._internal.platform import addresses
from azurevane._internal.platform import capacity as wire_capacity
from azurevane._internal.utils import json_decoding

TABLE = "servers"
# Times beyond this many milliseconds, about 30,000 years, are no times.
_MAX_MS = 1e15


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: wire_capacity.WireCapacity
    # The runner's kind, then its rack.
    labels: list[str]
    clock_ms: float = msgspec.field(name="clockMs")
    # Unix milliseconds of the process's start, not of the entry.
    born: int = 0
    remaining_ms: float | None = msgspec.field(
        name="remainingMs", default=None
    )


def decode_runner(runner_id: str, value: bytes) -> site.Runner:
    """Return the runner that a row's value describes.

    Raises:
        msgspec.MsgspecError: the value can't be decoded, or a field is
            missing, has the wrong type or an unknown value.
    """
    if not runner_id.isprintable():
        # It is sent to the runner as the value of a header.
        raise msgspec.ValidationError("id has unprintable characters")
    entry = json_decoding.decode(value, _Entry)
    if entry.state not in ("ready", "draining"):
        raise msgspec.ValidationError(f"unknown state {entry.state!r}")
    if entry.capacity.cpu <= 0 or entry.capacity.memory <= 0:
        raise msgspec.ValidationError("capacity has no cpu or no memMb")
    try:
        addresses.parse_address(entry.address)
    except exceptions.SettingsError as error:
        raise msgspec.ValidationError(str(error)) from error
    if not 0 <= entry.clock_ms < _MAX_MS or not 0 <= entry.born < _MAX_MS:
        raise msgspec.ValidationError("clockMs or born is out of range")
    draining = entry.state == "draining"
    remaining_s = (entry.remaining_ms or 0.0) / 1000
    return site.Runner(
        id=runner_id,
        started_at=entry.born / 1000,
        address=entry.address,
        service=entry.service,
        zone=entry.zone,
        draining=draining,
        capacity=entry.capacity.decode(),
        labels=frozenset(entry.labels),
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
        clock_s=entry.clock_ms / 1000,
        leaves_in_s=remaining_s if draining else None,
    )
