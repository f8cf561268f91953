"""Which host leads the site's scheduling, decided through the store.

The leader's row names its holder and a token that rises with each holder;
a second row changes while the holder lives. A host whose store has shown
no change of either for the length of a lease takes the first row over on
condition that neither has changed.
"""

import dataclasses

import msgspec

from azurevane._internal.models import host_settings
from azurevane._internal.scheduler import recent_commands

# Without a sign of life for this long another host takes over.
LEASE_S = 2.2
# The leader stops ordering this long after the last write that proves its
# leadership, before another host may take over.
CONFIRMATION_VALIDITY_S = 1.8
# How often the leader shows that it lives.
RENEWAL_INTERVAL_S = 0.6
# A view older than this doesn't show that the leader is silent.
MAX_VIEW_AGE_S = 1.0
# After a longer gap in the view, the leader's silence counts anew; above the
# time between two answers of a slow store.
MAX_VIEW_GAP_S = 2.0

# What a host needs to lead a large site; a weaker one waits for others.
FULL_STRENGTH_PROCESSORS = 1.0
FULL_STRENGTH_LINK_MBPS = 100.0
MAX_TAKEOVER_DELAY_S = 1.5

# A leader without a sign of life for this long is asked by its address; it
# shows one each RENEW_S while the store is well.
QUERY_AFTER_S = 0.8
QUERY_INTERVAL_S = 0.2
# A leader that is asked gives up when its last stored write is this old and
# the store turns it away, or has been silent for as long.
YIELD_AFTER_S = 0.8

TABLE = "azurevane-leader"
OWNER_KEY = "owner"
RENEWAL_KEY = "alive"


class _LeaderRow(msgspec.Struct):
    holder: str
    token: int
    ip: str = ""
    port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """A take-over to try: versions that must hold, and the new row."""

    leader_row_version: int
    renewal_version: int
    token: int
    leader_row_value: bytes
    reason: str
    previous: "PreviousLeader"


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousLeader:
    """What is known of the leases that an earlier leader gave.

    Attributes:
        may_extend: whether it may still be extending leases.
        command_by_host: hosts that it or others before it ordered lately.
        expiry_by_runner: ends, by the store's clock, of the leases of
            runners that it couldn't reach and doesn't extend.
    """

    may_extend_leases: bool
    command_by_host: dict[str, recent_commands.RecentCommand]
    expiry_by_runner: dict[str, float]


def takeover_delay_s(processors: float, link_mbps: float) -> float:
    """Return how long a host leaves a take-over to stronger ones."""
    strength = min(
        processors / FULL_STRENGTH_PROCESSORS,
        link_mbps / FULL_STRENGTH_LINK_MBPS,
        1.0,
    )
    return MAX_TAKEOVER_DELAY_S * (1.0 - strength)


def encode_leader_row(
    holder: str, token: int, address: host_settings.Address | None = None
) -> bytes:
    """Return the value of the leader's row; an empty holder frees it.

    Args:
        address: where other hosts may ask the holder whether it leads.
    """
    if address is None:
        return msgspec.json.encode(_LeaderRow(holder, token))
    return msgspec.json.encode(
        _LeaderRow(holder, token, address.ip, address.port)
    )


class _RenewalRow(msgspec.Struct):
    token: int
    renewals: int
    pending_by_queue: dict[str, int] = {}
    expiry_by_runner: dict[str, float] = msgspec.field(
        name="lapse_by_runner", default_factory=dict
    )
    command_by_host: dict[str, recent_commands.RecentCommand] = msgspec.field(
        name="marks_by_host", default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SilentLeader:
    """A leader to ask whether it still leads."""

    holder: str
    token: int
    silent_s: float
    address: host_settings.Address


class LeaderView:
    """What this host sees of the leader; times are steady seconds.

    Args:
        delay_s: time that this host leaves to stronger ones.
        jitter_s: time by which its claims differ from other hosts'.
        address: where other hosts may ask this one whether it leads.
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
        self._takeover_delay_s = delay_s + jitter_s
        self._address = address
        # Token of a reign that is certainly over, and how that is known.
        self._ended_term: tuple[int, str] = (0, "")
        self._leader_row = _LeaderRow("", 0)
        self._leader_row_version = 0
        self._renewal_row_version = 0
        self._renewal = _RenewalRow(0, 0)
        self._changed_at = now
        self._seen_at: float | None = None

    def update_row(
        self, key: str, value: bytes | None, version: int, now: float
    ) -> None:
        """Take in a row of the leader's table, unless it is known."""
        if key == OWNER_KEY:
            if version <= self._leader_row_version and value is not None:
                return
            self._leader_row_version = version
            if value is not None:
                self._leader_row = msgspec.json.decode(value, type=_LeaderRow)
        elif key == RENEWAL_KEY:
            if version <= self._renewal_row_version:
                return
            self._renewal_row_version = version
            if value is not None:
                self._renewal = msgspec.json.decode(value, type=_RenewalRow)
        self._changed_at = now

    def record_view(self, now: float) -> None:
        """Note that all rows known now are the store's newest."""
        if self._seen_at is not None and now - self._seen_at > MAX_VIEW_GAP_S:
            # The leader was without the store, too, so it goes first.
            self._changed_at = now
        self._seen_at = now

    def _silent_s(self, now: float) -> float | None:
        """Return how long the leader has been silent; None if unknown."""
        if self._seen_at is None or now - self._seen_at > MAX_VIEW_AGE_S:
            return None
        return self._seen_at - self._changed_at

    def leader_silent(self, now: float) -> bool:
        """Whether the leader shows no sign of life, to this host's eyes."""
        silent_s = self._silent_s(now)
        return silent_s is not None and silent_s >= QUERY_AFTER_S

    def silent_leader(self, now: float) -> SilentLeader | None:
        """Return the leader to ask now, if any."""
        silent_s = self._silent_s(now)
        if silent_s is None or silent_s < QUERY_AFTER_S + self._delay_s:
            return None
        owner = self._leader_row
        if owner.holder in ("", self._host_name) or not owner.port:
            return None
        if owner.token == self._ended_term[0]:
            return None
        address = host_settings.Address(owner.ip, owner.port)
        return SilentLeader(owner.holder, owner.token, silent_s, address)

    def record_term_ended(self, token: int, reason: str) -> None:
        """Note that a reign is certainly over."""
        self._ended_term = token, reason

    def takeover_due(self, now: float) -> Takeover | None:
        """Return the take-over to try now, if any."""
        silent_s = self._silent_s(now)
        if silent_s is None:
            return None
        if self._leader_row.holder == self._host_name:
            # Held by an earlier life of this host.
            reason, may_extend_leases = "own earlier life", False
        elif not self._leader_row.holder:
            # Nobody can be leading, however old the view is.
            if now - self._changed_at < self._takeover_delay_s:
                return None
            reason, may_extend_leases = "no holder", False
        elif self._leader_row.token == self._ended_term[0]:
            reason = f"{self._leader_row.holder} {self._ended_term[1]}"
            may_extend_leases = False
        elif silent_s > LEASE_S + self._takeover_delay_s:
            reason, may_extend_leases = (
                f"{self._leader_row.holder} silent",
                True,
            )
        else:
            return None
        token = self._leader_row.token + 1
        return Takeover(
            self._leader_row_version,
            self._renewal_row_version,
            token,
            encode_leader_row(self._host_name, token, self._address),
            reason,
            PreviousLeader(
                may_extend_leases=may_extend_leases,
                command_by_host=self._renewal.command_by_host,
                expiry_by_runner=self._renewal.expiry_by_runner,
            ),
        )


def encode_renewal(
    token: int,
    renewals: int,
    pending_by_queue: dict[str, int],
    expiry_by_runner: dict[str, float],
    command_by_host: dict[str, recent_commands.RecentCommand],
) -> bytes:
    """Return the value of the row that shows that the leader lives."""
    return msgspec.json.encode(
        _RenewalRow(
            token,
            renewals,
            pending_by_queue,
            expiry_by_runner,
            command_by_host,
        )
    )


def decode_pending_jobs(value: bytes) -> dict[str, int]:
    """Return the number of jobs of each queue that haven't begun."""
    return msgspec.json.decode(value, type=_RenewalRow).pending_by_queue
