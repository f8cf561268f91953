"""Keeps the fleet state in force on this entry host, and its freshness.

Takes messages and returns effects; owns no socket and reads no clock.
Every ``now`` is in monotonic seconds of this host.
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
    def register(handler: _HandlerT) -> _HandlerT:
        handler_by_type[message_type] = handler
        return handler

    return register


class StateKeeper:
    """Owns the fleet state in force; the version never goes back.

    Args:
        host: name of this entry host; no two live processes share it.
        incarnation: identifies this process start.
        peers: names of the entry hosts known from the settings.
        now: monotonic seconds.

    Attributes:
        row_version: version of the table's row with the state in force.
        base_usable_at: monotonic seconds from when the base part of the
            own seat may be used; infinite without a seat.
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
        self._followed_seat: fleet.Seat | None = None

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
        """The state that work is judged by: the effective one."""
        return self._effective

    @property
    def prepared(self) -> tuple[str, ...]:
        """Tokens of the changes that are prepared but not decided."""
        return self._prepared.tokens

    @property
    def seat(self) -> fleet.Seat | None:
        """The seat that this process holds, unless it changes hands."""
        return self._effective.seat_of(self.host, self.incarnation)

    @property
    def fresh_until(self) -> float:
        """Monotonic seconds at which the known confirmations end."""
        # A seat that changes hands confirms nothing: majorities before
        # and after the change need not share a holder otherwise.
        return self._probes.fresh_until(self._effective)

    def fresh(self, now: float) -> bool:
        """Whether new work may be admitted under the effective state."""
        return self._in_force.version > 0 and now < self.fresh_until

    def store_seen(self, now: float) -> bool:
        """Whether the store alone keeps this host fresh."""
        return self._probes.is_fresh_by_store(now)

    def version_by_peer(self) -> dict[str, int]:
        """Return the newest version that each peer has reported."""
        return self._probes.version_by_peer()

    def count_version(self, now: float, version: int) -> tuple[int, int]:
        """Return how many hosts have a version, and how many lack it.

        Those that lack it count only if they are in touch.
        """
        has, behind = self._probes.count_peers_with_version(now, version)
        own = self._in_force.version >= version
        return has + own, behind + (not own)

    def gone(self, now: float, listed: Collection[str]) -> tuple[str, ...]:
        """Return seat holders that neither peers nor the list show.

        Args:
            listed: names on the platform's list of live hosts.
        """
        return self._probes.unreachable_holders(now, self._in_force, listed)

    def overdue(
        self, now: float
    ) -> tuple[prepared_changes.PreparedChange, ...]:
        """Return prepared changes that the table must settle."""
        return self._prepared.overdue(now)

    def what_changed_since(self, version: int) -> tuple[str, ...] | None:
        """Return the places changed since; None if no longer known."""
        return self._history.changed_since(version, self._in_force.version)

    def tick(self, now: float) -> list[effects.Effect]:
        """Probe every peer; call every ``PROBE_INTERVAL_S``."""
        seq = self._probes.begin_round(now, self._in_force)
        return self._to_all(
            messages.Probe(seq, self._in_force.version, self.prepared)
        )

    def _to_all(self, message: messages.Message) -> list[effects.Effect]:
        return [
            effects.Send(name, message) for name in self._probes.peer_names
        ]

    def received(
        self, now: float, sender: messages.Hello, message: messages.Message
    ) -> list[effects.Effect]:
        """Take a message that a peer sent in an incarnation.

        Raises:
            MessageError: the message is malformed.
        """
        self._probes.record_contact(now, sender)
        handler = handler_by_type[type(message)]
        return handler(self, now, sender.host, message)

    @_handles(messages.Probe)
    def _probe(
        self, now: float, sender: str, message: messages.Probe
    ) -> list[effects.Effect]:
        self._probes.peer(sender).version = message.version
        # What the sender lacks goes ahead of the answer that names it.
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
        return decided + self._catch_up(now, sender, message.version)

    @_handles(messages.ProbeAck)
    def _probe_ack(
        self, now: float, sender: str, message: messages.ProbeAck
    ) -> list[effects.Effect]:
        peer = self._probes.peer(sender)
        peer.version = message.version
        peer.silent_holders = message.silent
        if freshness.confirms_version(
            message.version,
            message.prepared,
            self._in_force.version,
            self._prepared.known,
        ):
            self._probes.record_confirmation(sender, message.seq)
        return self._catch_up(now, sender, message.version)

    def _catch_up(
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
        """Note the version that the store answered to a question."""
        if version == self._in_force.version:
            self.row_version = row_version
            self._probes.record_store_confirmation(asked_at)

    # Changes made by this host.

    def prepare(
        self,
        now: float,
        state: fleet.FleetState,
        restrictions: fleet.Restrictions,
    ) -> list[effects.Effect]:
        """Obey a change's restrictions here and ask all peers to."""
        message = state_messages.Prepare(
            state.version,
            state.token,
            fleet.compress_json(msgspec.json.encode(restrictions)),
            self.host,
        )
        self._obey(prepared_changes.PreparedChange(message, restrictions, now))
        self._prepared.expect_acknowledgements(state.token)
        return self._to_all(message) + self._acknowledge(
            state.token, self.host
        )

    @property
    def acknowledgements_needed(self) -> int:
        """How many seats must acknowledge a change."""
        return freshness.acknowledgements_needed(
            self._in_force.entry_seats,
            sum(bool(seat.holder) for seat in self._in_force.seats),
        )

    def acknowledged(self, token: str) -> int:
        """Return how many seats acknowledged a change of this host."""
        return self._prepared.acknowledged(token, self._in_force)

    def _acknowledge(self, token: str, name: str) -> list[effects.Effect]:
        if not self._prepared.acknowledge(token, name):
            return []
        if self.acknowledged(token) < self.acknowledgements_needed:
            return []
        return [effects.ChangePrepared(token)]

    @_handles(state_messages.PrepareAck)
    def _prepare_ack(
        self, now: float, sender: str, message: state_messages.PrepareAck
    ) -> list[effects.Effect]:
        return self._acknowledge(message.token, sender) if message.ok else []

    def commit(
        self, now: float, state: fleet.FleetState, row_version: int
    ) -> list[effects.Effect]:
        """Put an accepted change of this host in force everywhere."""
        self._prepared.forget_acknowledgements(state.token)
        decided = self.offer(now, state, row_version, self.host)
        step = self._history.last(state.version)
        # The answers to the probe tell who has the version.
        return decided + (self._to_all(step) if step else []) + self.tick(now)

    def abort(self, now: float, token: str) -> list[effects.Effect]:
        """Lift the restrictions of a change that can't be accepted."""
        self._prepared.forget_acknowledgements(token)
        self._lift(token)
        return self._to_all(state_messages.Abort(token))

    # Changes made elsewhere.

    @_handles(state_messages.Prepare)
    def _prepare(
        self, now: float, sender: str, message: state_messages.Prepare
    ) -> list[effects.Effect]:
        token, current = message.token, self._in_force.version
        if self._prepared.aborted(token):
            return [effects.Send(sender, state_messages.Abort(token))]
        if message.version <= current:
            return self._reply(message, sender, ok=False)
        if token not in self._prepared.tokens:
            if self._prepared.full:
                return self._reply(message, sender, ok=False)
            taken = state_history.decode(
                message.restrictions, fleet.Restrictions
            )
            self._obey(prepared_changes.PreparedChange(message, taken, now))
        if message.version > current + 1:
            # Acknowledged once the version before it is in force: a
            # majority must never be able to confirm two versions back.
            return self._catch_up(now, sender, message.version - 1)
        return self._reply(message, sender, ok=True)

    def _reply(
        self, message: state_messages.Prepare, sender: str, *, ok: bool
    ) -> list[effects.Effect]:
        maker = message.maker or sender
        reply = state_messages.PrepareAck(message.token, ok)
        # A peer may pass a change back to its maker.
        return [] if maker == self.host else [effects.Send(maker, reply)]

    def _obey(self, change: prepared_changes.PreparedChange) -> None:
        self._prepared.obey(change)
        self._recompute()

    def _lift(self, token: str) -> None:
        obeyed = token in self._prepared.tokens
        self._prepared.lift(token)
        if obeyed:
            self._recompute()

    def _recompute(self) -> None:
        self._effective = restriction_policy.apply_restrictions(
            self._in_force, self._prepared.restrictions
        )

    @_handles(state_messages.Abort)
    def _abort(
        self, now: float, sender: str, message: state_messages.Abort
    ) -> list[effects.Effect]:
        self._lift(message.token)
        return []

    @_handles(state_messages.Commit)
    def _commit(
        self, now: float, sender: str, message: state_messages.Commit
    ) -> list[effects.Effect]:
        if not message.state and (
            message.base_version != self._in_force.version
        ):
            return self._catch_up(now, sender, message.base_version + 1)
        state = self._history.read(self._in_force, message)
        return self.offer(now, state, message.row_version, sender, message)

    @_handles(state_messages.StateRequest)
    def _state_request(
        self, now: float, sender: str, message: state_messages.StateRequest
    ) -> list[effects.Effect]:
        if message.version >= self._in_force.version:
            return []
        reply = self._history.reply(
            message.version, self._in_force, self.row_version
        )
        return [effects.Send(sender, reply)]

    @_handles(state_messages.StateReply)
    def _state_reply(
        self, now: float, sender: str, message: state_messages.StateReply
    ) -> list[effects.Effect]:
        if message.state:
            whole = state_messages.Commit(message.state, message.row_version)
            return self._commit(now, sender, whole)
        decided: list[effects.Effect] = []
        for step in message.differences:
            if step.base_version == self._in_force.version:
                decided += self._commit(now, sender, step)
        return decided

    def offer(
        self,
        now: float,
        state: fleet.FleetState,
        row_version: int,
        source: str,
        step: state_messages.Commit | None = None,
    ) -> list[effects.Effect]:
        """Put an accepted state in force if its version is higher."""
        previous = self._in_force
        if state.version <= previous.version:
            return []
        self._history.add(previous, state, row_version, step)
        self._in_force = state
        self.row_version = row_version
        decided: list[effects.Effect] = [
            effects.StateInstalled(state.version, previous.version, source)
        ]
        for prepare in self._prepared.decide(state.version):
            decided += self._reply(prepare, self.host, ok=True)
        self._recompute()
        self._follow_seat(now)
        return decided

    def _follow_seat(self, now: float) -> None:
        seat = self._in_force.seat_of(self.host, self.incarnation)
        if seat == self._followed_seat:
            return
        self._followed_seat = seat
        self.base_usable_at = float("inf")
        if seat is not None:
            wait_s = seat_policy.base_wait_s(self._in_force, seat)
            self.base_usable_at = now + wait_s
