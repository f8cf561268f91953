"""Which host leads the site's scheduling, decided through the store.

The leader's row names its holder and a token that rises with each holder;
a second row changes while the holder lives. A host whose store has shown
no change of either for the length of a lease takes the first row over on
condition that neither has changed.
"""

import dataclasses

import msgspec

# Without a sign of life for this long another host takes over.
LEASE_S = 2.2
# The leader stops ordering this long after the last write that proves its
# leadership, before another host may take over.
VALID_S = 1.8
# How often the leader shows that it lives.
RENEW_S = 0.6
# A view older than this doesn't show that the leader is silent.
VIEW_FRESH_S = 1.0

# What a host needs to lead a large site; a weaker one waits for others.
STRONG_PROCESSORS = 1.0
STRONG_LINK_MBPS = 100.0
WEAKEST_DELAY_S = 1.5

TABLE = "azurevane-leader"
OWNER_KEY = "owner"
ALIVE_KEY = "alive"


class _Owner(msgspec.Struct):
    holder: str
    token: int


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
        same_host: whether it was an earlier life of this host.
        may_extend: whether it may still be extending leases.
        orders_from: time, by the store's clock, before which it ordered
            no host.
        lapse_by_runner: ends, by the store's clock, of the leases of
            runners that it couldn't reach and doesn't extend.
    """

    same_host: bool
    may_extend: bool
    orders_from: float
    lapse_by_runner: dict[str, float]


def claim_delay_s(processors: float, link_mbps: float) -> float:
    """Return how long a host leaves a take-over to stronger ones."""
    strength = min(
        processors / STRONG_PROCESSORS, link_mbps / STRONG_LINK_MBPS, 1.0
    )
    return WEAKEST_DELAY_S * (1.0 - strength)


def encode_owner(holder: str, token: int) -> bytes:
    """Return the value of the leader's row; an empty holder frees it."""
    return msgspec.json.encode(_Owner(holder, token))


class _Alive(msgspec.Struct):
    token: int
    renewals: int
    pending_by_queue: dict[str, int] = {}
    lapse_by_runner: dict[str, float] = {}
    orders_from: float = 0.0


class LeaderView:
    """What this host sees of the leader; times are steady seconds.

    Args:
        delay_s: time by which this host claims later than it could.
    """

    def __init__(self, host_name: str, now: float, delay_s: float) -> None:
        self._host_name = host_name
        self._delay_s = delay_s
        self._owner = _Owner("", 0)
        self._owner_version = 0
        self._alive_version = 0
        self._alive = _Alive(0, 0)
        self._changed_at = now
        self._seen_at: float | None = None

    @property
    def holder(self) -> str:
        """Host that leads, as far as is known; empty for none."""
        return self._owner.holder

    def note_row(
        self, key: str, value: bytes | None, version: int, now: float
    ) -> None:
        """Take in a row of the leader's table."""
        if key == OWNER_KEY:
            if version == self._owner_version and value is not None:
                return
            self._owner_version = version
            if value is not None:
                self._owner = msgspec.json.decode(value, type=_Owner)
        elif key == ALIVE_KEY:
            if version == self._alive_version:
                return
            self._alive_version = version
            if value is not None:
                self._alive = msgspec.json.decode(value, type=_Alive)
        self._changed_at = now

    def note_view(self, now: float) -> None:
        """Note that all rows known now are the store's newest."""
        self._seen_at = now

    def claim(self, now: float) -> Claim | None:
        """Return the take-over to try now, if any."""
        if self._seen_at is None or now - self._seen_at > VIEW_FRESH_S:
            return None
        silent_s = self._seen_at - self._changed_at
        if self._owner.holder == self._host_name:
            # Held by an earlier life of this host.
            reason, may_extend = "own earlier life", False
        elif not self._owner.holder:
            if silent_s < self._delay_s:
                return None
            reason, may_extend = "no holder", False
        elif silent_s > LEASE_S + self._delay_s:
            reason, may_extend = f"{self._owner.holder} silent", True
        else:
            return None
        token = self._owner.token + 1
        return Claim(
            self._owner_version,
            self._alive_version,
            token,
            encode_owner(self._host_name, token),
            reason,
            EarlierLeader(
                same_host=self._owner.holder == self._host_name,
                may_extend=may_extend,
                orders_from=self._alive.orders_from,
                lapse_by_runner=self._alive.lapse_by_runner,
            ),
        )


def encode_alive(
    token: int,
    renewals: int,
    pending_by_queue: dict[str, int],
    lapse_by_runner: dict[str, float],
    orders_from: float,
) -> bytes:
    """Return the value of the row that shows that the leader lives."""
    return msgspec.json.encode(
        _Alive(token, renewals, pending_by_queue, lapse_by_runner, orders_from)
    )


def decode_pending(value: bytes) -> dict[str, int]:
    """Return the number of jobs of each queue that haven't begun."""
    return msgspec.json.decode(value, type=_Alive).pending_by_queue
