"""Journals of idempotency claims in the table, one per seat."""

import msgspec

from azurevane._internal.models import claim_records
from azurevane._internal.table_service import table


def _head_row_name(seat: int) -> str:
    return f"claim-head/{seat}"


def _segment_prefix(seat: int) -> str:
    return f"claim-journal/{seat}/"


class ClaimJournal:
    """Reads the journals and appends segments to them.

    A journal has a head row and one row per segment. Each write replaces
    the head row, on condition that its version is unchanged. The holder
    of a newer epoch replaces the head row before any other write, so later
    writes of the previous holder are refused.
    """

    def __init__(self, client: table.TableClient) -> None:
        self._client = client

    async def read(self, seat: int) -> claim_records.StoredJournal:
        """Return the whole journal of a seat.

        Raises:
            StoreUnavailable: the table service gave no usable answer.
        """
        # The head is read first: a segment written after that is then read
        # without its head, and the next write with the old head's version
        # is refused.
        head = await self._client.read(_head_row_name(seat))
        rows = await self._client.read_prefix(_segment_prefix(seat))
        segments = (
            msgspec.convert(row.value, claim_records.Segment) for row in rows
        )
        return claim_records.StoredJournal(
            head.version,
            None
            if head.value is None
            else msgspec.convert(head.value, claim_records.JournalHead),
            tuple(sorted(segments, key=lambda item: item.number)),
        )

    async def append(
        self, write: claim_records.AppendJournal
    ) -> tuple[bool, int]:
        """Write a segment and replace the head row.

        Returns:
            Whether the write applied, and the version of the head row.

        Raises:
            StoreUnavailable: no usable answer; the segment may have been
                written.
        """
        head, prefix = _head_row_name(write.seat), _segment_prefix(write.seat)
        value_by_row: claim_records.JsonObject = {
            f"{prefix}{number}": None for number in write.dropped
        }
        value_by_row[head] = msgspec.to_builtins(write.head)
        if write.segment.claims or write.segment.outcomes:
            value_by_row[f"{prefix}{write.segment.number}"] = (
                msgspec.to_builtins(write.segment)
            )
        result = await self._client.transact(
            table.Transaction(
                token=write.head.token,
                version_by_checked_row={head: write.head_version},
                value_by_row=value_by_row,
            )
        )
        return result.applied, result.version_by_row[head]
