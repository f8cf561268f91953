"""Changes whose restrictions are obeyed before they are decided."""

import dataclasses

from azurevane._internal.models import fleet
from azurevane._internal.models import state_messages

# A change that is still open after this long has lost its maker, which
# gives up its own write earlier (operators/change_maker.py).
SETTLE_AFTER_S = 8.0

_MAX_PREPARED = 64
_REMEMBERED_ABORTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedChange:
    """A change that is prepared here and not decided yet."""

    message: state_messages.Prepare
    restrictions: fleet.Restrictions
    received_at: float


class PreparedChanges:
    """Owns the prepared changes and, for own ones, who obeys them."""

    def __init__(self) -> None:
        self._change_by_token: dict[str, PreparedChange] = {}
        self._aborted: dict[str, None] = {}
        self._names_by_own_token: dict[str, set[str]] = {}

    @property
    def tokens(self) -> tuple[str, ...]:
        """Tokens of the prepared changes."""
        return tuple(self._change_by_token)

    @property
    def known(self) -> set[str]:
        """Tokens of changes that are obeyed or known to be aborted."""
        return {*self._change_by_token, *self._aborted}

    @property
    def full(self) -> bool:
        """Whether no further change is taken."""
        return len(self._change_by_token) >= _MAX_PREPARED

    @property
    def restrictions(self) -> tuple[fleet.Restrictions, ...]:
        """Restrictions that are obeyed."""
        return tuple(
            change.restrictions for change in self._change_by_token.values()
        )

    def aborted(self, token: str) -> bool:
        """Whether a change is known to be aborted."""
        return token in self._aborted

    def missing_from(
        self, tokens: tuple[str, ...]
    ) -> tuple[state_messages.Prepare, ...]:
        """Return the messages of the changes that aren't among tokens."""
        return tuple(
            change.message
            for token, change in self._change_by_token.items()
            if token not in tokens
        )

    def obey(self, change: PreparedChange) -> None:
        """Add a change."""
        self._change_by_token[change.message.token] = change

    def lift(self, token: str) -> None:
        """Drop a change that can't be accepted any more."""
        self._change_by_token.pop(token, None)
        self._aborted[token] = None
        while len(self._aborted) > _REMEMBERED_ABORTS:
            del self._aborted[next(iter(self._aborted))]

    def decide(self, version: int) -> tuple[state_messages.Prepare, ...]:
        """Drop what a version in force decides; return what is next.

        A version is decided once, so every other change prepared for it
        or for an earlier one has lost.
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
        """Return changes that must be settled by the table."""
        return tuple(
            change
            for change in self._change_by_token.values()
            if now - change.received_at >= SETTLE_AFTER_S
        )

    def expect_acknowledgements(self, token: str) -> None:
        """Count who obeys a change of this host."""
        self._names_by_own_token[token] = set()

    def forget_acknowledgements(self, token: str) -> None:
        """Stop counting for a change of this host."""
        self._names_by_own_token.pop(token, None)

    def acknowledge(self, token: str, name: str) -> bool:
        """Note who obeys; False if it was known or isn't counted."""
        names = self._names_by_own_token.get(token)
        if names is None or name in names:
            return False
        names.add(name)
        return True

    def acknowledged(self, token: str, state: fleet.FleetState) -> int:
        """Return how many seats acknowledged a change of this host.

        A name counts in any incarnation: a restarted holder can't confirm
        an older version as the holder of its seat any more.
        """
        names = self._names_by_own_token.get(token, set())
        return sum(seat.holder in names for seat in state.seats)
