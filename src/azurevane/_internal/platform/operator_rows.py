"""Rows that the site's operators write: configuration, zones, waves.

A route of the protocol is a queue here, and a tenant is a team.
"""

import logging
import re
from typing import Any, TypeVar

import msgspec

from azurevane._internal.models import site
from azurevane._internal.platform import capacity as wire_capacity
from azurevane._internal.utils import json_decoding

logger = logging.getLogger(__name__)

_RowT = TypeVar("_RowT")
_NumberT = TypeVar("_NumberT", int, float)

TABLE = "op"
STATUS_TABLE = "status"
CONFIG_KEY = "config"
_ZONE_PREFIX = "evacuate/"
_WAVE_PREFIX = "wave/"
_WAVE_NUMBER = re.compile("[0-9]{1,18}")
# Larger numbers can't be stored as they are. Those of times are milliseconds.
_MAX_NUMBER = 10**15


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str = msgspec.field(name="pathPrefix")
    service: str
    priority: int = 0
    attempts: int = 1
    factor: float = msgspec.field(name="deadlineFactor", default=1.0)
    # Added to the critical path's length times the factor; not a latency
    # bound by itself.
    extra_ms: float = msgspec.field(name="targetLatencyMs", default=0.0)
    timeout_ms: float = msgspec.field(name="timeoutMs", default=0.0)
    public: bool = False
    # Set if the queue's placements need advice, also where its times can't
    # be decoded.
    advisor: Any = None


class _Advisor(msgspec.Struct):
    decide_ms: float = msgspec.field(name="decideMs", default=0.0)
    per_runner_ms: float = msgspec.field(name="perItemMs", default=0.0)
    valid_ms: float = msgspec.field(name="validMs", default=0.0)


class _Service(msgspec.Struct):
    name: str
    standby: bool = False
    # Whether the runners enforce their capacity themselves.
    constraints: bool = True


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = msgspec.field(name="apiKeys", default_factory=list)
    weight: float = 1.0
    cap: wire_capacity.WireCapacity = msgspec.field(
        default_factory=wire_capacity.WireCapacity
    )


class _Limits(msgspec.Struct):
    header_bytes: int = msgspec.field(name="maxHeaderBytes", default=16384)
    body_bytes: int = msgspec.field(name="maxBodyBytes", default=262144)
    header_ms: float = msgspec.field(name="headerTimeoutMs", default=3000)
    idle_ms: float = msgspec.field(name="idleTimeoutMs", default=15000)


class _Config(msgspec.Struct):
    version: int
    # Routes, services and tenants are decoded one by one: a malformed one is
    # left out, while the others are in force and withdrawn keys are not.
    routes: list[Any]
    services: list[Any] = []
    tenants: list[Any] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Wave(msgspec.Struct):
    wave: int
    machines: list[str]
    duration_s: float = msgspec.field(name="durationS", default=0.0)
    # Bound on the machines in maintenance at once, not a resource limit.
    cap: int = 1


def _convert_each(rows: list[Any], row_type: type[_RowT]) -> list[_RowT]:
    converted = []
    for row in rows:
        try:
            converted.append(msgspec.convert(row, row_type))
        except msgspec.ValidationError as error:
            logger.warning("Malformed entry in the configuration: %s", error)
    return converted


def decode_config(value: bytes) -> site.SiteConfig:
    """Return the configuration of a row's value.

    Routes, services and tenants that are malformed are left out.

    Raises:
        msgspec.MsgspecError: the value can't be decoded.
    """
    config = json_decoding.decode(value, _Config)
    if not 0 <= config.version <= _MAX_NUMBER:
        # No later version would be in force after it.
        raise msgspec.ValidationError("version is out of range")
    tenants = _convert_each(config.tenants, _Tenant)
    return site.SiteConfig(
        version=config.version,
        queue_by_name={
            route.name: _decode_queue(route)
            for route in _convert_each(config.routes, _Route)
        },
        service_by_name={
            service.name: site.Service(
                service.name, service.standby, service.constraints
            )
            for service in _convert_each(config.services, _Service)
        },
        team_by_name={
            tenant.name: site.Team(
                tenant.name,
                frozenset(tenant.api_keys),
                tenant.weight,
                tenant.cap.decode_limit(),
            )
            for tenant in tenants
        },
        team_by_key={
            key: tenant.name for tenant in tenants for key in tenant.api_keys
        },
        limits=site.RequestLimits(
            header_bytes=config.limits.header_bytes,
            body_bytes=config.limits.body_bytes,
            header_s=config.limits.header_ms / 1000,
            idle_s=config.limits.idle_ms / 1000,
        ),
    )


def _decode_queue(route: _Route) -> site.Queue:
    return site.Queue(
        name=route.name,
        host_name=route.host.lower(),
        path_prefix=route.prefix,
        service=route.service,
        priority=_bounded(route.priority),
        attempts=max(_bounded(route.attempts), 1),
        objective_factor=_bounded(route.factor),
        objective_extra_s=_bounded(route.extra_ms) / 1000,
        open=route.public,
        advised=bool(route.advisor),
        advisor_times=_decode_advisor_times(route.advisor),
        timeout_s=_bounded(route.timeout_ms) / 1000,
    )


def _decode_advisor_times(advisor: Any) -> site.AdvisorTimes:
    try:
        times = msgspec.convert(advisor or {}, _Advisor)
    except msgspec.ValidationError as error:
        logger.warning("Malformed advisor of a queue: %s", error)
        return site.AdvisorTimes()
    return site.AdvisorTimes(
        decision_s=max(_bounded(times.decide_ms), 0.0) / 1000,
        per_runner_s=max(_bounded(times.per_runner_ms), 0.0) / 1000,
        ticket_validity_s=max(_bounded(times.valid_ms), 0.0) / 1000,
    )


def _bounded(number: _NumberT) -> _NumberT:
    """Return the nearest number that jobs can be stored with."""
    return min(max(number, -_MAX_NUMBER), _MAX_NUMBER)


def zone_out_from_key(key: str) -> str | None:
    """Return the zone that a row takes out of service, otherwise None."""
    return key.removeprefix(_ZONE_PREFIX) if _ZONE_PREFIX in key else None


def wave_number_from_key(key: str) -> int | None:
    """Return the number of the wave that a row requests, otherwise None."""
    text = key.removeprefix(_WAVE_PREFIX)
    if text == key or not _WAVE_NUMBER.fullmatch(text):
        return None
    return int(text)


def decode_wave(number: int, value: bytes) -> site.Wave:
    """Return the maintenance wave of a row's value.

    Args:
        number: the wave's number by the row's key.

    Raises:
        msgspec.MsgspecError: the value can't be decoded, or is of another
            wave.
    """
    wave = json_decoding.decode(value, _Wave)
    if wave.wave != number:
        raise msgspec.ValidationError("wave has another number than its key")
    return site.Wave(
        number,
        tuple(dict.fromkeys(wave.machines)),
        wave.duration_s,
        max(wave.cap, 1),
    )


def encode_wave_status(number: int, *, completed: bool) -> tuple[str, bytes]:
    """Return the key and the value of a wave's row in the status table."""
    state = "completed" if completed else "running"
    value = msgspec.json.encode({"wave": number, "state": state})
    return f"{_WAVE_PREFIX}{number}", value
