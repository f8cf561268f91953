"""Acquires and renews the controller leases of a site's pools.

The leases are rows of the table. A holder measures a lease from when it
sent the write, a standby from when it received the changed row, so that
the holder always stops first. The epoch fences off previous holders at
the workers and at the table even if clocks run wrong.
"""

from collections.abc import Callable, Iterable
import dataclasses
from typing import Any, TypeAlias

from azurevane._internal.models import rows as row_models

LEASE_S = 3.6
RENEW_INTERVAL_S = 1.2
# Ticks are 0.05 s apart, so reads are at most 0.6 s apart.
READ_INTERVAL_S = 0.55
# Failed calls at most this far apart count as one continuous outage of the
# store. During a longer gap, such as a pause of this process, the store may
# have been up, so another daemon may hold the lease.
OUTAGE_FAILURE_GAP_S = 3.0
# A gap between reads longer than this counts as an outage. The holder could
# not renew during it, so a standby waits one full lease before it takes over.
OUTAGE_READ_GAP_S = 1.8

LEASE_ROW_PREFIX = "controller"

Operation: TypeAlias = row_models.ReadPrefix | row_models.WriteBatch


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this daemon holds.

    Attributes:
        fence_version: version of the epoch row, which changes only with
            the holder; writes for the pool are conditional on it.
        confirmed_until: monotonic seconds at which the lease expires
            unless it is renewed.
        uncertain: whether tasks may run that a previous holder started
            during an outage, without a record. The lease row says so too,
            for the next holder.
    """

    epoch: int
    row_version: int
    fence_version: int
    confirmed_until: float
    uncertain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ObservedLease:
    """A lease row as read.

    Attributes:
        uncertain: whether its holder was ``HeldLease.uncertain``.
        unchanged_since: monotonic seconds at which this version was
            first read.
    """

    version: int
    fence_version: int
    holder: str
    incarnation: str
    epoch: int
    token: str
    uncertain: bool
    unchanged_since: float


def lease_row(pool: str) -> str:
    """Return the name of the row that stores a pool's lease."""
    return f"controller/{pool}"


def fence_row(pool: str) -> str:
    """Return the name of a pool's epoch row.

    It changes only with the holder, unlike the lease row, which changes
    with each renewal.
    """
    return f"controller-epoch/{pool}"


class ControllerLeases:
    """State machine for the leases of all pools of a site.

    All pools form one group: a daemon takes over every expired lease in
    one transaction. Renewals thus cost one write per 1.2 s, and a single
    daemon counts a team's running tasks.
    """

    def __init__(
        self, holder: str, incarnation: str, new_token: Callable[[], str]
    ) -> None:
        self._holder = holder
        self._incarnation = incarnation
        self._new_token = new_token
        self._pools: tuple[str, ...] = ()
        self._held_by_pool: dict[str, HeldLease] = {}
        self._observed_by_pool: dict[str, _ObservedLease] = {}
        self._sent_at_by_token: dict[str, float] = {}
        self._operation: Operation | None = None
        self._operation_sent_at = 0.0
        self._number = 0
        self._read_due_at = 0.0
        self._must_read = True
        self._renew_due_at = 0.0
        self._last_read_at: float | None = None
        self._read_gap_at = 0.0
        self._last_failure_at: float | None = None
        self._down_since: float | None = None

    def configure(self, pools: Iterable[str]) -> None:
        """Apply the pools of a new fleet state."""
        self._pools = tuple(sorted(pools))
        for pool in set(self._held_by_pool) - set(self._pools):
            del self._held_by_pool[pool]

    def active_lease(self, now: float, pool: str) -> HeldLease | None:
        """Return the lease under which this daemon may act now.

        A lease held when an outage of the store began stays active
        during the outage, because no other daemon can take it over.
        """
        held = self._held_by_pool.get(pool)
        if held is None:
            return None
        if now < held.confirmed_until or self._was_held_when_outage_began(
            now, held
        ):
            return held
        return None

    def epoch(self, pool: str) -> int | None:
        """Return the epoch of a lease not known to be lost, or None."""
        held = self._held_by_pool.get(pool)
        return None if held is None else held.epoch

    def record_starts_known(self, pool: str) -> None:
        """Record that all starts of previous holders have records now."""
        held = self._held_by_pool.get(pool)
        if held is not None and held.uncertain:
            self._held_by_pool[pool] = dataclasses.replace(
                held, uncertain=False
            )

    @property
    def store_down(self) -> bool:
        """Whether the last call to the store failed."""
        return self._last_failure_at is not None

    def handle_superseded(self, pool: str, epoch: int) -> None:
        """Give up a lease because a worker has seen a higher epoch."""
        held = self._held_by_pool.get(pool)
        if held is not None and held.epoch < epoch:
            del self._held_by_pool[pool]
            self._must_read = True

    def tick(self, now: float) -> list[Operation]:
        """Return the operation that is due, if any.

        Nothing is due while another operation is in progress.
        """
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

    def handle_rows_read(
        self, now: float, number: int, rows: Iterable[row_models.StoredRow]
    ) -> None:
        """Process the rows that a read returned."""
        if not self._complete_operation(number):
            return
        gap = now - (self._last_read_at or now)
        restarted = (
            gap > OUTAGE_READ_GAP_S
            and self._last_failure_at is not None
            and not self._held_by_pool
        )
        # The first read of this process gives no information about the
        # time before it.
        if self._last_read_at is None or restarted:
            self._read_gap_at = now
        self._last_read_at = now
        self._record_answer()
        self._must_read = False
        row_by_name = {row.name: row for row in rows}
        for pool in self._pools:
            self._observe_lease(now, pool, row_by_name, restarted)
        self._read_due_at = self._operation_sent_at + READ_INTERVAL_S

    def handle_write_result(
        self,
        now: float,
        number: int,
        applied: bool,
        version_by_row: dict[str, int],
    ) -> None:
        """Process the answer to a write.

        Args:
            applied: False if a check failed, so that nothing was written.
        """
        batch = self._operation
        if not self._complete_operation(number):
            return
        assert isinstance(batch, row_models.WriteBatch)
        self._record_answer()
        del self._sent_at_by_token[batch.token]
        if not applied:
            self._must_read = True
            return
        for pool in self._pools:
            if lease_row(pool) in batch.value_by_row:
                self._record_held_lease(pool, batch, version_by_row)
        self._renew_due_at = self._operation_sent_at + RENEW_INTERVAL_S

    def handle_failure(self, now: float, number: int) -> None:
        """Record that an operation got no usable answer."""
        if not self._complete_operation(number):
            return
        outage_begins = (
            self._last_failure_at is None
            or now - self._last_failure_at > OUTAGE_FAILURE_GAP_S
        )
        if outage_begins:
            self._down_since = now
        self._last_failure_at = now
        # The write may have been applied: the token in the row shows it.
        self._read_due_at = max(now, self._operation_sent_at + READ_INTERVAL_S)

    def _complete_operation(self, number: int) -> bool:
        if self._operation is None or self._operation.number != number:
            return False
        self._operation = None
        return True

    def _was_held_when_outage_began(self, now: float, held: HeldLease) -> bool:
        return (
            self._down_since is not None
            # The other daemons don't notice a shorter outage as a gap
            # between reads, so one of them may take over the lease as
            # soon as the outage ends.
            and self._last_failure_at is not None
            and self._last_failure_at - self._down_since >= OUTAGE_READ_GAP_S
            and self._down_since < held.confirmed_until
            and now - self._last_failure_at <= OUTAGE_FAILURE_GAP_S
        )

    def _record_answer(self) -> None:
        self._down_since = None
        self._last_failure_at = None

    def _next_operation(self, now: float) -> Operation | None:
        state_known = self._last_failure_at is None
        if self._must_read:
            state_known = False
        if self._held_by_pool and state_known and now >= self._renew_due_at:
            return self._build_renewal()
        expired = self._find_expired_pools(now) if state_known else ()
        if expired:
            return self._build_takeover(expired)
        if self._is_read_due(now):
            self._number += 1
            return row_models.ReadPrefix(self._number, LEASE_ROW_PREFIX)
        return None

    def _is_read_due(self, now: float) -> bool:
        if self._must_read:
            return True
        return now >= self._read_due_at and (
            set(self._held_by_pool) != set(self._pools)
            or self._last_failure_at is not None
        )

    def _find_expired_pools(self, now: float) -> tuple[str, ...]:
        if not self._observed_by_pool or self._must_read:
            return ()
        others = [
            pool for pool in self._pools if pool not in self._held_by_pool
        ]
        held_by_other = any(
            self._observed_by_pool[pool].holder
            and now < self._observed_by_pool[pool].unchanged_since + LEASE_S
            for pool in others
            if pool in self._observed_by_pool
        )
        if held_by_other:
            return ()
        return tuple(pool for pool in others if pool in self._observed_by_pool)

    def _observe_lease(
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
        before = self._observed_by_pool.get(pool)
        unchanged = before is not None and before.version == version
        unchanged_since = (
            before.unchanged_since if before and unchanged else now
        )
        observed = _ObservedLease(
            version,
            fence.version if fence is not None else 0,
            value.get("holder", ""),
            value.get("incarnation", ""),
            value.get("epoch", 0),
            value.get("token", ""),
            value.get("uncertain", False),
            now if restarted else unchanged_since,
        )
        self._observed_by_pool[pool] = observed
        if observed.incarnation == self._incarnation and observed.holder:
            self._adopt_lease(pool, observed)
        else:
            self._held_by_pool.pop(pool, None)

    def _adopt_lease(self, pool: str, observed: _ObservedLease) -> None:
        """Keep a lease whose row was last written by this process."""
        held = self._held_by_pool.get(pool)
        confirmed_until = held.confirmed_until if held is not None else 0.0
        sent_at = self._sent_at_by_token.get(observed.token)
        if sent_at is not None:
            confirmed_until = max(confirmed_until, sent_at + LEASE_S)
        self._held_by_pool[pool] = HeldLease(
            observed.epoch,
            observed.version,
            observed.fence_version,
            confirmed_until,
            held.uncertain if held is not None else True,
        )
        self._renew_due_at = 0.0

    def _lease_value(
        self, epoch: int, token: str, *, uncertain: bool
    ) -> dict[str, Any]:
        return {
            "holder": self._holder,
            "incarnation": self._incarnation,
            "epoch": epoch,
            "token": token,
            "uncertain": uncertain,
        }

    def _build_renewal(self) -> row_models.WriteBatch:
        self._number += 1
        token = self._new_token()
        # Bounds the tokens of writes that failed in an outage. They are
        # needed only while one of them may be a row's last writer.
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
                lease_row(pool): self._lease_value(
                    held.epoch, token, uncertain=held.uncertain
                )
                for pool, held in self._held_by_pool.items()
            },
        )

    def _build_takeover(self, pools: tuple[str, ...]) -> row_models.WriteBatch:
        self._number += 1
        token = self._new_token()
        checks: dict[str, int] = {}
        values: dict[str, Any] = {}
        for pool in pools:
            observed = self._observed_by_pool[pool]
            checks[lease_row(pool)] = observed.version
            checks[fence_row(pool)] = observed.fence_version
            values[lease_row(pool)] = self._lease_value(
                observed.epoch + 1,
                token,
                uncertain=self._is_takeover_uncertain(pool),
            )
            values[fence_row(pool)] = {"epoch": observed.epoch + 1}
        return row_models.WriteBatch(self._number, token, checks, values)

    def _record_held_lease(
        self,
        pool: str,
        batch: row_models.WriteBatch,
        version_by_row: dict[str, int],
    ) -> None:
        before = self._held_by_pool.get(pool)
        taken_over = fence_row(pool) in batch.value_by_row
        assert taken_over or before is not None, "renewal of a lease not held"
        epoch = batch.value_by_row[lease_row(pool)]["epoch"]
        assert before is None or epoch >= before.epoch, "epoch went back"
        self._held_by_pool[pool] = HeldLease(
            epoch,
            version_by_row[lease_row(pool)],
            version_by_row[fence_row(pool)]
            if taken_over or before is None
            else before.fence_version,
            self._operation_sent_at + LEASE_S,
            batch.value_by_row[lease_row(pool)]["uncertain"]
            if taken_over
            else _is_uncertain(before),
        )

    def _is_takeover_uncertain(self, pool: str) -> bool:
        observed = self._observed_by_pool[pool]
        return observed.uncertain or (
            observed.version > 0
            and self._read_gap_at >= observed.unchanged_since
        )

    def build_release(self) -> row_models.WriteBatch | None:
        """Return a write that clears the holder of every held lease.

        Another daemon can then take over at once. Returns None if no
        lease is held.
        """
        if not self._held_by_pool:
            return None
        batch = self._build_renewal()
        values = {
            name: {**value, "holder": "", "incarnation": ""}
            for name, value in batch.value_by_row.items()
        }
        self._held_by_pool.clear()
        return dataclasses.replace(batch, value_by_row=values)


def _is_uncertain(held: HeldLease | None) -> bool:
    return held is None or held.uncertain
