"""Keeps the fleet state that is in force on this entry host."""

from azurevane._internal.models import fleet


class StateKeeper:
    """Owns the fleet state in force; the version never goes back."""

    def __init__(self) -> None:
        self._state = fleet.FleetState()

    @property
    def state(self) -> fleet.FleetState:
        """The fleet state in force."""
        return self._state

    def offer(self, state: fleet.FleetState) -> bool:
        """Put a state in force if its version is higher."""
        if state.version <= self._state.version:
            return False
        self._state = state
        return True

    def fresh(self, now: float) -> bool:
        """Whether the state in force was confirmed recently enough."""
        return self._state.version > 0
