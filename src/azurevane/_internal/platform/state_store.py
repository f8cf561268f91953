"""The fleet state's row in the table."""

import dataclasses

import msgspec

from azurevane._internal.models import fleet
from azurevane._internal.platform import table

ROW = "fleet/state"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """A fleet state and the version of the row that holds it."""

    state: fleet.FleetState
    row_version: int


class StateStore:
    """Reads the fleet state and replaces it by compare-and-set."""

    def __init__(self, client: table.TableClient) -> None:
        self._client = client

    async def read(self) -> StoredState:
        """Return the stored state; version 0 if there is none yet.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        row = await self._client.read(ROW)
        if row.value is None:
            return StoredState(fleet.FleetState(), row.version)
        state = msgspec.convert(row.value, type=fleet.FleetState)
        return StoredState(state, row.version)

    async def replace(
        self, current: StoredState, state: fleet.FleetState
    ) -> bool:
        """Write a state over the one read; False if another won.

        Raises:
            StoreUnavailable: no usable answer; it may have been written.
        """
        applied = await self._client.transact(
            table.Transaction(
                token=state.token,
                version_by_checked_row={ROW: current.row_version},
                value_by_row={ROW: msgspec.to_builtins(state)},
            )
        )
        return applied.applied
