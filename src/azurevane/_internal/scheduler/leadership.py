"""Leader election among the entry hosts of a site, through the store.

The leader's row names its holder and a fencing token that increases with
each takeover; the holder renews a second row periodically. A host that has
seen neither row change for the length of a lease takes over the first row,
on condition that both still have the versions that it has seen.
"""

from collections.abc import Collection
import dataclasses
from typing import TypeVar

import msgspec

from azurevane._internal.models import admission
from azurevane._internal.models import host_settings
from azurevane._internal.scheduler import recent_commands
from azurevane._internal.utils import json_decoding

# Another host takes over after this long without a renewal.
LEADER_LEASE_S = 2.2
# The leader sends no command later than this after its last conditional
# write; shorter than the lease, so that it stops before another takes over.
CONFIRMATION_VALIDITY_S = 1.8
RENEWAL_INTERVAL_S = 0.6
# A view older than this is no evidence that the leader is silent.
MAX_VIEW_AGE_S = 1.0
# After a longer gap between two views, the leader's silence is counted from
# the newer one. Above the time between two responses of a slow store.
MAX_VIEW_GAP_S = 2.0

# A host needs this much to lead a large site. A weaker host delays its
# takeovers, by at most MAX_TAKEOVER_DELAY_S, so that stronger ones go first.
FULL_STRENGTH_PROCESSORS = 1.0
FULL_STRENGTH_LINK_MBPS = 100.0
MAX_TAKEOVER_DELAY_S = 1.5

# A leader without a renewal for this long is queried directly, at its
# address. It renews every RENEWAL_INTERVAL_S while the store is healthy.
QUERY_AFTER_S = 0.8
QUERY_INTERVAL_S = 0.2
# A leader that is queried gives up its term if its last successful write is
# this old and the store rejects its writes or hasn't answered for as long.
YIELD_AFTER_S = 0.8

_RowT = TypeVar("_RowT")

TABLE = "azurevane-leader"
LEADER_KEY = "owner"
RENEWAL_KEY = "alive"


class _LeaderRow(msgspec.Struct):
    holder: str
    token: int
    ip: str = ""
    port: int = 0
    # Until when the leader that released the row, or one before it, may
    # extend leases, in seconds of the store's clock; 0 while the row has a
    # holder.
    extends_leases_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """An attempt to take over the lead.

    Attributes:
        leader_row_version: version that the leader's row must still have.
        renewal_version: version that the renewal row must still have.
        token: fencing token of the new term.
        leader_row_value: new value of the leader's row.
        renewal_row_value: new value of the renewal row; keeps what it says
            of leases and commands of previous leaders.
        reason: why the previous term is considered over, for the log.
        previous: what is known of the leases of previous leaders.
        commands_from: monotonic time until which the previous leader may
            still send commands.
    """

    leader_row_version: int
    renewal_version: int
    token: int
    leader_row_value: bytes
    renewal_row_value: bytes
    reason: str
    previous: "PreviousLeader"
    commands_from: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousLeader:
    """What is known of the leases that previous leaders granted.

    Attributes:
        may_extend_leases: whether one of them may still be extending leases,
            for as long as a leader does without the store.
        extends_leases_until: until when others of them may do so, by the
            store's clock.
        command_by_host: recent commands for hosts, its own and those of
            leaders before it.
        expiry_by_runner: expiry times, by the store's clock, of the leases
            of runners that it couldn't reach and doesn't extend.
        restart_lease_by_runner: until when, by the store's clock, a lease may
            last that a runner got before its restart was known. It may be
            longer than those that leaders grant.
        restart_leases_until: the same for any runner, where there are too
            many to name them; 0 if there are none.
        unstored_runners: ids of the runners that may have runs of which no
            job's state tells.
    """

    may_extend_leases: bool
    extends_leases_until: float
    command_by_host: dict[str, recent_commands.RecentCommand]
    expiry_by_runner: dict[str, float]
    restart_lease_by_runner: dict[str, float]
    restart_leases_until: float = 0.0
    unstored_runners: tuple[str, ...] = ()


def takeover_delay_s(processors: float, link_mbps: float) -> float:
    """Return how long a host delays a takeover in favour of stronger ones."""
    strength = min(
        processors / FULL_STRENGTH_PROCESSORS,
        link_mbps / FULL_STRENGTH_LINK_MBPS,
        1.0,
    )
    return MAX_TAKEOVER_DELAY_S * (1.0 - strength)


def encode_leader_row(
    holder: str, token: int, address: host_settings.Address | None = None
) -> bytes:
    """Return the value of the row of a leader that holds it.

    Args:
        address: where other hosts may query whether the holder leads.
    """
    if address is None:
        return msgspec.json.encode(_LeaderRow(holder, token))
    return msgspec.json.encode(
        _LeaderRow(holder, token, address.ip, address.port)
    )


def encode_released_row(token: int, extends_leases_until: float) -> bytes:
    """Return the value of the row of a leader that releases it.

    Args:
        extends_leases_until: until when this leader, if it gets no response,
            or one before it may extend leases, in seconds of the store's
            clock.
    """
    return msgspec.json.encode(
        _LeaderRow("", token, extends_leases_until=extends_leases_until)
    )


_NO_ESTIMATE = msgspec.Raw(b"null")


class _RenewalRow(msgspec.Struct, omit_defaults=True):
    token: int
    renewals: int
    # Absent until the leader has read the jobs.
    pending_by_queue: dict[str, int] | None = None
    expiry_by_runner: dict[str, float] = msgspec.field(
        name="lapse_by_runner", default_factory=dict
    )
    command_by_host: dict[str, recent_commands.RecentCommand] = msgspec.field(
        name="marks_by_host", default_factory=dict
    )
    # Whether previous leaders may be extending leases for as long as a leader
    # does without the store; only until the first renewal of a term.
    extends_leases: bool = False
    # Until when they may do so, in seconds of the store's clock.
    extends_leases_until: float = 0.0
    # Until when restarted runners may hold leases of before their restart was
    # known, in seconds of the store's clock.
    restart_lease_by_runner: dict[str, float] = msgspec.field(
        default_factory=dict
    )
    # The same for any runner, where there are too many to name them.
    restart_leases_until: float = 0.0
    # Ids of the runners that may have runs of which no job's state tells.
    unstored_runners: tuple[str, ...] = ()
    # Decoded by itself, so that another version of it doesn't make the row
    # unreadable.
    admission: msgspec.Raw = _NO_ESTIMATE


@dataclasses.dataclass(frozen=True, slots=True)
class SilentLeader:
    """A leader without recent renewals, to be queried at its address."""

    holder: str
    token: int
    silent_s: float
    address: host_settings.Address


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedTerm:
    """A term from which another host may take over without its release."""

    token: int
    reason: str
    may_be_alive: bool


class LeaderView:
    """The leader's rows as this host sees them; times are monotonic seconds.

    Args:
        delay_s: delay of takeovers in favour of stronger hosts.
        jitter_s: further delay that spreads the takeovers of several hosts.
        address: where other hosts may query whether this one leads.
    """

    def __init__(
        self,
        host_name: str,
        now: float,
        *,
        delay_s: float,
        jitter_s: float,
        address: host_settings.Address | None,
    ) -> None:
        self._host_name = host_name
        self._delay_s = delay_s
        self._delay_with_jitter_s = delay_s + jitter_s
        self._address = address
        self._ended_term = _EndedTerm(0, "", may_be_alive=False)
        self._leader_row = _LeaderRow("", 0)
        self._leader_row_version = 0
        self._renewal_row_version = 0
        self._renewal = _RenewalRow(0, 0)
        self._changed_at = now
        self._view_confirmed_at: float | None = None
        # Rows of which the newest value can't be read. Without the token or
        # the leases that they tell of, a takeover would be unsafe.
        self._unreadable_keys: set[str] = set()

    def update_row(
        self, key: str, value: bytes | None, version: int, now: float
    ) -> bool:
        """Update a row of the leader's table if it has changed.

        Returns:
            Whether it has changed since this host first saw it, so that its
            value is new.

        Raises:
            msgspec.MsgspecError: the value can't be decoded. Until it changes
                again, this host doesn't take over.
        """
        seen_before = False
        if value is None:
            self._unreadable_keys.discard(key)
        if key == LEADER_KEY:
            if version <= self._leader_row_version and value is not None:
                return False
            seen_before = self._leader_row_version > 0
            self._leader_row_version = version
            if value is not None:
                self._leader_row = self._decode(key, value, _LeaderRow)
        elif key == RENEWAL_KEY:
            if version <= self._renewal_row_version:
                return False
            seen_before = self._renewal_row_version > 0
            self._renewal_row_version = version
            if value is not None:
                self._renewal = self._decode(key, value, _RenewalRow)
        self._changed_at = now
        return seen_before

    def _decode(self, key: str, value: bytes, row_type: type[_RowT]) -> _RowT:
        self._unreadable_keys.add(key)
        row = json_decoding.decode(value, row_type)
        self._unreadable_keys.discard(key)
        return row

    @property
    def confirmed_at(self) -> float | None:
        """Latest time at which the view matched the store's rows, if any."""
        return self._view_confirmed_at

    def record_view(self, now: float) -> None:
        """Record that the view matches the store's rows at this time."""
        if (
            self._view_confirmed_at is not None
            and now - self._view_confirmed_at > MAX_VIEW_GAP_S
        ):
            # The leader may have lacked the store as well, so it gets the
            # time to renew before another host takes over.
            self._changed_at = now
        self._view_confirmed_at = now

    def _silent_s(self, now: float) -> float | None:
        """Return the time without a renewal; None if the view is too old."""
        if (
            self._view_confirmed_at is None
            or now - self._view_confirmed_at > MAX_VIEW_AGE_S
        ):
            return None
        return self._view_confirmed_at - self._changed_at

    def leader_silent(self, now: float) -> bool:
        """Whether the leader's renewals are overdue in this host's view."""
        silent_s = self._silent_s(now)
        return silent_s is not None and silent_s >= QUERY_AFTER_S

    def silent_leader(self, now: float) -> SilentLeader | None:
        """Return the leader to query now, if any."""
        silent_s = self._silent_s(now)
        if silent_s is None or silent_s < QUERY_AFTER_S + self._delay_s:
            return None
        row = self._leader_row
        if row.holder in ("", self._host_name) or not row.port:
            return None
        if row.token == self._ended_term.token:
            return None
        address = host_settings.Address(row.ip, row.port)
        return SilentLeader(row.holder, row.token, silent_s, address)

    def record_term_ended(
        self, token: int, reason: str, *, may_be_alive: bool
    ) -> None:
        """Record that another host may take over from the term of a token.

        Args:
            reason: how that is known, for the log.
            may_be_alive: whether its leader may still send commands and
                extend leases, as long as a leader does without the store.
        """
        self._ended_term = _EndedTerm(token, reason, may_be_alive=may_be_alive)

    def takeover_due(self, now: float) -> Takeover | None:
        """Return the takeover to attempt now, if any."""
        silent_s = self._silent_s(now)
        if silent_s is None or self._unreadable_keys:
            return None
        if self._leader_row.holder == self._host_name:
            # The row was written by a previous incarnation of this host.
            reason, may_extend = "own previous incarnation", False
        elif not self._leader_row.holder:
            # The row was released, so no host can be leading, whatever the
            # age of the view.
            if now - self._changed_at < self._delay_with_jitter_s:
                return None
            reason, may_extend = "no holder", False
        elif self._leader_row.token == self._ended_term.token:
            reason = f"{self._leader_row.holder} {self._ended_term.reason}"
            may_extend = self._ended_term.may_be_alive
        elif silent_s > LEADER_LEASE_S + self._delay_with_jitter_s:
            reason, may_extend = f"{self._leader_row.holder} silent", True
        else:
            return None
        takeover = self._make_takeover(reason, may_extend)
        if not may_extend:
            return takeover
        # Every renewal was sent before this host saw it.
        return dataclasses.replace(
            takeover,
            commands_from=self._changed_at + CONFIRMATION_VALIDITY_S,
        )

    def _make_takeover(self, reason: str, may_extend: bool) -> Takeover:
        token = self._leader_row.token + 1
        previous = PreviousLeader(
            # The term before may have ended before its first renewal.
            may_extend_leases=may_extend or self._renewal.extends_leases,
            extends_leases_until=max(
                self._leader_row.extends_leases_until,
                self._renewal.extends_leases_until,
            ),
            command_by_host=self._renewal.command_by_host,
            expiry_by_runner=self._renewal.expiry_by_runner,
            restart_lease_by_runner=self._renewal.restart_lease_by_runner,
            restart_leases_until=self._renewal.restart_leases_until,
            unstored_runners=self._renewal.unstored_runners,
        )
        renewal = _RenewalRow(
            token,
            0,
            None,
            previous.expiry_by_runner,
            previous.command_by_host,
            extends_leases=previous.may_extend_leases,
            extends_leases_until=previous.extends_leases_until,
            restart_lease_by_runner=previous.restart_lease_by_runner,
            restart_leases_until=previous.restart_leases_until,
            unstored_runners=previous.unstored_runners,
        )
        return Takeover(
            self._leader_row_version,
            self._renewal_row_version,
            token,
            encode_leader_row(self._host_name, token, self._address),
            msgspec.json.encode(renewal),
            reason,
            previous,
        )


def encode_renewal(
    token: int,
    renewals: int,
    pending_by_queue: dict[str, int] | None,
    expiry_by_runner: dict[str, float],
    command_by_host: dict[str, recent_commands.RecentCommand],
    *,
    extends_leases_until: float = 0.0,
    restart_lease_by_runner: dict[str, float] | None = None,
    restart_leases_until: float = 0.0,
    unstored_runners: Collection[str] = (),
    estimate: admission.AdmissionEstimate | None = None,
) -> bytes:
    """Return the value of the row that the leader renews periodically.

    Args:
        pending_by_queue: number of jobs of each queue that haven't started,
            or None if the leader doesn't know it yet.
        extends_leases_until: until when previous leaders may extend leases,
            in seconds of the store's clock.
        restart_lease_by_runner: until when restarted runners may hold leases
            of before their restart was known, by the same clock.
        restart_leases_until: the same for any runner; 0 if there are none.
        unstored_runners: ids of the runners that may have runs of which no
            job's state tells.
        estimate: estimate by which the entry hosts admit jobs.
    """
    return msgspec.json.encode(
        _RenewalRow(
            token,
            renewals,
            pending_by_queue,
            expiry_by_runner,
            command_by_host,
            extends_leases_until=extends_leases_until,
            restart_lease_by_runner=restart_lease_by_runner or {},
            restart_leases_until=restart_leases_until,
            unstored_runners=tuple(unstored_runners),
            admission=(
                _NO_ESTIMATE
                if estimate is None
                else admission.encode_estimate(estimate)
            ),
        )
    )


def decode_pending_jobs(value: bytes) -> dict[str, int] | None:
    """Return the number of jobs of each queue that haven't started.

    It is None if the leader hasn't read the jobs yet.
    """
    return json_decoding.decode(value, _RenewalRow).pending_by_queue


def decode_estimate(value: bytes) -> admission.AdmissionEstimate | None:
    """Return the estimate that a renewal carries, if it has a known form."""
    try:
        return admission.decode_estimate(
            json_decoding.decode(value, _RenewalRow).admission
        )
    except msgspec.MsgspecError:
        # Jobs are admitted without it.
        return None
