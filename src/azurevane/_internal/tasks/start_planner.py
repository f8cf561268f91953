"""Decides which waiting tasks of a pool start, and where."""

from collections.abc import Iterable
import heapq

from azurevane._internal.models import task as task_models
from azurevane._internal.policy import placement
from azurevane._internal.tasks import task_control
from azurevane._internal.tasks import task_registry

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


class StartPlanner:
    """Goes through the waiting tasks by urgency, share and arrival."""

    def __init__(self, control: task_control.TaskControl) -> None:
        self._control = control
        self._victim_start = 0
        self._searches = 0
        self._passed: tuple[object, ...] = ()
        self._missed: list[task_registry.TaskRecord] = []
        self._no_room: list[task_models.Need] = []

    def place(self, now: float) -> None:
        """Start what fits, most deserving first."""
        control = self._control
        if control.tasks.pending >= task_registry.PENDING_LIMIT:
            return
        self._no_room = []
        self._missed = []
        self._place_reserved(now)
        self._searches = 0
        for _, task_id in list(control.tasks.urgent):
            self._place_urgent(now, control.tasks.record_by_id[task_id])
        state = self._versions(now)
        if state != self._passed and any(
            control.tasks.waiting_by_team.values()
        ):
            self._place_by_share(now)
            self._passed = self._versions(now)

    def _versions(self, now: float) -> tuple[object, ...]:
        """Return what a pass depends on; without a change it is skipped."""
        control = self._control
        return (
            control.workers.version,
            control.tasks.version,
            control.ledger.version,
            id(control.view),
            now // MOST_PASS_INTERVAL_S,
        )

    def stop_impossible(
        self,
        now: float,
        records: Iterable[task_registry.TaskRecord] | None = None,
    ) -> None:
        """Stop waiting tasks that fit on no host of the pool."""
        control = self._control
        if records is None:
            records = list(control.tasks.record_by_id.values())
        for record in records:
            if record.task.phase != "queued":
                continue
            record.size = control.size_of(record.task)
            reason = placement.explain_impossible_need(
                record.size, control.view.capacities
            )
            if reason:
                control.end(now, record, "failed", reason)

    def _may_run(self, record: task_registry.TaskRecord, now: float) -> bool:
        team = self._control.view.team_by_name.get(record.task.team)
        return (
            now >= record.hold_until
            and team is not None
            and self._control.ledger.running(team.name) < team.task_part
        )

    def _used_by_team(self) -> dict[str, float]:
        control = self._control
        whole = control.view.open_capacity
        return {
            team: placement.dominant_share(size, whole)
            for team, size in control.workers.used_by_team.items()
            if size.cores > 0
        }

    def _start_if_fits(
        self,
        now: float,
        record: task_registry.TaskRecord,
        reasons: tuple[str, ...],
    ) -> bool:
        need = record.size
        if any(need.covers(missed) for missed in self._no_room):
            return False
        control = self._control
        worker = control.workers.index.find_best_fit(need)
        if worker is None:
            self._no_room.append(need)
            return False
        if worker in record.task.failed_workers:
            worker = self._other_worker(now, record)
            if worker is None:
                return False
        control.start(now, record, worker, (f"worker={worker}", *reasons))
        return True

    def _other_worker(
        self, now: float, record: task_registry.TaskRecord
    ) -> str | None:
        """Return the best worker on which a task hasn't failed."""
        control = self._control
        failed = record.task.failed_workers
        for name in failed:
            control.workers.index.remove(name)
        worker = control.workers.index.find_best_fit(record.size)
        for name in failed:
            if name in control.workers.state_by_worker:
                control.workers.refresh(now, name)
        if worker is not None:
            return worker
        # A pool may have no more workers than those on which it failed.
        if self._may_fail_again(record):
            return control.workers.index.find_best_fit(record.size)
        return None

    def _may_fail_again(self, record: task_registry.TaskRecord) -> bool:
        hosts = len(self._control.view.hosts)
        return hosts <= len(set(record.task.failed_workers))

    def _barred(self, record: task_registry.TaskRecord) -> tuple[str, ...]:
        """Return the workers that a task must not run on."""
        if self._may_fail_again(record):
            return ()
        return record.task.failed_workers

    def _place_reserved(self, now: float) -> None:
        control = self._control
        for task_id, name in list(
            control.workers.worker_by_reservation.items()
        ):
            record = control.tasks.record_by_id.get(task_id)
            if (
                record is None
                or record.task.phase != "queued"
                or not control.workers.startable(now, name)
            ):
                control.workers.unreserve(now, task_id)
                continue
            state = control.workers.state_by_worker[name]
            if state.free.covers(record.size) and self._may_run(record, now):
                control.start(
                    now, record, name, (f"worker={name}", "reserved")
                )

    def _place_urgent(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        control = self._control
        task_id = record.task.task_id
        if task_id in control.workers.worker_by_reservation:
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
            {team.name: team.share for team in control.view.teams},
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
        control.workers.reserve(now, victims.worker, task_id)
        for victim in victims.task_ids:
            control.stop(
                now,
                control.tasks.record_by_id[victim],
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
        control = self._control
        names = list(control.workers.state_by_worker)
        start = self._victim_start % max(1, len(names))
        self._victim_start += MOST_VICTIM_WORKERS
        for name in (names[start:] + names[:start])[:MOST_VICTIM_WORKERS]:
            state = control.workers.state_by_worker[name]
            if (
                state.reserved_for
                or name in barred
                or state.health.on_trial
                or not control.workers.startable(now, name)
            ):
                continue
            running = []
            for task_id, size in state.size_by_task.items():
                record = control.tasks.record_by_id[task_id]
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
        control = self._control
        used = self._used_by_team()
        whole = control.view.open_capacity
        share = {team.name: team.share for team in control.view.teams}
        queues = {
            team: waiting
            for team, waiting in control.tasks.waiting_by_team.items()
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
                or control.ledger.running(team)
                >= control.view.team_by_name[team].task_part
            ):
                continue
            record = control.tasks.record_by_id[queues[team][at][1]]
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
        self, now: float, record: task_registry.TaskRecord, rank: float
    ) -> bool:
        control = self._control
        if record.task.task_id in control.workers.worker_by_reservation:
            return False
        if not self._may_run(record, now):
            return False
        # Sizes are learned while a task waits.
        record.size = control.size_of(record.task)
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

    def _reserve_for(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Keep a worker free for a task, so that no backfill delays it."""
        control = self._control
        if record.task.task_id in control.workers.worker_by_reservation:
            return
        states = control.workers.state_by_worker
        most = max(1, len(states) // WORKERS_PER_RESERVATION)
        if len(control.workers.worker_by_reservation) >= most:
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
                and control.workers.startable(now, name)
            ):
                lacking = record.size.minus(state.free)
                part = placement.dominant_share(lacking, state.capacity)
                if part < best_part:
                    best, best_part = name, part
        if best is not None:
            control.workers.reserve(now, best, record.task.task_id)
