"""Holds the controller leases of a site's pools in the table.

A holder counts a lease from when it sent the write. A standby counts
from when it received the row, so the holder always stops first. The
epoch protects workers and the table even if no clock does.
"""

from collections.abc import Callable, Iterable
import dataclasses
from typing import Any, TypeAlias

from azurevane._internal.models import rows as row_models

LEASE_S = 3.6
RENEW_INTERVAL_S = 1.2
# Ticks are 0.05 s apart, so that reads are at most 0.6 s apart.
READ_INTERVAL_S = 0.55
# Failed calls no further apart than this show that the store has been down
# without a break. After a longer gap, such as a pause of this process, the
# store may have been up and another daemon may hold the lease.
OUTAGE_EVIDENCE_S = 3.0
# Reads further apart than this show an outage. The holder couldn't renew
# during it and gets a whole lease again before the lease is taken.
READ_GAP_S = 1.8

PREFIX = "controller"

Operation: TypeAlias = row_models.ReadPrefix | row_models.WriteBatch


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A lease of this daemon.

    Attributes:
        fence_version: version of the epoch row, which changes only with
            the holder; writes for the pool are conditional on it.
        confirmed_until: monotonic seconds.
        uncertain: whether an outage may lie between the last renewal of
            the holder before and the takeover.
    """

    epoch: int
    row_version: int
    fence_version: int
    confirmed_until: float
    uncertain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    version: int
    fence_version: int
    holder: str
    incarnation: str
    epoch: int
    token: str
    since: float


def lease_row(pool: str) -> str:
    """Return the name of the row that holds a pool's lease."""
    return f"controller/{pool}"


def fence_row(pool: str) -> str:
    """Return the name of the row that changes only with the holder."""
    return f"controller-epoch/{pool}"


class ControllerLeases:
    """Takes, renews and loses the leases of all pools of a site.

    All pools form one group: a daemon takes every lapsed lease in one
    transaction, so renewals cost one write per 1.2 s and the count of a
    team's running tasks has one owner.
    """

    def __init__(
        self, holder: str, incarnation: str, new_token: Callable[[], str]
    ) -> None:
        self._holder = holder
        self._incarnation = incarnation
        self._new_token = new_token
        self._pools: tuple[str, ...] = ()
        self._held_by_pool: dict[str, Held] = {}
        self._seen_by_pool: dict[str, _Seen] = {}
        self._sent_at_by_token: dict[str, float] = {}
        self._operation: Operation | None = None
        self._operation_sent_at = 0.0
        self._number = 0
        self._read_due_at = 0.0
        self._must_read = True
        self._renew_due_at = 0.0
        self._last_read_at: float | None = None
        self._gap_at = 0.0
        self._last_failure_at: float | None = None
        self._down_since: float | None = None

    def configure(self, pools: Iterable[str]) -> None:
        """Follow the pools of a new fleet state."""
        self._pools = tuple(sorted(pools))
        for pool in set(self._held_by_pool) - set(self._pools):
            del self._held_by_pool[pool]

    def held(self, now: float, pool: str) -> Held | None:
        """Return the lease under which this daemon may act now."""
        held = self._held_by_pool.get(pool)
        if held is None:
            return None
        if now < held.confirmed_until or self._down_since_held(now, held):
            return held
        return None

    def epoch(self, pool: str) -> int | None:
        """Return the epoch of a lease that isn't known to be lost."""
        held = self._held_by_pool.get(pool)
        return None if held is None else held.epoch

    @property
    def store_down(self) -> bool:
        """Whether the last call to the store failed."""
        return self._last_failure_at is not None

    def superseded(self, pool: str, epoch: int) -> None:
        """Give up a lease because a worker has seen a higher epoch."""
        held = self._held_by_pool.get(pool)
        if held is not None and held.epoch < epoch:
            del self._held_by_pool[pool]
            self._must_read = True

    def tick(self, now: float) -> list[Operation]:
        """Return the next operation, if one is due; one runs at a time."""
        if self._operation is not None:
            return []
        operation = self._next_operation(now)
        if operation is None:
            return []
        self._operation = operation
        self._operation_sent_at = now
        if isinstance(operation, row_models.WriteBatch):
            self._sent_at_by_token[operation.token] = now
        return [operation]

    def rows_read(
        self, now: float, number: int, rows: Iterable[row_models.StoredRow]
    ) -> None:
        """Take the rows that a read returned."""
        if not self._settle(number):
            return
        gap = now - (self._last_read_at or now)
        restarted = (
            gap > READ_GAP_S
            and self._last_failure_at is not None
            and not self._held_by_pool
        )
        # The first read of this process says nothing about the time
        # before it.
        if self._last_read_at is None or restarted:
            self._gap_at = now
        self._last_read_at = now
        self._answered()
        self._must_read = False
        row_by_name = {row.name: row for row in rows}
        for pool in self._pools:
            self._observe(now, pool, row_by_name, restarted)
        self._read_due_at = self._operation_sent_at + READ_INTERVAL_S

    def written(
        self,
        now: float,
        number: int,
        applied: bool,
        version_by_row: dict[str, int],
    ) -> None:
        """Take the answer to a write."""
        batch = self._operation
        if not self._settle(number):
            return
        assert isinstance(batch, row_models.WriteBatch)
        self._answered()
        del self._sent_at_by_token[batch.token]
        if not applied:
            self._must_read = True
            return
        for pool in self._pools:
            if lease_row(pool) in batch.value_by_row:
                self._hold(pool, batch, version_by_row)
        self._renew_due_at = self._operation_sent_at + RENEW_INTERVAL_S

    def failed(self, now: float, number: int) -> None:
        """Note that an operation got no usable answer."""
        if not self._settle(number):
            return
        broken = (
            self._last_failure_at is None
            or now - self._last_failure_at > OUTAGE_EVIDENCE_S
        )
        if broken:
            self._down_since = now
        self._last_failure_at = now
        # A write may have taken effect: its token settles it.
        self._read_due_at = max(now, self._operation_sent_at + READ_INTERVAL_S)

    def _settle(self, number: int) -> bool:
        if self._operation is None or self._operation.number != number:
            return False
        self._operation = None
        return True

    def _down_since_held(self, now: float, held: Held) -> bool:
        return (
            self._down_since is not None
            # A shorter outage is no gap in the reads of the others, so
            # one of them may take the lease as soon as it ends.
            and self._last_failure_at is not None
            and self._last_failure_at - self._down_since >= READ_GAP_S
            and self._down_since < held.confirmed_until
            and now - self._last_failure_at <= OUTAGE_EVIDENCE_S
        )

    def _answered(self) -> None:
        self._down_since = None
        self._last_failure_at = None

    def _next_operation(self, now: float) -> Operation | None:
        settled = self._last_failure_at is None
        if self._must_read:
            settled = False
        if self._held_by_pool and settled and now >= self._renew_due_at:
            return self._renewal()
        lapsed = self._lapsed(now) if settled else ()
        if lapsed:
            return self._takeover(lapsed)
        if self._reads_now(now):
            self._number += 1
            return row_models.ReadPrefix(self._number, PREFIX)
        return None

    def _reads_now(self, now: float) -> bool:
        if self._must_read:
            return True
        return now >= self._read_due_at and (
            set(self._held_by_pool) != set(self._pools)
            or self._last_failure_at is not None
        )

    def _lapsed(self, now: float) -> tuple[str, ...]:
        if not self._seen_by_pool or self._must_read:
            return ()
        others = [
            pool for pool in self._pools if pool not in self._held_by_pool
        ]
        held_by_other = any(
            self._seen_by_pool[pool].holder
            and now < self._seen_by_pool[pool].since + LEASE_S
            for pool in others
            if pool in self._seen_by_pool
        )
        if held_by_other:
            return ()
        return tuple(pool for pool in others if pool in self._seen_by_pool)

    def _observe(
        self,
        now: float,
        pool: str,
        row_by_name: dict[str, row_models.StoredRow],
        restarted: bool,
    ) -> None:
        row = row_by_name.get(lease_row(pool))
        fence = row_by_name.get(fence_row(pool))
        value: dict[str, Any] = row.value if row is not None else {}
        version = row.version if row is not None else 0
        before = self._seen_by_pool.get(pool)
        unchanged = before is not None and before.version == version
        since = before.since if before and unchanged else now
        seen = _Seen(
            version,
            fence.version if fence is not None else 0,
            value.get("holder", ""),
            value.get("incarnation", ""),
            value.get("epoch", 0),
            value.get("token", ""),
            now if restarted else since,
        )
        self._seen_by_pool[pool] = seen
        if seen.incarnation == self._incarnation and seen.holder:
            self._adopt(pool, seen)
        else:
            self._held_by_pool.pop(pool, None)

    def _adopt(self, pool: str, seen: _Seen) -> None:
        """Keep a lease whose row shows an own write as the last one."""
        held = self._held_by_pool.get(pool)
        confirmed_until = held.confirmed_until if held is not None else 0.0
        sent_at = self._sent_at_by_token.get(seen.token)
        if sent_at is not None:
            confirmed_until = max(confirmed_until, sent_at + LEASE_S)
        self._held_by_pool[pool] = Held(
            seen.epoch,
            seen.version,
            seen.fence_version,
            confirmed_until,
            held.uncertain if held is not None else True,
        )
        self._renew_due_at = 0.0

    def _value(self, epoch: int, token: str) -> dict[str, Any]:
        return {
            "holder": self._holder,
            "incarnation": self._incarnation,
            "epoch": epoch,
            "token": token,
        }

    def _renewal(self) -> row_models.WriteBatch:
        self._number += 1
        token = self._new_token()
        # Tokens of writes that failed in an outage are kept only as long
        # as one of them can be the last writer of a row.
        if len(self._sent_at_by_token) > 16:
            self._sent_at_by_token.clear()
        return row_models.WriteBatch(
            self._number,
            token,
            {
                lease_row(pool): held.row_version
                for pool, held in self._held_by_pool.items()
            },
            {
                lease_row(pool): self._value(held.epoch, token)
                for pool, held in self._held_by_pool.items()
            },
        )

    def _takeover(self, pools: tuple[str, ...]) -> row_models.WriteBatch:
        self._number += 1
        token = self._new_token()
        checks: dict[str, int] = {}
        values: dict[str, Any] = {}
        for pool in pools:
            seen = self._seen_by_pool[pool]
            checks[lease_row(pool)] = seen.version
            checks[fence_row(pool)] = seen.fence_version
            values[lease_row(pool)] = self._value(seen.epoch + 1, token)
            values[fence_row(pool)] = {"epoch": seen.epoch + 1}
        return row_models.WriteBatch(self._number, token, checks, values)

    def _hold(
        self,
        pool: str,
        batch: row_models.WriteBatch,
        version_by_row: dict[str, int],
    ) -> None:
        before = self._held_by_pool.get(pool)
        taken = fence_row(pool) in batch.value_by_row
        assert taken or before is not None, "renewal of a lease not held"
        epoch = batch.value_by_row[lease_row(pool)]["epoch"]
        assert before is None or epoch >= before.epoch, "epoch went back"
        self._held_by_pool[pool] = Held(
            epoch,
            version_by_row[lease_row(pool)],
            version_by_row[fence_row(pool)]
            if taken or before is None
            else before.fence_version,
            self._operation_sent_at + LEASE_S,
            self._taken_uncertain(pool) if taken else _uncertain(before),
        )

    def _taken_uncertain(self, pool: str) -> bool:
        seen = self._seen_by_pool[pool]
        return seen.version > 0 and self._gap_at >= seen.since

    def release(self) -> row_models.WriteBatch | None:
        """Return a write that lets another daemon take over at once."""
        if not self._held_by_pool:
            return None
        batch = self._renewal()
        values = {
            name: {**value, "holder": "", "incarnation": ""}
            for name, value in batch.value_by_row.items()
        }
        self._held_by_pool.clear()
        return dataclasses.replace(batch, value_by_row=values)


def _uncertain(held: Held | None) -> bool:
    return held is None or held.uncertain
