"""Who waits for permits: this host's own wishes and the peers' asks."""

import dataclasses
import hashlib

from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits

Topic = tuple[str, str]
"""Kind (``team`` or ``pool``) and name, as in ``Ask``."""

_INCARNATION_SHIFT = 32


@dataclasses.dataclass(slots=True)
class Wish:
    """What waiting work of this host could use.

    Attributes:
        at: monotonic seconds at which the wish was last stated.
        asked_at: when the last ask was sent; None if none was.
        unanswered: permits of the last ask that weren't lent.
        timer_at: when the next ask is to be considered.
    """

    count: int = 0
    rank: float = 0.0
    waited_s: float = 0.0
    at: float = 0.0
    asked_at: float | None = None
    asked_rank: float = 0.0
    unanswered: int = 0
    timer_at: float | None = None

    def ask_due(self, missing: int) -> float:
        """Return when to ask next for permits that are missing here."""
        return limits.next_ask_at(
            self.asked_at,
            self.unanswered,
            missing,
            self.rank != self.asked_rank,
        )


@dataclasses.dataclass(slots=True)
class OpenAsk:
    """Ask of a peer with the permits that it still wants.

    Attributes:
        at: monotonic seconds at which the ask was received.
    """

    ask_id: int
    count: int
    rank: float
    waited_s: float
    at: float


class Demand:
    """Owns the wishes of this host and the open asks of its peers."""

    def __init__(self) -> None:
        self.wish_by_topic: dict[Topic, Wish] = {}
        self.asks_by_topic: dict[Topic, dict[str, OpenAsk]] = {}

    def wanted(self, topic: Topic) -> int:
        """Return how many permits this host's waiting work could use."""
        wish = self.wish_by_topic.get(topic)
        return wish.count if wish else 0

    def add_ask(self, now: float, peer: str, ask: permit_messages.Ask) -> bool:
        """Open an ask; False if it is repeated, late or a withdrawal."""
        topic = (ask.kind, ask.name)
        asks = self.asks_by_topic.setdefault(topic, {})
        known = asks.get(peer)
        if known is not None and _not_newer(ask.ask_id, known.ask_id):
            return False
        # An ask that wants nothing is kept until it expires, so that an
        # earlier one that arrives late doesn't open again.
        asks[peer] = OpenAsk(
            ask.ask_id, ask.count, ask.rank, ask.waited_ms / 1000.0, now
        )
        return ask.count > 0

    def has_asks(self, now: float, topic: Topic) -> bool:
        """Whether a peer's ask for a topic is open."""
        return any(
            ask.count and now < ask.at + limits.ASK_LIFETIME_S
            for ask in self.asks_by_topic.get(topic, {}).values()
        )

    def open_asks(self, now: float, topic: Topic) -> dict[str, OpenAsk]:
        """Return the asks of a topic that are open, by peer."""
        asks = self.asks_by_topic.get(topic)
        if not asks:
            return {}
        expired = [
            peer
            for peer, ask in asks.items()
            if now >= ask.at + limits.ASK_LIFETIME_S
        ]
        for peer in expired:
            del asks[peer]
        if not asks:
            del self.asks_by_topic[topic]
        return {peer: ask for peer, ask in asks.items() if ask.count}

    def serve_ask(
        self, claimant: limits.PermitRequester, count: int
    ) -> OpenAsk:
        """Take served permits off the open ask of a claimant."""
        topic = (claimant.kind, claimant.name)
        ask = self.asks_by_topic[topic][claimant.peer]
        ask.count -= count
        return ask

    def claimants(
        self, now: float, topics: list[tuple[Topic, int]]
    ) -> list[limits.PermitRequester]:
        """Return who could use permits; empty if no peer is among them.

        Args:
            topics: each topic with its tier.
        """
        if not self.asks_by_topic:
            return []
        found = []
        for topic, tier in topics:
            for peer, ask in self.open_asks(now, topic).items():
                waited_s = ask.waited_s + now - ask.at
                found.append(
                    _claimant(peer, topic, tier, ask.rank, waited_s, ask.count)
                )
        if not found:
            return []
        for topic, tier in topics:
            wish = self.wish_by_topic.get(topic)
            if wish is not None and wish.count:
                waited_s = wish.waited_s + now - wish.at
                found.append(
                    _claimant("", topic, tier, wish.rank, waited_s, wish.count)
                )
        return found


def _claimant(
    peer: str,
    topic: Topic,
    tier: int,
    rank: float,
    waited_s: float,
    count: int,
) -> limits.PermitRequester:
    kind, name = topic
    # The waiters of one team differ only in how long they have waited;
    # counters of different hosts would give them different ranks.
    merit = 0.0 if kind == "team" else rank
    return limits.PermitRequester(
        peer, kind, name, tier, merit, waited_s, count
    )


def first_id(incarnation: str) -> int:
    """Return the first message number of an incarnation."""
    digest = hashlib.blake2b(incarnation.encode(), digest_size=4).digest()
    return (int.from_bytes(digest, "big") << _INCARNATION_SHIFT) + 1


def same_sender(message_id: int, other_id: int) -> bool:
    """Whether two message numbers are of the same incarnation."""
    return not (message_id ^ other_id) >> _INCARNATION_SHIFT


def _not_newer(ask_id: int, known_id: int) -> bool:
    return same_sender(ask_id, known_id) and ask_id <= known_id
