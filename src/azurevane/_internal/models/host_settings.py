"""Settings of one entry host."""

import dataclasses

from azurevane._internal.models import scheduling_settings


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Durations that the site's operators set, in seconds.

    Attributes:
        stop_grace_s: time from SIGTERM to SIGKILL.
        runner_lease_max_s: longest lease that a runner grants.
        runner_stop_s: longest time that a runner takes to stop a task.
        gang_wait_s: time that a task of a gang waits for the others.
        host_lease_s: minimum time between commands for one host from two
            different senders.
        notice_s: time without a long-running task after which the task
            counts as unavailable.
        move_s: duration of a host's move to another pool.
        maintenance_s: duration of a host's maintenance.
        job_kept_s: minimum time that an ended job's state is shown.
        early_start_s: maximum time that a start may precede its due time.
        remote_slowdown: factor on the run time of tasks that don't run in
            the rack of their data.
        restore_s: time to resume from a checkpoint.
        harm_s: time that a serving task may miss its latency target.
        hosts_fenced: whether the platform enforces fencing tokens.
    """

    stop_grace_s: float
    runner_lease_max_s: float
    runner_stop_s: float
    gang_wait_s: float
    host_lease_s: float
    notice_s: float
    move_s: float
    maintenance_s: float
    job_kept_s: float
    early_start_s: float
    remote_slowdown: float
    restore_s: float
    harm_s: float
    hosts_fenced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings that an entry host reads when it starts.

    Attributes:
        host_name: unique name of this host.
        callers_listen: address for callers; None if it serves none.
        readiness_listen: address of the readiness check.
        hosts_listen: address for the site's other entry hosts.
        store_address: address of the platform's store.
        hosts_api_address: address of the platform's hosts API.
        host_orders_per_s: rate limit of move and maintenance commands,
            shared by all entry hosts.
        host_lists_per_s: rate limit of requests for the list of hosts.
        advisor_address: address of the placement advisor, if there is one.
        store_row_bytes: maximum size of a row's value.
        processors: cores of usual speed that this host may use.
        link_mbps: capacity of its network link in megabits per second.
        scheduling: optional decisions that are in use.
    """

    host_name: str
    zone: str
    callers_listen: Address | None
    readiness_listen: Address | None
    store_address: Address
    hosts_api_address: Address | None
    host_orders_per_s: float
    host_lists_per_s: float
    advisor_address: Address | None
    store_row_bytes: int
    bounds: Bounds
    processors: float = 1.0
    link_mbps: float = 1000.0
    hosts_listen: Address | None = None
    scheduling: scheduling_settings.SchedulingSettings = (
        scheduling_settings.SchedulingSettings()
    )
