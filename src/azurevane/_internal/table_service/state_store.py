"""Storage of the fleet state in rows of the table.

One transaction writes the row of the state, the row of the manifest if the
manifest changed, and a small row with the token of the version. So a change
of an API key doesn't write a manifest of hundreds of kilobytes again.
"""

import base64
import dataclasses
from typing import Any

import msgspec

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.table_service import table

STATE_ROW = "fleet/state"

_PREFIX = "fleet/"
_MANIFEST_ROW = "fleet/manifest"
_TOKEN_ROW = "fleet/token/{:02d}"

# The tokens of this many versions are kept, so that a maker whose answer was
# lost can look up whether its write was applied.
_KEPT_TOKENS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """A fleet state and the version of the row that holds it.

    Attributes:
        token_by_version: tokens of the changes that made the latest
            versions, as far as they were read.
    """

    state: fleet.FleetState
    row_version: int
    token_by_version: dict[int, str] = dataclasses.field(default_factory=dict)


class StateStore:
    """Reads the fleet state and replaces it by compare-and-set."""

    def __init__(self, client: table.TableClient) -> None:
        self._client = client

    async def read(self) -> StoredState:
        """Return the stored state; row version 0 if there is none yet.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        return decode_rows(await self._client.read_prefix(_PREFIX))

    async def read_if_changed(self, row_version: int) -> StoredState | None:
        """Return the stored state, or None if the row is unchanged.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        row = await self._client.read_if_changed(STATE_ROW, row_version)
        return None if row is None else await self.read()

    async def replace(
        self, current: StoredState, state: fleet.FleetState
    ) -> StoredState | None:
        """Replace the state that was read by the next one.

        Returns:
            The state as stored, or None if the row had changed meanwhile.

        Raises:
            StoreUnavailable: no usable answer; the state may have been
                written.
        """
        token_row = _TOKEN_ROW.format(state.version % _KEPT_TOKENS)
        value_by_row: dict[str, Any] = {
            STATE_ROW: _pack(dataclasses.replace(state, manifest=None)),
            token_row: {"version": state.version, "token": state.token},
        }
        if state.manifest != current.state.manifest:
            value_by_row[_MANIFEST_ROW] = _pack(state.manifest)
        result = await self._client.transact(
            table.Transaction(
                token=state.token,
                version_by_checked_row={STATE_ROW: current.row_version},
                value_by_row=value_by_row,
            )
        )
        if not result.applied:
            return None
        return StoredState(
            state,
            result.version_by_row[STATE_ROW],
            {state.version: state.token},
        )


def _pack(value: Any) -> dict[str, str]:
    packed = fleet.compress_json(msgspec.json.encode(value))
    return {"packed": base64.b64encode(packed).decode()}


def _unpack(value: Any) -> bytes:
    return fleet.decompress_json(
        base64.b64decode(value["packed"], validate=True)
    )


def decode_rows(rows: tuple[table.Row, ...]) -> StoredState:
    """Return the state in rows that were read by one call.

    Raises:
        StoreUnavailable: the rows can't be read.
    """
    row_by_name = {row.name: row for row in rows}
    row = row_by_name.get(STATE_ROW)
    if row is None:
        return StoredState(fleet.FleetState(), 0)
    try:
        state = fleet.decode_state(_unpack(row.value))
        if _MANIFEST_ROW in row_by_name:
            manifest = msgspec.json.decode(
                _unpack(row_by_name[_MANIFEST_ROW].value),
                type=manifest_models.Manifest | None,
            )
            state = dataclasses.replace(state, manifest=manifest)
        token_by_version = {
            item.value["version"]: item.value["token"]
            for item in rows
            if item.name.startswith(_TOKEN_ROW.split("{", maxsplit=1)[0])
        }
    except (KeyError, ValueError, exceptions.MessageError) as error:
        raise exceptions.StoreUnavailable(
            f"Rows {_PREFIX} can't be read: {error!r}"
        ) from error
    return StoredState(state, row.version, token_by_version)
