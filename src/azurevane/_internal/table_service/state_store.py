"""The fleet state's rows in the table.

One transaction writes the state's row, the row of the manifest if that
changed, and a small row that names the token of the version. So a change
of a key doesn't carry a manifest of hundreds of kilobytes.
"""

import base64
import dataclasses
from typing import Any

import msgspec

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.table_service import table

ROW = "fleet/state"

_PREFIX = "fleet/"
_MANIFEST_ROW = "fleet/manifest"
_TOKEN_ROW = "fleet/token/{:02d}"

# A write whose answer was lost is looked for among this many versions.
_REMEMBERED_TOKENS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """A fleet state and the version of the row that holds it.

    Attributes:
        token_by_version: who made the last versions, as far as read.
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
        return decode(await self._client.read_prefix(_PREFIX))

    async def read_if_changed(self, row_version: int) -> StoredState | None:
        """Return the stored state, or None if the row is unchanged.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        row = await self._client.read_if_changed(ROW, row_version)
        return None if row is None else await self.read()

    async def replace(
        self, current: StoredState, state: fleet.FleetState
    ) -> StoredState | None:
        """Write a state over the one read; None if another won.

        Raises:
            StoreUnavailable: no usable answer; it may have been written.
        """
        token_row = _TOKEN_ROW.format(state.version % _REMEMBERED_TOKENS)
        values: dict[str, Any] = {
            ROW: _pack(dataclasses.replace(state, manifest=None)),
            token_row: {"version": state.version, "token": state.token},
        }
        if state.manifest != current.state.manifest:
            values[_MANIFEST_ROW] = _pack(state.manifest)
        applied = await self._client.transact(
            table.Transaction(
                token=state.token,
                version_by_checked_row={ROW: current.row_version},
                value_by_row=values,
            )
        )
        if not applied.applied:
            return None
        return StoredState(
            state,
            applied.version_by_row[ROW],
            {state.version: state.token},
        )


def _pack(value: Any) -> dict[str, str]:
    packed = fleet.compress_json(msgspec.json.encode(value))
    return {"packed": base64.b64encode(packed).decode()}


def _unpack(value: Any) -> bytes:
    return fleet.decompress_json(
        base64.b64decode(value["packed"], validate=True)
    )


def decode(rows: tuple[table.Row, ...]) -> StoredState:
    """Return the state in rows that were read together.

    Raises:
        StoreUnavailable: the rows can't be read.
    """
    row_by_name = {row.name: row for row in rows}
    row = row_by_name.get(ROW)
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
        tokens = {
            item.value["version"]: item.value["token"]
            for item in rows
            if item.name.startswith(_TOKEN_ROW.split("{", maxsplit=1)[0])
        }
    except (KeyError, ValueError, exceptions.MessageError) as error:
        raise exceptions.StoreUnavailable(
            f"Rows {_PREFIX} can't be read: {error!r}"
        ) from error
    return StoredState(state, row.version, tokens)
