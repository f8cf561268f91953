"""Changes whose restrictions apply before they are accepted or aborted."""

import dataclasses

from azurevane._internal.models import fleet
from azurevane._internal.models import state_messages

# A change that is still unsettled after this long has lost its maker, because
# a maker gives up its own write earlier (operators/change_maker.py).
OVERDUE_AFTER_S = 8.0

_MAX_PREPARED = 64
_MAX_REMEMBERED_ABORTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedChange:
    """A change that is prepared here and not settled yet."""

    message: state_messages.Prepare
    restrictions: fleet.Restrictions
    received_at: float


class PreparedChanges:
    """Owns the prepared changes, and acknowledgements of own changes."""

    def __init__(self) -> None:
        self._change_by_token: dict[str, PreparedChange] = {}
        self._aborted: dict[str, None] = {}
        self._acknowledged_by_own_token: dict[str, set[str]] = {}

    @property
    def tokens(self) -> tuple[str, ...]:
        """Tokens of the prepared changes."""
        return tuple(self._change_by_token)

    @property
    def known_tokens(self) -> set[str]:
        """Tokens of changes that are prepared or known to be aborted."""
        return {*self._change_by_token, *self._aborted}

    @property
    def is_full(self) -> bool:
        """Whether no further change can be prepared."""
        return len(self._change_by_token) >= _MAX_PREPARED

    @property
    def restrictions(self) -> tuple[fleet.Restrictions, ...]:
        """Restrictions of the prepared changes."""
        return tuple(
            change.restrictions for change in self._change_by_token.values()
        )

    def is_aborted(self, token: str) -> bool:
        """Whether a change is known to be aborted."""
        return token in self._aborted

    def missing_from(
        self, tokens: tuple[str, ...]
    ) -> tuple[state_messages.Prepare, ...]:
        """Return the messages of prepared changes not listed in tokens."""
        return tuple(
            change.message
            for token, change in self._change_by_token.items()
            if token not in tokens
        )

    def add(self, change: PreparedChange) -> None:
        """Add a prepared change."""
        self._change_by_token[change.message.token] = change

    def abort(self, token: str) -> None:
        """Drop a change that can no longer be accepted."""
        self._change_by_token.pop(token, None)
        self._aborted[token] = None
        while len(self._aborted) > _MAX_REMEMBERED_ABORTS:
            del self._aborted[next(iter(self._aborted))]

    def settle_version(
        self, version: int
    ) -> tuple[state_messages.Prepare, ...]:
        """Drop the changes that a version in force settles.

        Only one change is accepted for each version, so no other change
        prepared for this version or an earlier one can be accepted.

        Returns:
            The messages of changes prepared for the next version.
        """
        self._change_by_token = {
            token: change
            for token, change in self._change_by_token.items()
            if change.message.version > version
        }
        return tuple(
            change.message
            for change in self._change_by_token.values()
            if change.message.version == version + 1
        )

    def overdue(self, now: float) -> tuple[PreparedChange, ...]:
        """Return changes that must be settled by reading the table."""
        return tuple(
            change
            for change in self._change_by_token.values()
            if now - change.received_at >= OVERDUE_AFTER_S
        )

    def expect_acknowledgements(self, token: str) -> None:
        """Start to count acknowledgements of a change of this host."""
        self._acknowledged_by_own_token[token] = set()

    def forget_acknowledgements(self, token: str) -> None:
        """Stop counting acknowledgements of a change of this host."""
        self._acknowledged_by_own_token.pop(token, None)

    def record_acknowledgement(self, token: str, name: str) -> bool:
        """Record that a host acknowledged a change of this host.

        Returns:
            False if it had done so before or the change isn't counted.
        """
        names = self._acknowledged_by_own_token.get(token)
        if names is None or name in names:
            return False
        names.add(name)
        return True

    def count_acknowledgements(
        self, token: str, state: fleet.FleetState
    ) -> int:
        """Return how many seats acknowledged a change of this host.

        A host's acknowledgement counts in any incarnation, because a
        restarted holder can no longer confirm an older version as the
        holder of its seat.
        """
        names = self._acknowledged_by_own_token.get(token, set())
        return sum(seat.holder in names for seat in state.seats)
