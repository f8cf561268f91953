"""Finds a runner for a submission and acquires the permits of a slot."""

from collections.abc import Sequence
import dataclasses
import enum
import logging
from typing import TypeAlias

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import request_events
from azurevane._internal.models import fleet
from azurevane._internal.models import request as request_models
from azurevane._internal.policy import routing
from azurevane._internal.tasks import permits as permits_module
from azurevane._internal.tasks import pool_work
from azurevane._internal.tasks import runner_index

logger = logging.getLogger(__name__)


class NoSlotReason(enum.Enum):
    """Why a submission can't get a slot now."""

    TEAM_LIMIT = "team at its upper limit at this host"
    NO_PERMIT = "no runner with a free permit"
    ONLY_AVOIDED_RUNNER = "only the runner of the previous attempt is free"


# A runner with a free permit, and the pool that it belongs to.
RunnerChoice: TypeAlias = tuple[runner_index.RunnerRecord, pool_work.PoolWork]


@dataclasses.dataclass(slots=True)
class AcquiredSlot:
    """A slot whose permits have been acquired.

    Attributes:
        owner: the pool that the runner belongs to.
        reasons: why this runner was chosen, for the log.
    """

    record: runner_index.RunnerRecord
    owner: pool_work.PoolWork
    reasons: tuple[str, ...]


def check_invariant(condition: bool, event: catalogue.Event) -> None:
    """Log an event and raise if an invariant doesn't hold.

    Raises:
        InvariantViolation: the condition is false.
    """
    if condition:
        return
    catalogue.emit(logger, event)
    raise exceptions.InvariantViolation(repr(event))


class SlotFinder:
    """Chooses runners and acquires the permits for their slots."""

    def __init__(self, zone: str, permits: permits_module.Permits) -> None:
        self._zone = zone
        self._permits = permits
        self._zones_out: frozenset[str] = frozenset()
        self._draining: frozenset[str] = frozenset()

    def configure(self, state: fleet.FleetState) -> None:
        """Record the zones and hosts that must get no new work."""
        self._zones_out = frozenset(state.zones_out)
        self._draining = frozenset(state.draining)

    def find_runner(
        self,
        now: float,
        work: pool_work.PoolWork,
        spares: Sequence[pool_work.PoolWork],
        avoid: str = "",
    ) -> RunnerChoice | None:
        """Return the runner for the next submission of a pool.

        Args:
            spares: spare pools, whose idle slots serve the other pools.
            avoid: name of a runner to use only if no other one is open.
        """
        record = work.index.pick_runner(now, avoid)
        if record is not None:
            return record, work
        for spare in spares:
            if spare is work or spare.ledger.next_team(now) is not None:
                continue
            record = spare.index.pick_runner(now, avoid)
            if record is not None:
                return record, spare
        return None

    def acquire_slot(
        self,
        now: float,
        work: pool_work.PoolWork,
        choice: RunnerChoice,
        item: request_models.Submission,
        not_after: float,
    ) -> AcquiredSlot | NoSlotReason:
        """Acquire the team's and the runner's permit for a submission.

        Args:
            choice: runner with a free permit.
            not_after: monotonic seconds by which the run will have ended.
        """
        record, owner = choice
        holder = item.submission_id
        if item.team and not self._permits.acquire(
            now, permits_module.team_limit_key(item.team), holder, not_after
        ):
            return NoSlotReason.TEAM_LIMIT
        if not self._permits.acquire(now, record.limit_key, holder, not_after):
            # No run has used the team's permit, so peers need not learn
            # of its release.
            self._permits.release(now, holder)
            record.entry = None
            return NoSlotReason.NO_PERMIT
        self._check_runner_allowed(item, record)
        return self._occupy_slot(now, work, record, owner)

    def _occupy_slot(
        self,
        now: float,
        work: pool_work.PoolWork,
        record: runner_index.RunnerRecord,
        owner: pool_work.PoolWork,
    ) -> AcquiredSlot:
        reasons = routing.explain_choice(
            record.zone == self._zone,
            record.outstanding,
            "" if owner is work else owner.name,
        )
        owner.index.record_start(now, record)
        return AcquiredSlot(record, owner, reasons)

    def _check_runner_allowed(
        self,
        item: request_models.Submission,
        record: runner_index.RunnerRecord,
    ) -> None:
        cause = ""
        if record.zone in self._zones_out:
            cause = "zone-out"
        elif record.name in self._draining:
            cause = "draining"
        if cause:
            check_invariant(
                False,
                request_events.RoutedToBlockedRunner(
                    item.submission_id, record.name, record.zone, cause
                ),
            )
