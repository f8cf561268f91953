"""Finds a slot for a submission and takes the permits for it."""

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


class Blocked(enum.Enum):
    """Why a submission gets no slot now."""

    LIMIT = "team at its upper limit here"
    POOL = "no runner with a permit"
    AVOIDED = "only the runner of the earlier try is free"


Found: TypeAlias = tuple[runner_index.RunnerRecord, pool_work.PoolWork]


@dataclasses.dataclass(slots=True)
class Slot:
    """A slot whose permits have been taken.

    Attributes:
        owner: work of the pool that the runner belongs to.
        reasons: why this runner, for the log.
    """

    record: runner_index.RunnerRecord
    owner: pool_work.PoolWork
    reasons: tuple[str, ...]


def check(condition: bool, event: catalogue.Event) -> None:
    """Check an invariant.

    Raises:
        InvariantViolation: the condition is false.
    """
    if condition:
        return
    catalogue.emit(logger, event)
    raise exceptions.InvariantViolation(repr(event))


class SlotFinder:
    """Chooses runners and holds the permits of what runs there."""

    def __init__(self, zone: str, permits: permits_module.Permits) -> None:
        self._zone = zone
        self._permits = permits
        self._zones_out: frozenset[str] = frozenset()
        self._draining: frozenset[str] = frozenset()

    def configure(self, state: fleet.FleetState) -> None:
        """Note what must get no new work."""
        self._zones_out = frozenset(state.zones_out)
        self._draining = frozenset(state.draining)

    def find(
        self,
        now: float,
        work: pool_work.PoolWork,
        spares: Sequence[pool_work.PoolWork],
        avoid: str = "",
    ) -> Found | None:
        """Return the runner for the next submission of a pool.

        Args:
            spares: pools whose idle slots serve the others.
            avoid: name of a runner that is used only if it is the last.
        """
        record = work.index.pick(now, avoid)
        if record is not None:
            return record, work
        for spare in spares:
            if spare is work or spare.ledger.next_team(now) is not None:
                continue
            record = spare.index.pick(now, avoid)
            if record is not None:
                return record, spare
        return None

    def take(
        self,
        now: float,
        work: pool_work.PoolWork,
        found: Found,
        item: request_models.Submission,
        not_after: float,
    ) -> Slot | Blocked:
        """Take the permits of a submission.

        Args:
            found: runner with a free permit.
            not_after: monotonic seconds by which the run has ended.
        """
        record, owner = found
        holder = item.submission_id
        if item.team and not self._permits.acquire(
            now, permits_module.team_limit_key(item.team), holder, not_after
        ):
            return Blocked.LIMIT
        if not self._permits.acquire(now, record.limit_key, holder, not_after):
            # No run has used the team's permit, so nobody needs to hear.
            self._permits.release(now, holder)
            record.entry = None
            return Blocked.POOL
        self._check(item, record)
        return self._slot(now, work, record, owner)

    def _slot(
        self,
        now: float,
        work: pool_work.PoolWork,
        record: runner_index.RunnerRecord,
        owner: pool_work.PoolWork,
    ) -> Slot:
        reasons = routing.explain_choice(
            record.zone == self._zone,
            record.outstanding,
            "" if owner is work else owner.name,
        )
        owner.index.started(now, record)
        return Slot(record, owner, reasons)

    def _check(
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
            check(
                False,
                request_events.RoutedToBlockedRunner(
                    item.submission_id, record.name, record.zone, cause
                ),
            )
