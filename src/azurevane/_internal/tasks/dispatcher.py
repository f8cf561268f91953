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

# Seconds for which counters of teams that stopped are still reported, so
# that a lost message leaves no peer with old ones.
_REPORT_S = 2.0
# Reason of the failure with which a runner says that it takes no work.
_RUNNER_REFUSED = "runner-refused"


@dataclasses.dataclass(slots=True)
class _Run:
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
        self._place_by_id: dict[str, tuple[pool_work.PoolWork, str]] = {}
        self._queued_bytes = 0
        self._run_by_id: dict[str, _Run] = {}
        self._max_run_by_queue: dict[str, float] = {}
        self._slots = slot_finder.SlotFinder(zone, permits)
        self._announcer = demand_announcer.DemandAnnouncer(permits)
        self._limited_teams: set[str] = set()
        # Pools with work left after their own runners were full.
        self._starved: dict[str, None] = {}

    @property
    def running(self) -> int:
        """Number of dispatched submissions that haven't ended."""
        return len(self._run_by_id)

    @property
    def waiting(self) -> int:
        """Number of submissions that wait here."""
        return len(self._place_by_id)

    def configure(
        self, now: float, state: fleet.FleetState
    ) -> list[effects.Effect]:
        """Follow a new fleet state, restrictions included."""
        self._state = state
        manifest = state.manifest
        if manifest is None:
            return []
        self._max_run_by_queue = {
            queue.name: queue.max_run_s for queue in manifest.queues
        }
        self._slots.configure(state)
        self._configure_pools(now, state, manifest)
        decided: list[effects.Effect] = self._refuse_withdrawn(state, manifest)
        for team in list(self._limited_teams):
            decided += self._unlimit(now, team)
        for work in self._work_by_pool.values():
            decided += self._serve(now, work)
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

    def _refuse_withdrawn(
        self, state: fleet.FleetState, manifest: manifest_models.Manifest
    ) -> list[effects.Effect]:
        """Refuse waiting work whose queue, team or key is gone."""
        refused: list[effects.Effect] = []
        for submission_id, (work, team) in list(self._place_by_id.items()):
            item = work.queue_by_team[team].get(submission_id)
            denial = refusals.find_refusal_reason(item, state, manifest)
            if denial is not None:
                self._take(work, team, submission_id)
                refused.append(refusals.build_refusal(item, denial))
        return refused

    def submit(
        self, now: float, submission: request_models.Submission
    ) -> list[effects.Effect]:
        """Queue a submission, or decide on it at once."""
        manifest = self._state.manifest
        queue = (
            manifest.queue_by_name.get(submission.queue) if manifest else None
        )
        if queue is None:
            return [refusals.build_refusal(submission, refusals.UNKNOWN_QUEUE)]
        work = self._work_by_pool[queue.pool]
        team = submission.team
        denial = work.admit(
            now,
            submission,
            len(self._place_by_id),
            self._queued_bytes,
            self._bounds,
        )
        if denial is not None:
            return [refusals.build_refusal(submission, denial)]
        work.add(now, submission, queue)
        self._place_by_id[submission.submission_id] = work, team
        self._queued_bytes += submission.size_bytes
        return self._serve(now, work)

    def ended(
        self, now: float, outcome: request_models.RunResult
    ) -> list[effects.Effect]:
        """Free the slot of a submission that has ended."""
        run = self._run_by_id.pop(outcome.submission_id, None)
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
        run.owner.index.ended(
            now,
            run.record,
            failure is not None or (outcome.status or 0) >= 500,
            failure is not None and failure.reason == _RUNNER_REFUSED,
        )
        decided += self._unlimit(now, run.team)
        decided += self._serve(now, run.owner)
        if run.owner.spare:
            decided += self._serve_starved(now, run.owner)
        return decided

    def cancel(self, now: float, submission_id: str) -> list[effects.Effect]:
        """Drop a waiting submission whose caller has left."""
        return self.cancel_many(now, (submission_id,))

    def cancel_many(
        self, now: float, submission_ids: Iterable[str]
    ) -> list[effects.Effect]:
        """Drop waiting submissions; those that don't wait are ignored."""
        for submission_id in submission_ids:
            place = self._place_by_id.get(submission_id)
            if place is not None:
                self._take(*place, submission_id)
        return []

    def permits_gained(
        self, now: float, kind: str, name: str
    ) -> list[effects.Effect]:
        """Try waiting work again after more permits came to this host.

        Args:
            kind: ``team`` or ``pool``, as in ``Permits.want``.
        """
        if kind == "team":
            return self._unlimit(now, name)
        work = self._work_by_pool.get(name)
        if work is None:
            return []
        for candidate in (work, *self._spares):
            for runner in candidate.index.record_by_name:
                candidate.index.relist(now, runner)
        return self._serve(now, work)

    def merge_usage(
        self,
        now: float,
        host: str,
        usage: Iterable[permit_messages.Usage],
    ) -> None:
        """Take over the usage counters of another host."""
        for item in usage:
            work = self._work_by_pool.get(item.pool)
            if work is not None:
                work.ledger.merge_peer_usage(now, host, item)

    def usage(self, now: float) -> tuple[permit_messages.Usage, ...]:
        """Return the own counters that peers need; empty when idle."""
        return tuple(
            item
            for work in self._work_by_pool.values()
            if work.ledger.is_report_due(now)
            for item in work.ledger.report_usage(
                now, work.name, now - _REPORT_S
            )
        )

    def tick(self, now: float) -> list[effects.Effect]:
        """Refuse what can't be answered in time; call ten times a second."""
        decided: list[effects.Effect] = []
        for work in self._work_by_pool.values():
            work.ledger.refresh(now)
            work.index.refresh(now, bool(work.waiting))
            work.divide(now)
            if work.waiting:
                decided += self._expire(now, work)
                decided += self._serve(now, work)
        for team in list(self._limited_teams):
            decided += self._announce_team(now, team)
        return decided

    def _expire(
        self, now: float, work: pool_work.PoolWork
    ) -> list[effects.Effect]:
        late = work.take_late(now)
        hopeless = work.take_hopeless(now)
        for item in late + hopeless:
            del self._place_by_id[item.submission_id]
            self._queued_bytes -= item.size_bytes
        return [
            *(refusals.build_late_refusal(now, item) for item in late),
            *(
                refusals.build_refusal(item, refusals.QUEUE_WAIT_TOO_LONG)
                for item in hopeless
            ),
        ]

    def _take(
        self, work: pool_work.PoolWork, team: str, submission_id: str
    ) -> None:
        item = work.take(team, submission_id)
        if item is not None:
            del self._place_by_id[submission_id]
            self._queued_bytes -= item.size_bytes

    def _serve(
        self, now: float, work: pool_work.PoolWork
    ) -> list[effects.Effect]:
        """Dispatch a pool's waiting work while there are slots."""
        decided: list[effects.Effect] = []
        aside: list[str] = []
        while found := self._slots.find(now, work, self._spares):
            turn = work.ledger.next_team(now)
            if turn is None:
                break
            served = self._serve_team(now, work, turn[1], found)
            if served is slot_finder.Blocked.POOL:
                break
            if served is slot_finder.Blocked.AVOIDED:
                work.ledger.unschedule_team(turn[1])
                aside.append(turn[1])
            elif isinstance(served, list):
                decided += served
        for team in aside:
            work.ledger.schedule_team(now, team)
        if work.waiting:
            self._starved[work.name] = None
        else:
            self._starved.pop(work.name, None)
        if decided or self._announcer.is_due(now, work):
            decided += self._announcer.announce_pool(now, work)
        return decided

    def _serve_team(
        self,
        now: float,
        work: pool_work.PoolWork,
        team: str,
        found: slot_finder.Found,
    ) -> list[effects.Effect] | slot_finder.Blocked:
        """Dispatch or refuse the next submission of a team."""
        item = work.queue_by_team[team].first()
        if not queueing.can_finish(item.deadline - now, work.service(team)):
            self._take(work, team, item.submission_id)
            return [refusals.build_late_refusal(now, item)]
        if found[0].name == item.avoid_runner:
            other = self._slots.find(
                now, work, self._spares, item.avoid_runner
            )
            if other is None:
                return slot_finder.Blocked.AVOIDED
            found = other
        not_after = now + self._max_run_by_queue[item.queue]
        slot = self._slots.take(now, work, found, item, not_after)
        if slot is slot_finder.Blocked.LIMIT:
            return self._limit(now, work, team)
        if isinstance(slot, slot_finder.Slot):
            return [self._start(now, work, item, slot, not_after)]
        return slot

    def _serve_starved(
        self, now: float, spare: pool_work.PoolWork
    ) -> list[effects.Effect]:
        """Offer an idle slot of a spare pool to the other pools in turn."""
        decided: list[effects.Effect] = []
        for name in list(self._starved):
            if spare.ledger.next_team(now) or not spare.index.pick(now):
                break
            if name == spare.name:
                continue
            del self._starved[name]
            if name in self._work_by_pool:
                decided += self._serve(now, self._work_by_pool[name])
        return decided

    def _start(
        self,
        now: float,
        work: pool_work.PoolWork,
        item: request_models.Submission,
        slot: slot_finder.Slot,
        not_after: float,
    ) -> request_models.Dispatch:
        self._take(work, item.team, item.submission_id)
        work.ledger.record_start(now, item.team)
        self._run_by_id[item.submission_id] = _Run(
            work, item.team, slot.record, slot.owner, now
        )
        return request_models.Dispatch(
            item.submission_id, slot.record.name, not_after, slot.reasons
        )

    def _limit(
        self, now: float, work: pool_work.PoolWork, team: str
    ) -> list[effects.Effect]:
        """Set a team aside until it gets a permit of its own limit."""
        work.limit(team)
        self._limited_teams.add(team)
        return self._announce_team(now, team)

    def _unlimit(self, now: float, team: str) -> list[effects.Effect]:
        """Let a team that was set aside take its turn again."""
        if team not in self._limited_teams:
            return []
        self._limited_teams.discard(team)
        decided: list[effects.Effect] = []
        for work in self._work_by_pool.values():
            if work.unlimit(now, team):
                decided += self._serve(now, work)
        if team not in self._limited_teams:
            decided += self._announce_team(now, team)
        return decided

    def _announce_team(self, now: float, team: str) -> list[effects.Effect]:
        works = [
            work
            for work in self._work_by_pool.values()
            if team in work.limited
        ]
        if not works:
            self._limited_teams.discard(team)
        return self._announcer.announce_team(now, team, works)
