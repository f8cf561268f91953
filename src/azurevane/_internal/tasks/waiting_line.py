"""Decides which waiting tasks of a pool start, and where."""

from collections.abc import Iterable
import heapq

from azurevane._internal.models import task as task_models
from azurevane._internal.policy import placement
from azurevane._internal.tasks import task_book
from azurevane._internal.tasks import task_control

# Waiting tasks of a team that are passed over in one pass.
MOST_MISSES = 100
# One worker in this many is kept free for waiting tasks that fit nowhere.
WORKERS_PER_RESERVATION = 100
# Workers whose tasks are weighed as victims of one urgent task.
MOST_VICTIM_WORKERS = 512
# A pass is made at least this often, for what changes only with time.
MOST_PASS_INTERVAL_S = 5.0
# Urgent tasks per pass for which victims are looked for.
MOST_VICTIM_SEARCHES = 8


class WaitingLine:
    """Goes through the waiting tasks by urgency, share and arrival."""

    def __init__(self, owner: task_control.TaskControl) -> None:
        self._owner = owner
        self._victim_start = 0
        self._searches = 0
        self._passed: tuple[object, ...] = ()
        self._missed: list[task_book.Record] = []
        self._no_room: list[task_models.Need] = []

    def place(self, now: float) -> None:
        """Start what fits, most deserving first."""
        owner = self._owner
        if owner.book.pending >= task_book.PENDING_LIMIT:
            return
        self._no_room = []
        self._missed = []
        self._place_reserved(now)
        self._searches = 0
        for _, task_id in list(owner.book.urgent):
            self._place_urgent(now, owner.book.record_by_id[task_id])
        state = self._versions(now)
        if state != self._passed and any(owner.book.waiting_by_team.values()):
            self._place_by_share(now)
            self._passed = self._versions(now)

    def _versions(self, now: float) -> tuple[object, ...]:
        """Return what a pass depends on; without a change it is skipped."""
        owner = self._owner
        return (
            owner.workers.version,
            owner.book.version,
            owner.ledger.version,
            id(owner.view),
            now // MOST_PASS_INTERVAL_S,
        )

    def stop_impossible(
        self, now: float, records: Iterable[task_book.Record] | None = None
    ) -> None:
        """Stop waiting tasks that fit on no host of the pool."""
        owner = self._owner
        if records is None:
            records = list(owner.book.record_by_id.values())
        for record in records:
            if record.task.phase != "queued":
                continue
            record.size = owner.size_of(record.task)
            reason = placement.explain_impossible_need(
                record.size, owner.view.capacities
            )
            if reason:
                owner.end(now, record, "failed", reason)

    def _may_run(self, record: task_book.Record, now: float) -> bool:
        team = self._owner.view.team_by_name.get(record.task.team)
        return (
            now >= record.hold_until
            and team is not None
            and self._owner.ledger.running(team.name) < team.task_part
        )

    def _used_by_team(self) -> dict[str, float]:
        owner = self._owner
        whole = owner.view.open_capacity
        return {
            team: placement.dominant_share(size, whole)
            for team, size in owner.workers.used_by_team.items()
            if size.cores > 0
        }

    def _start_if_fits(
        self,
        now: float,
        record: task_book.Record,
        reasons: tuple[str, ...],
    ) -> bool:
        need = record.size
        if any(need.covers(missed) for missed in self._no_room):
            return False
        owner = self._owner
        worker = owner.workers.index.find_best_fit(need)
        if worker is None:
            self._no_room.append(need)
            return False
        if worker in record.task.failed_workers:
            worker = self._other_worker(now, record)
            if worker is None:
                return False
        owner.start(now, record, worker, (f"worker={worker}", *reasons))
        return True

    def _other_worker(
        self, now: float, record: task_book.Record
    ) -> str | None:
        """Return the best worker on which a task hasn't failed."""
        owner = self._owner
        failed = record.task.failed_workers
        for name in failed:
            owner.workers.index.remove(name)
        worker = owner.workers.index.find_best_fit(record.size)
        for name in failed:
            if name in owner.workers.state_by_worker:
                owner.workers.refresh(now, name)
        if worker is not None:
            return worker
        # A pool may have no more workers than those on which it failed.
        if self._may_fail_again(record):
            return owner.workers.index.find_best_fit(record.size)
        return None

    def _may_fail_again(self, record: task_book.Record) -> bool:
        hosts = len(self._owner.view.hosts)
        return hosts <= len(set(record.task.failed_workers))

    def _barred(self, record: task_book.Record) -> tuple[str, ...]:
        """Return the workers that a task must not run on."""
        if self._may_fail_again(record):
            return ()
        return record.task.failed_workers

    def _place_reserved(self, now: float) -> None:
        owner = self._owner
        for task_id, name in list(owner.workers.worker_by_reservation.items()):
            record = owner.book.record_by_id.get(task_id)
            if (
                record is None
                or record.task.phase != "queued"
                or not owner.workers.startable(now, name)
            ):
                owner.workers.unreserve(now, task_id)
                continue
            state = owner.workers.state_by_worker[name]
            if state.free.covers(record.size) and self._may_run(record, now):
                owner.start(now, record, name, (f"worker={name}", "reserved"))

    def _place_urgent(self, now: float, record: task_book.Record) -> None:
        owner = self._owner
        task_id = record.task.task_id
        if task_id in owner.workers.worker_by_reservation:
            return
        if not self._may_run(record, now):
            return
        if self._start_if_fits(now, record, ("urgent",)):
            return
        self._searches += 1
        if self._searches > MOST_VICTIM_SEARCHES:
            return
        used = self._used_by_team()
        over = placement.teams_over_share(
            used,
            {team.name: team.share for team in owner.view.teams},
            {*used, record.task.team},
        )
        victims = placement.choose_victims(
            record.size,
            record.task.team,
            over,
            self._candidates(now, self._barred(record)),
        )
        if victims is None:
            return
        owner.workers.reserve(now, victims.worker, task_id)
        for victim in victims.task_ids:
            owner.stop(
                now,
                owner.book.record_by_id[victim],
                "checkpoint",
                (*victims.reasons, f"for={task_id}"),
            )

    def _candidates(
        self, now: float, barred: tuple[str, ...]
    ) -> Iterable[
        tuple[
            str,
            task_models.Need,
            task_models.Need,
            list[placement.RunningTask],
        ]
    ]:
        owner = self._owner
        names = list(owner.workers.state_by_worker)
        start = self._victim_start % max(1, len(names))
        self._victim_start += MOST_VICTIM_WORKERS
        for name in (names[start:] + names[:start])[:MOST_VICTIM_WORKERS]:
            state = owner.workers.state_by_worker[name]
            if (
                state.reserved_for
                or name in barred
                or state.health.on_trial
                or not owner.workers.startable(now, name)
            ):
                continue
            running = []
            for task_id, size in state.size_by_task.items():
                record = owner.book.record_by_id[task_id]
                if record.stop or not record.sent:
                    continue
                task = record.task
                running.append(
                    placement.RunningTask(
                        task_id,
                        task.team,
                        size,
                        task.urgent,
                        task.at_most_once,
                    )
                )
            yield name, state.free, state.capacity, running

    def _place_by_share(self, now: float) -> None:
        owner = self._owner
        used = self._used_by_team()
        whole = owner.view.open_capacity
        share = {team.name: team.share for team in owner.view.teams}
        queues = {
            team: waiting
            for team, waiting in owner.book.waiting_by_team.items()
            if waiting and team in share
        }
        position = dict.fromkeys(queues, 0)
        order = [(used.get(team, 0.0) / share[team], team) for team in queues]
        heapq.heapify(order)
        while order:
            rank, team = heapq.heappop(order)
            at = position[team]
            # A team at its limit, or with many tasks that don't fit, must
            # not use up the pass of the others.
            if (
                at >= min(len(queues[team]), MOST_MISSES)
                or owner.ledger.running(team)
                >= owner.view.team_by_name[team].task_part
            ):
                continue
            record = owner.book.record_by_id[queues[team][at][1]]
            if self._consider(now, record, rank):
                self._reserve_for_passed(now)
                rank += (
                    placement.dominant_share(record.size, whole) / share[team]
                )
            else:
                # A task that starts leaves the queue; others stay in it.
                position[team] += 1
            heapq.heappush(order, (rank, team))

    def _consider(
        self, now: float, record: task_book.Record, rank: float
    ) -> bool:
        owner = self._owner
        if record.task.task_id in owner.workers.worker_by_reservation:
            return False
        if not self._may_run(record, now):
            return False
        # Sizes are learned while a task waits.
        record.size = owner.size_of(record.task)
        if self._start_if_fits(now, record, (f"rank={rank:.4f}",)):
            return True
        self._missed.append(record)
        return False

    def _reserve_for_passed(self, now: float) -> None:
        """Reserve for what smaller tasks pass over; nothing else delays.

        A task that waits among others of its size gets the next place
        without a reservation, which would leave a worker idle.
        """
        for record in self._missed:
            self._reserve_for(now, record)
        self._missed = []

    def _reserve_for(self, now: float, record: task_book.Record) -> None:
        """Keep a worker free for a task, so that no backfill delays it."""
        owner = self._owner
        if record.task.task_id in owner.workers.worker_by_reservation:
            return
        states = owner.workers.state_by_worker
        most = max(1, len(states) // WORKERS_PER_RESERVATION)
        if len(owner.workers.worker_by_reservation) >= most:
            return
        best: str | None = None
        best_part = float("inf")
        barred = self._barred(record)
        for name, state in states.items():
            if (
                not state.reserved_for
                and name not in barred
                and state.capacity.covers(record.size)
                and not state.health.on_trial
                and owner.workers.startable(now, name)
            ):
                lacking = record.size.minus(state.free)
                part = placement.dominant_share(lacking, state.capacity)
                if part < best_part:
                    best, best_part = name, part
        if best is not None:
            owner.workers.reserve(now, best, record.task.task_id)
