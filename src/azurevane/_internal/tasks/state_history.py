"""The last versions of the fleet state, as differences."""

import collections
from typing import TypeVar

import msgspec

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import state_difference
from azurevane._internal.models import state_messages

_T = TypeVar("_T")

# A host that missed more versions gets the whole state.
_REMEMBERED_VERSIONS = 64


def decode(data: bytes, cls: type[_T]) -> _T:
    """Decode compressed JSON of a message.

    Raises:
        MessageError: the data is malformed.
    """
    try:
        return msgspec.json.decode(fleet.decompress_json(data), type=cls)
    except msgspec.MsgspecError as error:
        raise exceptions.MessageError(
            f"Peer sent a malformed {cls.__name__}: {error}"
        ) from error


# Fields that every change touches; they tell an operator nothing.
_BOOKKEEPING = frozenset(("version", "token", "content_version"))


class StateHistory:
    """Remembers how each version came from the one before it."""

    def __init__(self) -> None:
        self._step_by_version: collections.OrderedDict[
            int, state_messages.Commit
        ] = collections.OrderedDict()

    def add(
        self,
        old: fleet.FleetState,
        new: fleet.FleetState,
        row_version: int,
        step: state_messages.Commit | None,
    ) -> None:
        """Remember a step from one version to a later one.

        Args:
            step: the step, if a peer sent it.
        """
        if step is None or not step.difference:
            changes = state_difference.difference(old, new)
            packed = fleet.compress_json(msgspec.json.encode(changes))
            step = state_messages.Commit(b"", row_version, old.version, packed)
        self._step_by_version[new.version] = step
        while len(self._step_by_version) > _REMEMBERED_VERSIONS:
            self._step_by_version.popitem(last=False)

    def last(self, version: int) -> state_messages.Commit | None:
        """Return the step that led to a version."""
        return self._step_by_version.get(version)

    def _steps(
        self, old: int, new: int
    ) -> tuple[state_messages.Commit, ...] | None:
        steps: list[state_messages.Commit] = []
        while new > old:
            step = self._step_by_version.get(new)
            if step is None:
                return None
            steps.append(step)
            new = step.base_version
        return tuple(reversed(steps)) if new == old else None

    def reply(
        self, version: int, state: fleet.FleetState, row_version: int
    ) -> state_messages.StateReply:
        """Return what brings a host from a version to this state."""
        steps = self._steps(version, state.version)
        if steps is None:
            packed = fleet.compress_json(fleet.encode_state(state))
            return state_messages.StateReply(packed, row_version)
        return state_messages.StateReply(b"", row_version, steps)

    def read(
        self, current: fleet.FleetState, message: state_messages.Commit
    ) -> fleet.FleetState:
        """Return the state that a message carries.

        Raises:
            MessageError: it is malformed or doesn't fit the current one.
        """
        if message.state:
            return decode(message.state, fleet.FleetState)
        changes = decode(message.difference, dict)
        return state_difference.apply(current, changes)

    def changed_since(self, old: int, new: int) -> tuple[str, ...] | None:
        """Return the places that changed between two versions."""
        steps = self._steps(old, new)
        if steps is None:
            return None
        paths = {
            path
            for step in steps
            for path in state_difference.changed_paths(
                decode(step.difference, dict)
            )
        }
        return tuple(
            sorted(path for path in paths if not _is_bookkeeping(path))
        )


def _is_bookkeeping(path: str) -> bool:
    return path in _BOOKKEEPING or path.startswith("history")
