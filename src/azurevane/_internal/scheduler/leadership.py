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
VALID_S = 1.8
# How often the leader shows that it lives.
RENEW_S = 0.6
# A view older than this doesn't show that the leader is silent.
VIEW_FRESH_S = 1.0
# After a longer gap in the view, the leader's silence counts anew; above the
# time between two answers of a slow store.
VIEW_GAP_S = 2.0

# What a host needs to lead a large site; a weaker one waits for others.
STRONG_PROCESSORS = 1.0
STRONG_LINK_MBPS = 100.0
WEAKEST_DELAY_S = 1.5

# A leader without a sign of life for this long is asked by its address; it
# shows one each RENEW_S while the store is well.
ASK_AFTER_S = 0.8
ASK_PAUSE_S = 0.2
# A leader that is asked gives up when its last stored write is this old and
# the store turns it away, or has been silent for as long.
YIELD_AFTER_S = 0.8

TABLE = "azurevane-leader"
OWNER_KEY = "owner"
ALIVE_KEY = "alive"


class _Owner(msgspec.Struct):
    holder: str
    token: int
    ip: str = ""
    port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A take-over to try: versions that must hold, and the new row."""

    owner_version: int
    alive_version: int
    token: int
    owner_value: bytes
    reason: str
    earlier: "EarlierLeader"


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierLeader:
    """What is known of the leases that an earlier leader gave.

    Attributes:
        may_extend: whether it may still be extending leases.
        marks_by_host: hosts that it or others before it ordered lately.
        lapse_by_runner: ends, by the store's clock, of the leases of
            runners that it couldn't reach and doesn't extend.
    """

    may_extend: bool
    marks_by_host: dict[str, recent_commands.RecentCommand]
    lapse_by_runner: dict[str, float]


def claim_delay_s(processors: float, link_mbps: float) -> float:
    """Return how long a host leaves a take-over to stronger ones."""
    strength = min(
        processors / STRONG_PROCESSORS, link_mbps / STRONG_LINK_MBPS, 1.0
    )
    return WEAKEST_DELAY_S * (1.0 - strength)


def encode_owner(
    holder: str, token: int, address: host_settings.Address | None = None
) -> bytes:
    """Return the value of the leader's row; an empty holder frees it.

    Args:
        address: where other hosts may ask the holder whether it leads.
    """
    if address is None:
        return msgspec.json.encode(_Owner(holder, token))
    return msgspec.json.encode(_Owner(holder, token, address.ip, address.port))


class _Alive(msgspec.Struct):
    token: int
    renewals: int
    pending_by_queue: dict[str, int] = {}
    lapse_by_runner: dict[str, float] = {}
    marks_by_host: dict[str, recent_commands.RecentCommand] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Doubt:
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
        self._claim_delay_s = delay_s + jitter_s
        self._address = address
        # Token of a reign that is certainly over, and how that is known.
        self._over: tuple[int, str] = (0, "")
        self._owner = _Owner("", 0)
        self._owner_version = 0
        self._alive_version = 0
        self._alive = _Alive(0, 0)
        self._changed_at = now
        self._seen_at: float | None = None

    def note_row(
        self, key: str, value: bytes | None, version: int, now: float
    ) -> None:
        """Take in a row of the leader's table, unless it is known."""
        if key == OWNER_KEY:
            if version <= self._owner_version and value is not None:
                return
            self._owner_version = version
            if value is not None:
                self._owner = msgspec.json.decode(value, type=_Owner)
        elif key == ALIVE_KEY:
            if version <= self._alive_version:
                return
            self._alive_version = version
            if value is not None:
                self._alive = msgspec.json.decode(value, type=_Alive)
        self._changed_at = now

    def note_view(self, now: float) -> None:
        """Note that all rows known now are the store's newest."""
        if self._seen_at is not None and now - self._seen_at > VIEW_GAP_S:
            # The leader was without the store, too, so it goes first.
            self._changed_at = now
        self._seen_at = now

    def _silent_s(self, now: float) -> float | None:
        """Return how long the leader has been silent; None if unknown."""
        if self._seen_at is None or now - self._seen_at > VIEW_FRESH_S:
            return None
        return self._seen_at - self._changed_at

    def silent(self, now: float) -> bool:
        """Whether the leader shows no sign of life, to this host's eyes."""
        silent_s = self._silent_s(now)
        return silent_s is not None and silent_s >= ASK_AFTER_S

    def doubt(self, now: float) -> Doubt | None:
        """Return the leader to ask now, if any."""
        silent_s = self._silent_s(now)
        if silent_s is None or silent_s < ASK_AFTER_S + self._delay_s:
            return None
        owner = self._owner
        if owner.holder in ("", self._host_name) or not owner.port:
            return None
        if owner.token == self._over[0]:
            return None
        address = host_settings.Address(owner.ip, owner.port)
        return Doubt(owner.holder, owner.token, silent_s, address)

    def note_over(self, token: int, reason: str) -> None:
        """Note that a reign is certainly over."""
        self._over = token, reason

    def claim(self, now: float) -> Claim | None:
        """Return the take-over to try now, if any."""
        silent_s = self._silent_s(now)
        if silent_s is None:
            return None
        if self._owner.holder == self._host_name:
            # Held by an earlier life of this host.
            reason, may_extend = "own earlier life", False
        elif not self._owner.holder:
            # Nobody can be leading, however old the view is.
            if now - self._changed_at < self._claim_delay_s:
                return None
            reason, may_extend = "no holder", False
        elif self._owner.token == self._over[0]:
            reason = f"{self._owner.holder} {self._over[1]}"
            may_extend = False
        elif silent_s > LEASE_S + self._claim_delay_s:
            reason, may_extend = f"{self._owner.holder} silent", True
        else:
            return None
        token = self._owner.token + 1
        return Claim(
            self._owner_version,
            self._alive_version,
            token,
            encode_owner(self._host_name, token, self._address),
            reason,
            EarlierLeader(
                may_extend=may_extend,
                marks_by_host=self._alive.marks_by_host,
                lapse_by_runner=self._alive.lapse_by_runner,
            ),
        )


def encode_alive(
    token: int,
    renewals: int,
    pending_by_queue: dict[str, int],
    lapse_by_runner: dict[str, float],
    marks_by_host: dict[str, recent_commands.RecentCommand],
) -> bytes:
    """Return the value of the row that shows that the leader lives."""
    return msgspec.json.encode(
        _Alive(
            token, renewals, pending_by_queue, lapse_by_runner, marks_by_host
        )
    )


def decode_pending(value: bytes) -> dict[str, int]:
    """Return the number of jobs of each queue that haven't begun."""
    return msgspec.json.decode(value, type=_Alive).pending_by_queue
