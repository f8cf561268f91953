"""Demand for permits: by waiting work of this host and by peers' asks."""

import dataclasses
import hashlib

from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits

DemandKey = tuple[str, str]
"""Kind (``team`` or ``pool``) and name of what waits, as in ``Ask``."""

_INCARNATION_SHIFT = 32


@dataclasses.dataclass(slots=True)
class LocalDemand:
    """Permits that waiting work of this host could use.

    Attributes:
        stated_at: monotonic seconds at which the demand was last set.
        asked_at: when the last ask was sent; None if none was.
        asked_rank: rank that the last ask carried.
        unanswered: permits of the last ask that haven't been lent.
        timer_at: when to check next whether an ask is due; None if no
            timer is set.
    """

    count: int = 0
    rank: float = 0.0
    waited_s: float = 0.0
    stated_at: float = 0.0
    asked_at: float | None = None
    asked_rank: float = 0.0
    unanswered: int = 0
    timer_at: float | None = None

    def next_ask_at(self, missing: int) -> float:
        """Return when to ask next for permits missing at this host."""
        return limits.next_ask_at(
            self.asked_at,
            self.unanswered,
            missing,
            self.rank != self.asked_rank,
        )


@dataclasses.dataclass(slots=True)
class OpenAsk:
    """Ask of a peer that hasn't been met in full.

    Attributes:
        count: permits that the peer still wants.
        received_at: monotonic seconds at which the ask was received.
    """

    ask_id: int
    count: int
    rank: float
    waited_s: float
    received_at: float


class PermitDemand:
    """Owns the demand of this host and the open asks of its peers."""

    def __init__(self) -> None:
        self.local_by_key: dict[DemandKey, LocalDemand] = {}
        self.asks_by_key: dict[DemandKey, dict[str, OpenAsk]] = {}

    def local_count(self, demand_key: DemandKey) -> int:
        """Return how many permits this host's waiting work could use."""
        local_demand = self.local_by_key.get(demand_key)
        return local_demand.count if local_demand else 0

    def add_ask(self, now: float, peer: str, ask: permit_messages.Ask) -> bool:
        """Add an ask; False if it is a copy, outdated or a withdrawal."""
        demand_key = (ask.kind, ask.name)
        asks = self.asks_by_key.setdefault(demand_key, {})
        known = asks.get(peer)
        if known is not None and _is_outdated(ask.ask_id, known.ask_id):
            return False
        # A withdrawal is kept until it expires, so that a previous ask
        # that arrives late isn't opened again.
        asks[peer] = OpenAsk(
            ask.ask_id, ask.count, ask.rank, ask.waited_ms / 1000.0, now
        )
        return ask.count > 0

    def has_open_asks(self, now: float, demand_key: DemandKey) -> bool:
        """Whether any peer has an open ask for a demand key."""
        return any(
            ask.count and now < ask.received_at + limits.ASK_LIFETIME_S
            for ask in self.asks_by_key.get(demand_key, {}).values()
        )

    def open_asks(
        self, now: float, demand_key: DemandKey
    ) -> dict[str, OpenAsk]:
        """Return the open asks for a demand key, by peer."""
        asks = self.asks_by_key.get(demand_key)
        if not asks:
            return {}
        expired = [
            peer
            for peer, ask in asks.items()
            if now >= ask.received_at + limits.ASK_LIFETIME_S
        ]
        for peer in expired:
            del asks[peer]
        if not asks:
            del self.asks_by_key[demand_key]
        return {peer: ask for peer, ask in asks.items() if ask.count}

    def reduce_ask(
        self, requester: limits.PermitRequester, count: int
    ) -> OpenAsk:
        """Subtract permits that a requester gets from its open ask."""
        demand_key = (requester.kind, requester.name)
        ask = self.asks_by_key[demand_key][requester.peer]
        ask.count -= count
        return ask

    def find_requesters(
        self, now: float, demands: list[tuple[DemandKey, int]]
    ) -> list[limits.PermitRequester]:
        """Return who could use permits; empty if no peer could.

        Args:
            demands: each demand key with its tier.
        """
        if not self.asks_by_key:
            return []
        found = []
        for demand_key, tier in demands:
            for peer, ask in self.open_asks(now, demand_key).items():
                waited_s = ask.waited_s + now - ask.received_at
                found.append(
                    _build_requester(
                        peer, demand_key, tier, ask.rank, waited_s, ask.count
                    )
                )
        if not found:
            return []
        for demand_key, tier in demands:
            local_demand = self.local_by_key.get(demand_key)
            if local_demand is not None and local_demand.count:
                waited_s = local_demand.waited_s + now - local_demand.stated_at
                found.append(
                    _build_requester(
                        "",
                        demand_key,
                        tier,
                        local_demand.rank,
                        waited_s,
                        local_demand.count,
                    )
                )
        return found


def _build_requester(
    peer: str,
    demand_key: DemandKey,
    tier: int,
    rank: float,
    waited_s: float,
    count: int,
) -> limits.PermitRequester:
    kind, name = demand_key
    # Waiters of one team are compared only by how long they have waited.
    # Counters of different hosts would give them different ranks.
    effective_rank = 0.0 if kind == "team" else rank
    return limits.PermitRequester(
        peer, kind, name, tier, effective_rank, waited_s, count
    )


def first_message_id(incarnation: str) -> int:
    """Return the first message number of an incarnation."""
    digest = hashlib.blake2b(incarnation.encode(), digest_size=4).digest()
    return (int.from_bytes(digest, "big") << _INCARNATION_SHIFT) + 1


def same_incarnation(message_id: int, other_id: int) -> bool:
    """Whether two message numbers belong to the same incarnation."""
    return not (message_id ^ other_id) >> _INCARNATION_SHIFT


def _is_outdated(ask_id: int, known_id: int) -> bool:
    return same_incarnation(ask_id, known_id) and ask_id <= known_id
