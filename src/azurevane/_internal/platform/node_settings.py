"""Reads the settings file that the platform writes on each entry host."""

import pathlib

import msgspec

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.platform import addresses
from azurevane._internal.utils import json_decoding


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: float = 6.0
    # Longest lease that a runner grants.
    hold_max_ms: float = 10000.0
    stop_ms: float = 1000.0
    gang_ms: float = 3000.0
    lease_ms: float = 3000.0
    notice_ms: float = 4500.0
    migrate_s: float = 2.0
    maintenance_s: float = 2.0
    status_s: float = msgspec.field(name="status_s", default=120.0)
    early_ms: float = msgspec.field(name="early_ms", default=250.0)
    remote_slowdown: float = 1.5
    restore_ms: float = 600.0
    harm_ms: float = 4000.0
    fencing_enforced: bool = False


class _Limits(msgspec.Struct, rename="camel"):
    # Share of each core that the host may use; more than one core stands
    # for a single faster one.
    cpu_share: float = 1.0
    cores: int = 1
    link_mbps: float = 1000.0


class _Store(msgspec.Struct, rename="camel"):
    address: str
    row_bytes: int = 65536


class _HostsApi(msgspec.Struct, rename="camel"):
    address: str
    rate_per_s: float = 16.0
    duty_per_s: float = 16.0


class _Settings(msgspec.Struct, rename="camel"):
    node_name: str
    zone: str
    platform: _Store
    ip: str = ""
    listen_addrs: dict[str, str] = {}
    # First and last port that this host's processes may use for traffic
    # between hosts.
    internal_ports: list[int] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud_api: _HostsApi | None = None
    advisor: str | None = None


def load_settings(path: pathlib.Path) -> host_settings.HostSettings:
    """Return the settings of this host.

    Raises:
        SettingsError: the file can't be read or decoded, or a required
            field is missing.
    """
    try:
        settings = json_decoding.decode(path.read_bytes(), _Settings)
    except (OSError, msgspec.MsgspecError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error
    return _convert_settings(settings)


def _convert_settings(settings: _Settings) -> host_settings.HostSettings:
    api = settings.cloud_api
    return host_settings.HostSettings(
        host_name=settings.node_name,
        zone=settings.zone,
        callers_listen=_listen_address(settings, "frontend"),
        readiness_listen=_listen_address(settings, "readiness"),
        store_address=addresses.parse_address(settings.platform.address),
        hosts_api_address=(
            addresses.parse_address(api.address) if api else None
        ),
        host_orders_per_s=api.duty_per_s if api else 0.0,
        host_lists_per_s=api.rate_per_s if api else 0.0,
        advisor_address=(
            addresses.parse_address(settings.advisor)
            if settings.advisor
            else None
        ),
        store_row_bytes=settings.platform.row_bytes,
        bounds=_convert_bounds(settings.bounds),
        processors=settings.limits.cpu_share * settings.limits.cores,
        link_mbps=settings.limits.link_mbps,
        hosts_listen=_hosts_listen_address(settings),
    )


def _listen_address(
    settings: _Settings, name: str
) -> host_settings.Address | None:
    text = settings.listen_addrs.get(name)
    return addresses.parse_address(text) if text else None


def _hosts_listen_address(settings: _Settings) -> host_settings.Address | None:
    if not settings.ip or not settings.internal_ports:
        return None
    return host_settings.Address(settings.ip, settings.internal_ports[0])


def _convert_bounds(bounds: _Bounds) -> host_settings.Bounds:
    return host_settings.Bounds(
        stop_grace_s=bounds.grace_s,
        runner_lease_max_s=bounds.hold_max_ms / 1000,
        runner_stop_s=bounds.stop_ms / 1000,
        gang_wait_s=bounds.gang_ms / 1000,
        host_lease_s=bounds.lease_ms / 1000,
        notice_s=bounds.notice_ms / 1000,
        move_s=bounds.migrate_s,
        maintenance_s=bounds.maintenance_s,
        job_kept_s=bounds.status_s,
        early_start_s=bounds.early_ms / 1000,
        remote_slowdown=bounds.remote_slowdown,
        restore_s=bounds.restore_ms / 1000,
        harm_s=bounds.harm_ms / 1000,
        hosts_fenced=bounds.fencing_enforced,
    )
