"""The latest versions of the fleet state, kept as differences."""

import collections
from typing import TypeVar

import msgspec

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import state_difference
from azurevane._internal.models import state_messages

_T = TypeVar("_T")

# A host that has missed more versions than this is sent the whole state.
_MAX_REMEMBERED_VERSIONS = 64


def decode_json(data: bytes, cls: type[_T]) -> _T:
    """Decode the compressed JSON of a message.

    Raises:
        MessageError: the data is malformed.
    """
    try:
        return msgspec.json.decode(fleet.decompress_json(data), type=cls)
    except msgspec.MsgspecError as error:
        raise exceptions.MessageError(
            f"Peer sent a malformed {cls.__name__}: {error}"
        ) from error


# Fields that every change modifies, so they aren't reported to operators.
_BOOKKEEPING = frozenset(("version", "token", "content_version"))


class StateHistory:
    """Remembers, per version, the difference from its predecessor."""

    def __init__(self) -> None:
        self._commit_by_version: collections.OrderedDict[
            int, state_messages.Commit
        ] = collections.OrderedDict()

    def add(
        self,
        old: fleet.FleetState,
        new: fleet.FleetState,
        row_version: int,
        commit: state_messages.Commit | None,
    ) -> None:
        """Remember the change from one version to a later one.

        Args:
            commit: the message with the difference, if a peer sent one;
                otherwise the difference is computed.
        """
        if commit is None or not commit.difference:
            changes = state_difference.compute_difference(old, new)
            packed = fleet.compress_json(msgspec.json.encode(changes))
            commit = state_messages.Commit(
                b"", row_version, old.version, packed
            )
        self._commit_by_version[new.version] = commit
        while len(self._commit_by_version) > _MAX_REMEMBERED_VERSIONS:
            self._commit_by_version.popitem(last=False)

    def commit_for(self, version: int) -> state_messages.Commit | None:
        """Return the difference that led to a version, as a message."""
        return self._commit_by_version.get(version)

    def _commits_between(
        self, old: int, new: int
    ) -> tuple[state_messages.Commit, ...] | None:
        commits: list[state_messages.Commit] = []
        while new > old:
            commit = self._commit_by_version.get(new)
            if commit is None:
                return None
            commits.append(commit)
            new = commit.base_version
        return tuple(reversed(commits)) if new == old else None

    def build_reply(
        self, version: int, state: fleet.FleetState, row_version: int
    ) -> state_messages.StateReply:
        """Return the message that brings a host from a version to a state."""
        commits = self._commits_between(version, state.version)
        if commits is None:
            packed = fleet.compress_json(fleet.encode_state(state))
            return state_messages.StateReply(packed, row_version)
        return state_messages.StateReply(b"", row_version, commits)

    def apply_commit(
        self, current: fleet.FleetState, message: state_messages.Commit
    ) -> fleet.FleetState:
        """Return the state that a message carries or leads to.

        Raises:
            MessageError: the message is malformed or doesn't apply to the
                current state.
        """
        if message.state:
            return decode_json(message.state, fleet.FleetState)
        changes = decode_json(message.difference, dict)
        return state_difference.apply_difference(current, changes)

    def changed_since(self, old: int, new: int) -> tuple[str, ...] | None:
        """Return the paths that changed between two versions.

        Returns None if a version between them is no longer remembered.
        """
        commits = self._commits_between(old, new)
        if commits is None:
            return None
        paths = {
            path
            for commit in commits
            for path in state_difference.changed_paths(
                decode_json(commit.difference, dict)
            )
        }
        return tuple(
            sorted(path for path in paths if not _is_bookkeeping(path))
        )


def _is_bookkeeping(path: str) -> bool:
    return path in _BOOKKEEPING or path.startswith("history")
