"""Probes of an entry host to its peers, and what their answers show."""

from collections.abc import Collection, Iterable
import dataclasses

from azurevane._internal.models import fleet
from azurevane._internal.models import messages
from azurevane._internal.policy import freshness

PEER_SILENT_AFTER_S = 10.0

# A silent host that isn't in the settings and holds no seat is forgotten
# after this time.
_FORGET_AFTER_S = 60.0

# Probes older than the freshness period can't confirm anything any more.
_MAX_KEPT_ROUNDS = 8
_STATE_REQUEST_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class PeerStatus:
    """What is known of another entry host; times in monotonic seconds.

    Attributes:
        last_contact_at: when a message of the peer was last received.
        confirmed_at: when the newest probe was sent that the peer has
            confirmed in this incarnation; None if there is none.
        version: newest version that the peer has reported.
        silent_holders: seat holders that the peer hasn't heard from
            lately.
        requested_at: when a state was last requested from the peer.
    """

    last_contact_at: float
    incarnation: str = ""
    confirmed_at: float | None = None
    version: int = 0
    silent_holders: tuple[str, ...] = ()
    requested_at: float = float("-inf")


class PeerProbes:
    """Owns the probes sent to peers and the peers' answers."""

    def __init__(
        self, host: str, incarnation: str, peers: Iterable[str], now: float
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._configured = frozenset(peers)
        self._peer_by_name = {
            name: PeerStatus(now) for name in self._configured
        }
        self._sent_at_by_seq: dict[int, float] = {}
        self._seq = 0
        self._store_read_sent_at = float("-inf")

    @property
    def peer_names(self) -> tuple[str, ...]:
        """Names of all known peers."""
        return tuple(self._peer_by_name)

    def peer(self, name: str) -> PeerStatus:
        """Return the status of a peer that has sent a message."""
        return self._peer_by_name[name]

    def version_by_peer(self) -> dict[str, int]:
        """Return the newest version that each peer has reported."""
        return {
            name: peer.version for name, peer in self._peer_by_name.items()
        }

    def count_peers_with_version(
        self, now: float, version: int
    ) -> tuple[int, int]:
        """Return how many peers have a version, and how many lack it.

        Those that lack it count only if they were heard from lately.
        """
        with_version = without_version = 0
        for peer in self._peer_by_name.values():
            if peer.version >= version:
                with_version += 1
            elif now - peer.last_contact_at < freshness.FRESHNESS_S:
                without_version += 1
        return with_version, without_version

    def begin_round(self, now: float, state: fleet.FleetState) -> int:
        """Begin a round of probes and return its number."""
        self._forget_replaced_hosts(now, state)
        self._seq += 1
        self._sent_at_by_seq[self._seq] = now
        while len(self._sent_at_by_seq) > _MAX_KEPT_ROUNDS:
            del self._sent_at_by_seq[min(self._sent_at_by_seq)]
        return self._seq

    def _forget_replaced_hosts(
        self, now: float, state: fleet.FleetState
    ) -> None:
        """Forget replaced hosts, which would be probed forever."""
        kept = self._configured | {seat.holder for seat in state.seats}
        for name, peer in [*self._peer_by_name.items()]:
            if (
                name not in kept
                and now - peer.last_contact_at > _FORGET_AFTER_S
            ):
                del self._peer_by_name[name]

    def record_contact(self, now: float, sender: messages.Hello) -> None:
        """Record that a peer is alive in an incarnation."""
        peer = self._peer_by_name.get(sender.host)
        if peer is None or peer.incarnation != sender.incarnation:
            peer = PeerStatus(now, sender.incarnation)
            self._peer_by_name[sender.host] = peer
        peer.last_contact_at = now

    def record_confirmation(self, name: str, seq: int) -> None:
        """Record that a peer confirmed the version in a round."""
        sent_at = self._sent_at_by_seq.get(seq)
        if sent_at is None:
            return
        peer = self._peer_by_name[name]
        if peer.confirmed_at is None or peer.confirmed_at < sent_at:
            peer.confirmed_at = sent_at

    def record_store_confirmation(self, sent_at: float) -> None:
        """Record that the store confirmed the version.

        Args:
            sent_at: when the read that the store answered was sent.
        """
        self._store_read_sent_at = max(self._store_read_sent_at, sent_at)

    def is_fresh_by_store(self, now: float) -> bool:
        """Whether the store's confirmation alone keeps this host fresh."""
        return now < self._store_read_sent_at + freshness.FRESHNESS_S

    def try_begin_state_request(self, now: float, name: str) -> bool:
        """Record a request for a peer's state; False if it is too soon."""
        peer = self._peer_by_name[name]
        if now - peer.requested_at < _STATE_REQUEST_INTERVAL_S:
            return False
        peer.requested_at = now
        return True

    def fresh_until(self, state: fleet.FleetState) -> float:
        """Return when the confirmations of a state expire."""
        seat_probes_sent_at = [
            sent_at
            for sent_at in map(self._holder_confirmed_at, state.seats)
            if sent_at is not None
        ]
        return freshness.fresh_until(
            freshness.Confirmations(
                self._store_read_sent_at, tuple(seat_probes_sent_at)
            ),
            state.entry_seats,
        )

    def _holder_confirmed_at(self, seat: fleet.Seat) -> float | None:
        if seat.holder == self._host:
            if seat.incarnation != self._incarnation:
                return None
            return self._sent_at_by_seq.get(self._seq)
        peer = self._peer_by_name.get(seat.holder)
        # A restarted holder has lost what it acknowledged, so it can't
        # confirm for the seat of its previous incarnation.
        if peer is None or peer.incarnation != seat.incarnation:
            return None
        return peer.confirmed_at

    def silent_holders(
        self, now: float, state: fleet.FleetState
    ) -> tuple[str, ...]:
        """Return the seat holders that haven't been heard from for 10 s."""
        return tuple(
            seat.holder
            for seat in state.seats
            if seat.holder in self._peer_by_name
            and now - self._peer_by_name[seat.holder].last_contact_at
            >= PEER_SILENT_AFTER_S
        )

    def unreachable_holders(
        self, now: float, state: fleet.FleetState, live_hosts: Collection[str]
    ) -> tuple[str, ...]:
        """Return seat holders that are silent to all reachable peers.

        Holders on the platform's list of live hosts are left out.

        Args:
            live_hosts: names on that list.
        """
        reachable = [
            peer
            for peer in self._peer_by_name.values()
            if now - peer.last_contact_at < freshness.FRESHNESS_S
        ]
        # After a pause of this process every peer appears silent. Then no
        # peer counts as reachable, and no holder is returned.
        if len(reachable) < freshness.majority_size(state.entry_seats) - 1:
            return ()
        return tuple(
            name
            for name in self.silent_holders(now, state)
            if name not in live_hosts
            and all(name in peer.silent_holders for peer in reachable)
        )
