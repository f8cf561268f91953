"""State machine for the fleet state in force on an entry host.

It processes messages and returns effects; it owns no socket and reads no
clock. Every ``now`` is in monotonic seconds of this host.
"""

from collections.abc import Callable, Collection, Iterable
from typing import TypeVar

import msgspec

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import messages
from azurevane._internal.models import state_messages
from azurevane._internal.policy import freshness
from azurevane._internal.policy import restrictions as restriction_policy
from azurevane._internal.policy import seats as seat_policy
from azurevane._internal.tasks import peer_probes
from azurevane._internal.tasks import prepared_changes
from azurevane._internal.tasks import state_history

PROBE_INTERVAL_S = 0.5

_Handler = Callable[..., list[effects.Effect]]
_HandlerT = TypeVar("_HandlerT", bound=_Handler)

handler_by_type: dict[type, _Handler] = {}


def _handles(message_type: type) -> Callable[[_HandlerT], _HandlerT]:
    """Return a decorator that registers the handler of a message type."""

    def register(handler: _HandlerT) -> _HandlerT:
        handler_by_type[message_type] = handler
        return handler

    return register


class StateKeeper:
    """Owns the fleet state in force; its version never decreases.

    Args:
        host: name of this entry host; no two live processes share it.
        incarnation: identifies this process start.
        peers: names of the entry hosts known from the settings.
        now: monotonic seconds.

    Attributes:
        row_version: version of the table's row with the state in force.
        base_usable_at: monotonic seconds from which the base part of this
            host's seat may be used; infinite without a seat.
    """

    def __init__(
        self,
        host: str = "",
        incarnation: str = "",
        peers: Iterable[str] = (),
        now: float = 0.0,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.row_version = 0
        self.base_usable_at = float("inf")
        self._in_force = fleet.FleetState()
        self._effective = self._in_force
        self._history = state_history.StateHistory()
        self._prepared = prepared_changes.PreparedChanges()
        self._probes = peer_probes.PeerProbes(host, incarnation, peers, now)
        self._seat_in_force: fleet.Seat | None = None

    @property
    def in_force(self) -> fleet.FleetState:
        """The accepted fleet state in force, without restrictions."""
        return self._in_force

    @property
    def effective(self) -> fleet.FleetState:
        """The state in force with the prepared restrictions applied."""
        return self._effective

    @property
    def state(self) -> fleet.FleetState:
        """The effective state, under which work is admitted."""
        return self._effective

    @property
    def prepared(self) -> tuple[str, ...]:
        """Tokens of the changes that are prepared but not settled yet."""
        return self._prepared.tokens

    @property
    def seat(self) -> fleet.Seat | None:
        """The seat that this process holds and isn't handing over."""
        return self._effective.seat_of(self.host, self.incarnation)

    @property
    def fresh_until(self) -> float:
        """Monotonic seconds until which this host's state is fresh."""
        # A seat that changes hands confirms nothing. Otherwise the
        # majorities before and after the change need not share a holder.
        return self._probes.fresh_until(self._effective)

    def fresh(self, now: float) -> bool:
        """Whether new work may be admitted under the effective state."""
        return self._in_force.version > 0 and now < self.fresh_until

    def store_seen(self, now: float) -> bool:
        """Whether confirmations by the store alone keep this host fresh."""
        return self._probes.is_fresh_by_store(now)

    def version_by_peer(self) -> dict[str, int]:
        """Return the version last reported by each peer."""
        return self._probes.version_by_peer()

    def count_version(self, now: float, version: int) -> tuple[int, int]:
        """Return how many hosts have a version and how many are behind.

        Hosts that are behind count only while this host hears from them.
        """
        has, behind = self._probes.count_peers_with_version(now, version)
        own = self._in_force.version >= version
        return has + own, behind + (not own)

    def gone(self, now: float, listed: Collection[str]) -> tuple[str, ...]:
        """Return seat holders that no peer reaches and the list omits.

        Args:
            listed: names on the platform's list of live hosts.
        """
        return self._probes.unreachable_holders(now, self._in_force, listed)

    def overdue(
        self, now: float
    ) -> tuple[prepared_changes.PreparedChange, ...]:
        """Return prepared changes to settle by reading the table."""
        return self._prepared.overdue(now)

    def what_changed_since(self, version: int) -> tuple[str, ...] | None:
        """Return the paths of the state changed since a version.

        Returns None if the version is no longer remembered.
        """
        return self._history.changed_since(version, self._in_force.version)

    def tick(self, now: float) -> list[effects.Effect]:
        """Probe every peer; call every ``PROBE_INTERVAL_S``."""
        seq = self._probes.begin_round(now, self._in_force)
        return self._send_to_all(
            messages.Probe(seq, self._in_force.version, self.prepared)
        )

    def _send_to_all(self, message: messages.Message) -> list[effects.Effect]:
        return [
            effects.Send(name, message) for name in self._probes.peer_names
        ]

    def received(
        self, now: float, sender: messages.Hello, message: messages.Message
    ) -> list[effects.Effect]:
        """Process a message of a peer.

        Args:
            sender: the peer's name and incarnation.

        Raises:
            MessageError: the message is malformed.
        """
        self._probes.record_contact(now, sender)
        handler = handler_by_type[type(message)]
        return handler(self, now, sender.host, message)

    @_handles(messages.Probe)
    def _handle_probe(
        self, now: float, sender: str, message: messages.Probe
    ) -> list[effects.Effect]:
        self._probes.peer(sender).version = message.version
        # Changes that the sender lacks are sent before the answer that
        # lists their tokens.
        decided: list[effects.Effect] = [
            effects.Send(sender, prepare)
            for prepare in self._prepared.missing_from(message.prepared)
        ]
        answer = messages.ProbeAck(
            message.seq,
            self._in_force.version,
            self.prepared,
            self.store_seen(now),
            self._probes.silent_holders(now, self._in_force),
        )
        decided.append(effects.Send(sender, answer))
        return decided + self._request_newer_state(
            now, sender, message.version
        )

    @_handles(messages.ProbeAck)
    def _handle_probe_ack(
        self, now: float, sender: str, message: messages.ProbeAck
    ) -> list[effects.Effect]:
        peer = self._probes.peer(sender)
        peer.version = message.version
        peer.silent_holders = message.silent
        if freshness.confirms_version(
            message.version,
            message.prepared,
            self._in_force.version,
            self._prepared.known_tokens,
        ):
            self._probes.record_confirmation(sender, message.seq)
        return self._request_newer_state(now, sender, message.version)

    def _request_newer_state(
        self, now: float, sender: str, version: int
    ) -> list[effects.Effect]:
        current = self._in_force.version
        if version <= current or not self._probes.try_begin_state_request(
            now, sender
        ):
            return []
        return [effects.Send(sender, state_messages.StateRequest(current))]

    def store_confirmed(
        self, asked_at: float, version: int, row_version: int
    ) -> None:
        """Record a version that the store returned.

        Args:
            asked_at: monotonic seconds at which the read was sent.
        """
        if version == self._in_force.version:
            self.row_version = row_version
            self._probes.record_store_confirmation(asked_at)

    # Changes that this host makes.

    def prepare(
        self,
        now: float,
        state: fleet.FleetState,
        restrictions: fleet.Restrictions,
    ) -> list[effects.Effect]:
        """Apply a change's restrictions here and ask all peers to do so."""
        message = state_messages.Prepare(
            state.version,
            state.token,
            fleet.compress_json(msgspec.json.encode(restrictions)),
            self.host,
        )
        self._add_prepared(
            prepared_changes.PreparedChange(message, restrictions, now)
        )
        self._prepared.expect_acknowledgements(state.token)
        return self._send_to_all(message) + self._record_acknowledgement(
            state.token, self.host
        )

    @property
    def acknowledgements_needed(self) -> int:
        """Number of seats that must acknowledge a change."""
        return freshness.acknowledgements_needed(
            self._in_force.entry_seats,
            sum(bool(seat.holder) for seat in self._in_force.seats),
        )

    def acknowledged(self, token: str) -> int:
        """Return how many seats have acknowledged this host's change."""
        return self._prepared.count_acknowledgements(token, self._in_force)

    def _record_acknowledgement(
        self, token: str, name: str
    ) -> list[effects.Effect]:
        if not self._prepared.record_acknowledgement(token, name):
            return []
        if self.acknowledged(token) < self.acknowledgements_needed:
            return []
        return [effects.ChangePrepared(token)]

    @_handles(state_messages.PrepareAck)
    def _handle_prepare_ack(
        self, now: float, sender: str, message: state_messages.PrepareAck
    ) -> list[effects.Effect]:
        return (
            self._record_acknowledgement(message.token, sender)
            if message.ok
            else []
        )

    def commit(
        self, now: float, state: fleet.FleetState, row_version: int
    ) -> list[effects.Effect]:
        """Put an accepted change in force here and send it to all peers."""
        self._prepared.forget_acknowledgements(state.token)
        decided = self.offer(now, state, row_version, self.host)
        difference = self._history.commit_for(state.version)
        # The answers to the probe show which peers have the version.
        return (
            decided
            + (self._send_to_all(difference) if difference else [])
            + self.tick(now)
        )

    def abort(self, now: float, token: str) -> list[effects.Effect]:
        """Lift the restrictions of a change that won't be accepted."""
        self._prepared.forget_acknowledgements(token)
        self._abort_prepared(token)
        return self._send_to_all(state_messages.Abort(token))

    # Changes that other hosts make.

    @_handles(state_messages.Prepare)
    def _handle_prepare(
        self, now: float, sender: str, message: state_messages.Prepare
    ) -> list[effects.Effect]:
        token, current = message.token, self._in_force.version
        if self._prepared.is_aborted(token):
            return [effects.Send(sender, state_messages.Abort(token))]
        if message.version <= current:
            return self._answer_prepare(message, sender, ok=False)
        if token not in self._prepared.tokens:
            if self._prepared.is_full:
                return self._answer_prepare(message, sender, ok=False)
            restrictions = state_history.decode_json(
                message.restrictions, fleet.Restrictions
            )
            self._add_prepared(
                prepared_changes.PreparedChange(message, restrictions, now)
            )
        if message.version > current + 1:
            # Acknowledged only once the previous version is in force, so
            # that no majority can confirm a state two versions old.
            return self._request_newer_state(now, sender, message.version - 1)
        return self._answer_prepare(message, sender, ok=True)

    def _answer_prepare(
        self, message: state_messages.Prepare, sender: str, *, ok: bool
    ) -> list[effects.Effect]:
        maker = message.maker or sender
        reply = state_messages.PrepareAck(message.token, ok)
        # A peer may have forwarded a change of this host back to it.
        return [] if maker == self.host else [effects.Send(maker, reply)]

    def _add_prepared(self, change: prepared_changes.PreparedChange) -> None:
        self._prepared.add(change)
        self._update_effective()

    def _abort_prepared(self, token: str) -> None:
        was_prepared = token in self._prepared.tokens
        self._prepared.abort(token)
        if was_prepared:
            self._update_effective()

    def _update_effective(self) -> None:
        self._effective = restriction_policy.apply_restrictions(
            self._in_force, self._prepared.restrictions
        )

    @_handles(state_messages.Abort)
    def _handle_abort(
        self, now: float, sender: str, message: state_messages.Abort
    ) -> list[effects.Effect]:
        self._abort_prepared(message.token)
        return []

    @_handles(state_messages.Commit)
    def _handle_commit(
        self, now: float, sender: str, message: state_messages.Commit
    ) -> list[effects.Effect]:
        if not message.state and (
            message.base_version != self._in_force.version
        ):
            return self._request_newer_state(
                now, sender, message.base_version + 1
            )
        state = self._history.apply_commit(self._in_force, message)
        return self.offer(now, state, message.row_version, sender, message)

    @_handles(state_messages.StateRequest)
    def _handle_state_request(
        self, now: float, sender: str, message: state_messages.StateRequest
    ) -> list[effects.Effect]:
        if message.version >= self._in_force.version:
            return []
        reply = self._history.build_reply(
            message.version, self._in_force, self.row_version
        )
        return [effects.Send(sender, reply)]

    @_handles(state_messages.StateReply)
    def _handle_state_reply(
        self, now: float, sender: str, message: state_messages.StateReply
    ) -> list[effects.Effect]:
        if message.state:
            whole = state_messages.Commit(message.state, message.row_version)
            return self._handle_commit(now, sender, whole)
        decided: list[effects.Effect] = []
        for difference in message.differences:
            if difference.base_version == self._in_force.version:
                decided += self._handle_commit(now, sender, difference)
        return decided

    def offer(
        self,
        now: float,
        state: fleet.FleetState,
        row_version: int,
        source: str,
        step: state_messages.Commit | None = None,
    ) -> list[effects.Effect]:
        """Put an accepted state in force if its version is higher.

        Args:
            source: who supplied it, for the log.
            step: the message that carried it, if a peer sent it.
        """
        previous = self._in_force
        if state.version <= previous.version:
            return []
        self._history.add(previous, state, row_version, step)
        self._in_force = state
        self.row_version = row_version
        decided: list[effects.Effect] = [
            effects.StateInstalled(state.version, previous.version, source)
        ]
        for prepare in self._prepared.settle_version(state.version):
            decided += self._answer_prepare(prepare, self.host, ok=True)
        self._update_effective()
        self._update_seat(now)
        return decided

    def _update_seat(self, now: float) -> None:
        seat = self._in_force.seat_of(self.host, self.incarnation)
        if seat == self._seat_in_force:
            return
        self._seat_in_force = seat
        self.base_usable_at = float("inf")
        if seat is not None:
            wait_s = seat_policy.base_wait_s(self._in_force, seat)
            self.base_usable_at = now + wait_s
