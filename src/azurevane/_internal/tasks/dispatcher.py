"""Queues submissions and dispatches them to runners' slots."""

from collections.abc import Iterable
import dataclasses

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import permit_messages
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.policy import queueing
from azurevane._internal.tasks import demand_announcer
from azurevane._internal.tasks import permits as permits_module
from azurevane._internal.tasks import pool_work
from azurevane._internal.tasks import refusals
from azurevane._internal.tasks import runner_index
from azurevane._internal.tasks import slot_finder

# Counters of a team that became idle are reported for this long, so that a
# lost message doesn't leave a peer with old counters.
_IDLE_TEAM_REPORT_S = 2.0
# Reason of the failure by which a runner reports that it accepts no work.
_RUNNER_REFUSED_REASON = "runner-refused"


@dataclasses.dataclass(slots=True)
class _RunningSubmission:
    """A dispatched submission.

    Attributes:
        work: pool for which it was queued.
        owner: pool that the runner belongs to; may be a spare pool.
    """

    work: pool_work.PoolWork
    team: str
    record: runner_index.RunnerRecord
    owner: pool_work.PoolWork
    started_at: float


class Dispatcher:
    """Owns the queued and the running submissions of one entry host."""

    def __init__(
        self,
        permits: permits_module.Permits,
        zone: str = "",
        bounds: queueing.QueueBounds | None = None,
    ) -> None:
        self._permits = permits
        self._zone = zone
        self._bounds = bounds or queueing.QueueBounds()
        self._state = fleet.FleetState()
        self._work_by_pool: dict[str, pool_work.PoolWork] = {}
        self._spares: list[pool_work.PoolWork] = []
        self._record_by_runner: dict[str, runner_index.RunnerRecord] = {}
        self._location_by_id: dict[str, tuple[pool_work.PoolWork, str]] = {}
        self._queued_bytes = 0
        self._running_by_id: dict[str, _RunningSubmission] = {}
        self._max_run_by_queue: dict[str, float] = {}
        self._slot_finder = slot_finder.SlotFinder(zone, permits)
        self._announcer = demand_announcer.DemandAnnouncer(permits)
        self._limited_teams: set[str] = set()
        # Pools with work left after their own runners were full; they take
        # turns at the idle slots of spare pools.
        self._starved_pools: dict[str, None] = {}

    @property
    def running(self) -> int:
        """Number of dispatched submissions that haven't ended."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Number of submissions queued at this host."""
        return len(self._location_by_id)

    def configure(
        self, now: float, state: fleet.FleetState
    ) -> list[effects.Effect]:
        """Apply a new fleet state, including its restrictions."""
        self._state = state
        manifest = state.manifest
        if manifest is None:
            return []
        self._max_run_by_queue = {
            queue.name: queue.max_run_s for queue in manifest.queues
        }
        self._slot_finder.configure(state)
        self._configure_pools(now, state, manifest)
        decided: list[effects.Effect] = self._refuse_no_longer_allowed(
            state, manifest
        )
        for team in list(self._limited_teams):
            decided += self._unblock_team(now, team)
        for work in self._work_by_pool.values():
            decided += self._dispatch_pool(now, work)
        return decided

    def _configure_pools(
        self,
        now: float,
        state: fleet.FleetState,
        manifest: manifest_models.Manifest,
    ) -> None:
        records_by_pool: dict[str, list[runner_index.RunnerRecord]] = {
            pool.name: [] for pool in manifest.pools
        }
        records = {}
        for runner in manifest.runners:
            record = self._record_by_runner.get(runner.name)
            if record is None:
                record = runner_index.RunnerRecord(runner)
            record.zone, record.slots = runner.zone, runner.slots
            records[runner.name] = record
            records_by_pool[runner.pool].append(record)
        self._record_by_runner = records
        for pool in manifest.pools:
            index = runner_index.RunnerIndex(self._zone, self._permits)
            work = self._work_by_pool.get(pool.name)
            if work is None:
                work = pool_work.PoolWork(pool.name, pool.spare, index)
                self._work_by_pool[pool.name] = work
            work.spare = pool.spare
            work.configure(now, manifest)
            work.configure_runners(
                now, state, index, records_by_pool[pool.name]
            )
        self._spares = [w for w in self._work_by_pool.values() if w.spare]

    def _refuse_no_longer_allowed(
        self, state: fleet.FleetState, manifest: manifest_models.Manifest
    ) -> list[effects.Effect]:
        """Refuse waiting submissions that the fleet state disallows.

        Their queue or key was removed, or their team may no longer use
        the queue.
        """
        refused: list[effects.Effect] = []
        for submission_id, (work, team) in list(self._location_by_id.items()):
            item = work.queue_by_team[team].get(submission_id)
            refusal_reason = refusals.find_refusal_reason(
                item, state, manifest
            )
            if refusal_reason is not None:
                self._remove_waiting(work, team, submission_id)
                refused.append(refusals.build_refusal(item, refusal_reason))
        return refused

    def submit(
        self, now: float, submission: request_models.Submission
    ) -> list[effects.Effect]:
        """Queue a submission or refuse it, and dispatch what can start."""
        manifest = self._state.manifest
        queue = (
            manifest.queue_by_name.get(submission.queue) if manifest else None
        )
        if queue is None:
            return [refusals.build_refusal(submission, refusals.UNKNOWN_QUEUE)]
        work = self._work_by_pool[queue.pool]
        team = submission.team
        refusal_reason = work.check_admission(
            now,
            submission,
            len(self._location_by_id),
            self._queued_bytes,
            self._bounds,
        )
        if refusal_reason is not None:
            return [refusals.build_refusal(submission, refusal_reason)]
        work.add(now, submission, queue)
        self._location_by_id[submission.submission_id] = work, team
        self._queued_bytes += submission.size_bytes
        return self._dispatch_pool(now, work)

    def handle_run_end(
        self, now: float, outcome: request_models.RunResult
    ) -> list[effects.Effect]:
        """Free the slot of an ended submission and dispatch waiting work."""
        run = self._running_by_id.pop(outcome.submission_id, None)
        if run is None:
            return []
        failure = outcome.failure
        ran = failure is None or (
            failure.verdict is not verdict_models.Verdict.NOT_RUN
        )
        run.work.ledger.record_end(
            now, run.team, now - run.started_at if ran else None
        )
        decided = self._permits.release(now, outcome.submission_id)
        run.owner.index.record_end(
            now,
            run.record,
            failure is not None or (outcome.status or 0) >= 500,
            failure is not None and failure.reason == _RUNNER_REFUSED_REASON,
        )
        decided += self._unblock_team(now, run.team)
        decided += self._dispatch_pool(now, run.owner)
        if run.owner.spare:
            decided += self._dispatch_starved_pools(now, run.owner)
        return decided

    def cancel(self, now: float, submission_id: str) -> list[effects.Effect]:
        """Remove a waiting submission whose caller has disconnected."""
        return self.cancel_many(now, (submission_id,))

    def cancel_many(
        self, now: float, submission_ids: Iterable[str]
    ) -> list[effects.Effect]:
        """Remove waiting submissions; ids that aren't queued are ignored."""
        for submission_id in submission_ids:
            location = self._location_by_id.get(submission_id)
            if location is not None:
                self._remove_waiting(*location, submission_id)
        return []

    def handle_permits_gained(
        self, now: float, kind: str, name: str
    ) -> list[effects.Effect]:
        """Dispatch waiting work after this host gained permits.

        Args:
            kind: ``team`` or ``pool``, as in ``Permits.want``.
            name: name of that team or pool.
        """
        if kind == "team":
            return self._unblock_team(now, name)
        work = self._work_by_pool.get(name)
        if work is None:
            return []
        for candidate in (work, *self._spares):
            for runner in candidate.index.record_by_name:
                candidate.index.reinsert_runner(now, runner)
        return self._dispatch_pool(now, work)

    def merge_usage(
        self,
        now: float,
        host: str,
        usage: Iterable[permit_messages.Usage],
    ) -> None:
        """Merge the usage counters reported by another host."""
        for item in usage:
            work = self._work_by_pool.get(item.pool)
            if work is not None:
                work.ledger.merge_peer_usage(now, host, item)

    def usage(self, now: float) -> tuple[permit_messages.Usage, ...]:
        """Return this host's counters for its peers; empty when idle."""
        return tuple(
            item
            for work in self._work_by_pool.values()
            if work.ledger.is_report_due(now)
            for item in work.ledger.report_usage(
                now, work.name, now - _IDLE_TEAM_REPORT_S
            )
        )

    def tick(self, now: float) -> list[effects.Effect]:
        """Do the periodic work; call ten times a second.

        Refuses submissions that can't finish by their deadline and
        dispatches waiting ones.
        """
        decided: list[effects.Effect] = []
        for work in self._work_by_pool.values():
            work.ledger.refresh(now)
            work.index.refresh(now, bool(work.waiting))
            work.divide_capacity(now)
            if work.waiting:
                decided += self._refuse_unmeetable(now, work)
                decided += self._dispatch_pool(now, work)
        for team in list(self._limited_teams):
            decided += self._announce_team(now, team)
        return decided

    def _refuse_unmeetable(
        self, now: float, work: pool_work.PoolWork
    ) -> list[effects.Effect]:
        late = work.remove_late(now)
        unmeetable = work.remove_unmeetable(now)
        for item in late + unmeetable:
            del self._location_by_id[item.submission_id]
            self._queued_bytes -= item.size_bytes
        return [
            *(refusals.build_late_refusal(now, item) for item in late),
            *(
                refusals.build_refusal(item, refusals.QUEUE_WAIT_TOO_LONG)
                for item in unmeetable
            ),
        ]

    def _remove_waiting(
        self, work: pool_work.PoolWork, team: str, submission_id: str
    ) -> None:
        item = work.remove(team, submission_id)
        if item is not None:
            del self._location_by_id[submission_id]
            self._queued_bytes -= item.size_bytes

    def _dispatch_pool(
        self, now: float, work: pool_work.PoolWork
    ) -> list[effects.Effect]:
        """Dispatch a pool's waiting submissions while slots are free."""
        decided: list[effects.Effect] = []
        skipped_teams: list[str] = []
        while choice := self._slot_finder.find_runner(now, work, self._spares):
            next_team = work.ledger.next_team(now)
            if next_team is None:
                break
            result = self._dispatch_next_of_team(
                now, work, next_team[1], choice
            )
            if result is slot_finder.NoSlotReason.NO_PERMIT:
                break
            if result is slot_finder.NoSlotReason.ONLY_AVOIDED_RUNNER:
                work.ledger.unschedule_team(next_team[1])
                skipped_teams.append(next_team[1])
            elif isinstance(result, list):
                decided += result
        for team in skipped_teams:
            work.ledger.schedule_team(now, team)
        if work.waiting:
            self._starved_pools[work.name] = None
        else:
            self._starved_pools.pop(work.name, None)
        if decided or self._announcer.is_due(now, work):
            decided += self._announcer.announce_pool(now, work)
        return decided

    def _dispatch_next_of_team(
        self,
        now: float,
        work: pool_work.PoolWork,
        team: str,
        choice: slot_finder.RunnerChoice,
    ) -> list[effects.Effect] | slot_finder.NoSlotReason:
        """Dispatch or refuse a team's next submission.

        Returns:
            The effects, or why the submission got no slot.
        """
        item = work.queue_by_team[team].first()
        if not queueing.can_finish(
            item.deadline - now, work.service_time(team)
        ):
            self._remove_waiting(work, team, item.submission_id)
            return [refusals.build_late_refusal(now, item)]
        if choice[0].name == item.avoid_runner:
            other = self._slot_finder.find_runner(
                now, work, self._spares, item.avoid_runner
            )
            if other is None:
                return slot_finder.NoSlotReason.ONLY_AVOIDED_RUNNER
            choice = other
        not_after = now + self._max_run_by_queue[item.queue]
        slot = self._slot_finder.acquire_slot(
            now, work, choice, item, not_after
        )
        if slot is slot_finder.NoSlotReason.TEAM_LIMIT:
            return self._block_limited_team(now, work, team)
        if isinstance(slot, slot_finder.AcquiredSlot):
            return [self._record_dispatch(now, work, item, slot, not_after)]
        return slot

    def _dispatch_starved_pools(
        self, now: float, spare: pool_work.PoolWork
    ) -> list[effects.Effect]:
        """Offer idle slots of a spare pool to the starved pools in turn."""
        decided: list[effects.Effect] = []
        for name in list(self._starved_pools):
            if spare.ledger.next_team(now) or not spare.index.pick_runner(now):
                break
            if name == spare.name:
                continue
            del self._starved_pools[name]
            if name in self._work_by_pool:
                decided += self._dispatch_pool(now, self._work_by_pool[name])
        return decided

    def _record_dispatch(
        self,
        now: float,
        work: pool_work.PoolWork,
        item: request_models.Submission,
        slot: slot_finder.AcquiredSlot,
        not_after: float,
    ) -> request_models.Dispatch:
        self._remove_waiting(work, item.team, item.submission_id)
        work.ledger.record_start(now, item.team)
        self._running_by_id[item.submission_id] = _RunningSubmission(
            work, item.team, slot.record, slot.owner, now
        )
        return request_models.Dispatch(
            item.submission_id, slot.record.name, not_after, slot.reasons
        )

    def _block_limited_team(
        self, now: float, work: pool_work.PoolWork, team: str
    ) -> list[effects.Effect]:
        """Skip a team until it gets a permit of its upper limit."""
        work.block_limited_team(team)
        self._limited_teams.add(team)
        return self._announce_team(now, team)

    def _unblock_team(self, now: float, team: str) -> list[effects.Effect]:
        """Dispatch again for a team that was skipped at its upper limit."""
        if team not in self._limited_teams:
            return []
        self._limited_teams.discard(team)
        decided: list[effects.Effect] = []
        for work in self._work_by_pool.values():
            if work.unblock_team(now, team):
                decided += self._dispatch_pool(now, work)
        if team not in self._limited_teams:
            decided += self._announce_team(now, team)
        return decided

    def _announce_team(self, now: float, team: str) -> list[effects.Effect]:
        works = [
            work
            for work in self._work_by_pool.values()
            if team in work.limited_teams
        ]
        if not works:
            self._limited_teams.discard(team)
        return self._announcer.announce_team(now, team, works)
