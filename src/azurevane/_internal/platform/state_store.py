"""The fleet state's row in the table."""

import base64
import dataclasses
from typing import Any

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.platform import table

ROW = "fleet/state"

# A write whose answer was lost is looked for among this many versions.
_REMEMBERED_TOKENS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """A fleet state and the version of the row that holds it.

    Attributes:
        token_by_version: who made the last versions.
    """

    state: fleet.FleetState
    row_version: int
    token_by_version: dict[int, str] = dataclasses.field(default_factory=dict)


class StateStore:
    """Reads the fleet state and replaces it by compare-and-set."""

    def __init__(self, client: table.TableClient) -> None:
        self._client = client

    async def read(self) -> StoredState:
        """Return the stored state; version 0 if there is none yet.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        return _decode(await self._client.read(ROW))

    async def read_if_changed(self, row_version: int) -> StoredState | None:
        """Return the stored state, or None if the row is unchanged.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        row = await self._client.read_if_changed(ROW, row_version)
        return None if row is None else _decode(row)

    async def replace(
        self, current: StoredState, state: fleet.FleetState
    ) -> StoredState | None:
        """Write a state over the one read; None if another won.

        Raises:
            StoreUnavailable: no usable answer; it may have been written.
        """
        tokens = {**current.token_by_version, state.version: state.token}
        kept = dict(sorted(tokens.items())[-_REMEMBERED_TOKENS:])
        applied = await self._client.transact(
            table.Transaction(
                token=state.token,
                version_by_checked_row={ROW: current.row_version},
                value_by_row={ROW: _encode(state, kept)},
            )
        )
        if not applied.applied:
            return None
        return StoredState(state, applied.version_by_row[ROW], kept)


def _encode(
    state: fleet.FleetState, token_by_version: dict[int, str]
) -> dict[str, Any]:
    # Compressed, because each change writes the whole row and a large
    # site's manifest has hundreds of kilobytes.
    packed = fleet.pack(fleet.encode_state(state))
    return {
        "version": state.version,
        "tokens": {str(key): item for key, item in token_by_version.items()},
        "packed": base64.b64encode(packed).decode(),
    }


def _decode(row: table.Row) -> StoredState:
    if row.value is None:
        return StoredState(fleet.FleetState(), row.version)
    try:
        packed = base64.b64decode(row.value["packed"], validate=True)
        state = fleet.decode_state(fleet.unpack(packed))
        tokens = {int(key): t for key, t in row.value["tokens"].items()}
    except (KeyError, ValueError, exceptions.MessageError) as error:
        raise exceptions.StoreUnavailable(
            f"Row {ROW} can't be read: {error!r}"
        ) from error
    return StoredState(state, row.version, tokens)
