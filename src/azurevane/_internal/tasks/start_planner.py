"""Decides which waiting tasks of a pool start, and where."""

from collections.abc import Iterable
import heapq

from azurevane._internal.models import task as task_models
from azurevane._internal.policy import worker_placement
from azurevane._internal.tasks import task_control
from azurevane._internal.tasks import task_registry

# Waiting tasks of one team that a pass may pass over before it leaves the
# team out.
MAX_PASSED_OVER_PER_TEAM = 100
# At most one worker in this many, and at least one in all, is reserved for
# waiting tasks that currently fit on no worker.
WORKERS_PER_RESERVATION = 100
# Workers whose tasks are considered as victims of one urgent task.
MAX_VICTIM_WORKERS = 512
# A pass is made at least this often, because some conditions change only
# with time.
MAX_PASS_INTERVAL_S = 5.0
# Urgent tasks per pass for which victims are searched.
MAX_VICTIM_SEARCHES = 8


class StartPlanner:
    """Starts waiting tasks in order of urgency, team share and arrival."""

    def __init__(self, control: task_control.TaskControl) -> None:
        self._control = control
        self._next_victim_worker = 0
        self._victim_searches = 0
        self._versions_of_last_pass: tuple[object, ...] = ()
        self._passed_over: list[task_registry.TaskRecord] = []
        self._unplaceable_needs: list[task_models.Need] = []

    def start_waiting_tasks(self, now: float) -> None:
        """Start the tasks that fit: reserved, then urgent, then by share."""
        control = self._control
        if (
            control.tasks.unwritten_count
            >= task_registry.MAX_UNWRITTEN_CHANGES
        ):
            return
        self._unplaceable_needs = []
        self._passed_over = []
        self._start_reserved(now)
        self._victim_searches = 0
        for _, task_id in list(control.tasks.waiting_urgent):
            self._start_urgent(now, control.tasks.record_by_id[task_id])
        versions = self._input_versions(now)
        if versions != self._versions_of_last_pass and any(
            control.tasks.waiting_by_team.values()
        ):
            self._start_by_share(now)
            self._versions_of_last_pass = self._input_versions(now)

    def _input_versions(self, now: float) -> tuple[object, ...]:
        """Return the versions of a pass's inputs.

        A pass is skipped while they are unchanged.
        """
        control = self._control
        return (
            control.workers.version,
            control.tasks.version,
            control.ledger.version,
            id(control.view),
            now // MAX_PASS_INTERVAL_S,
        )

    def fail_impossible_tasks(
        self,
        now: float,
        records: Iterable[task_registry.TaskRecord] | None = None,
    ) -> None:
        """End waiting tasks that fit on no host of the pool as failed.

        Args:
            records: the tasks to check; None for all.
        """
        control = self._control
        if records is None:
            records = list(control.tasks.record_by_id.values())
        for record in records:
            if record.task.phase != "queued":
                continue
            record.size = control.expected_size(record.task)
            reason = worker_placement.explain_impossible_need(
                record.size, control.view.distinct_capacities
            )
            if reason:
                control.end_task(now, record, "failed", reason)

    def _may_start(self, record: task_registry.TaskRecord, now: float) -> bool:
        team = self._control.view.team_by_name.get(record.task.team)
        return (
            now >= record.start_not_before
            and team is not None
            and self._control.ledger.count_running(team.name) < team.task_part
        )

    def _used_by_team(self) -> dict[str, float]:
        control = self._control
        usable_capacity = control.view.usable_capacity
        return {
            team: worker_placement.dominant_share(size, usable_capacity)
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
        if any(
            need.covers(unplaceable) for unplaceable in self._unplaceable_needs
        ):
            return False
        control = self._control
        worker = control.workers.index.find_best_fit(need)
        if worker is None:
            self._unplaceable_needs.append(need)
            return False
        if worker in record.task.failed_workers:
            worker = self._find_other_worker(now, record)
            if worker is None:
                return False
        control.start_task(now, record, worker, (f"worker={worker}", *reasons))
        return True

    def _find_other_worker(
        self, now: float, record: task_registry.TaskRecord
    ) -> str | None:
        """Return the best worker on which a task hasn't failed.

        If it has failed on as many workers as the pool has, any worker
        may be returned.
        """
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
        # The task may have failed on every worker of a small pool.
        if self._has_failed_everywhere(record):
            return control.workers.index.find_best_fit(record.size)
        return None

    def _has_failed_everywhere(self, record: task_registry.TaskRecord) -> bool:
        hosts = len(self._control.view.hosts)
        return hosts <= len(set(record.task.failed_workers))

    def _excluded_workers(
        self, record: task_registry.TaskRecord
    ) -> tuple[str, ...]:
        """Return the workers on which a task must not run."""
        if self._has_failed_everywhere(record):
            return ()
        return record.task.failed_workers

    def _start_reserved(self, now: float) -> None:
        control = self._control
        for task_id, name in list(
            control.workers.reserved_worker_by_task.items()
        ):
            record = control.tasks.record_by_id.get(task_id)
            if (
                record is None
                or record.task.phase != "queued"
                or not control.workers.can_start(now, name)
            ):
                control.workers.drop_reservation(now, task_id)
                continue
            state = control.workers.state_by_worker[name]
            if state.free.covers(record.size) and self._may_start(record, now):
                control.start_task(
                    now, record, name, (f"worker={name}", "reserved")
                )

    def _start_urgent(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        control = self._control
        task_id = record.task.task_id
        if task_id in control.workers.reserved_worker_by_task:
            return
        if not self._may_start(record, now):
            return
        if self._start_if_fits(now, record, ("urgent",)):
            return
        self._victim_searches += 1
        if self._victim_searches > MAX_VICTIM_SEARCHES:
            return
        used = self._used_by_team()
        excess_by_team = worker_placement.teams_over_share(
            used,
            {team.name: team.share for team in control.view.teams},
            {*used, record.task.team},
        )
        victims = worker_placement.choose_victims(
            record.size,
            record.task.team,
            excess_by_team,
            self._victim_candidates(now, self._excluded_workers(record)),
        )
        if victims is None:
            return
        control.workers.reserve_worker(now, victims.worker, task_id)
        for victim in victims.task_ids:
            control.stop_task(
                now,
                control.tasks.record_by_id[victim],
                "checkpoint",
                (*victims.reasons, f"for={task_id}"),
            )

    def _victim_candidates(
        self, now: float, excluded: tuple[str, ...]
    ) -> Iterable[
        tuple[
            str,
            task_models.Need,
            task_models.Need,
            list[worker_placement.RunningTask],
        ]
    ]:
        control = self._control
        names = list(control.workers.state_by_worker)
        start = self._next_victim_worker % max(1, len(names))
        self._next_victim_worker += MAX_VICTIM_WORKERS
        for name in (names[start:] + names[:start])[:MAX_VICTIM_WORKERS]:
            state = control.workers.state_by_worker[name]
            if (
                state.reserved_for
                or name in excluded
                or state.health.on_trial
                or not control.workers.can_start(now, name)
            ):
                continue
            running = []
            for task_id, size in state.size_by_task.items():
                record = control.tasks.record_by_id[task_id]
                if record.stop_kind or not record.start_sent:
                    continue
                task = record.task
                running.append(
                    worker_placement.RunningTask(
                        task_id,
                        task.team,
                        size,
                        task.urgent,
                        task.at_most_once,
                    )
                )
            yield name, state.free, state.capacity, running

    def _start_by_share(self, now: float) -> None:
        control = self._control
        used = self._used_by_team()
        usable_capacity = control.view.usable_capacity
        share_by_team = {team.name: team.share for team in control.view.teams}
        queues = {
            team: waiting
            for team, waiting in control.tasks.waiting_by_team.items()
            if waiting and team in share_by_team
        }
        position = dict.fromkeys(queues, 0)
        teams_by_rank = [
            (used.get(team, 0.0) / share_by_team[team], team)
            for team in queues
        ]
        heapq.heapify(teams_by_rank)
        while teams_by_rank:
            rank, team = heapq.heappop(teams_by_rank)
            index = position[team]
            # Skip a team at its limit, or with many tasks that don't fit,
            # so that it doesn't use up the pass of the other teams.
            if (
                index >= min(len(queues[team]), MAX_PASSED_OVER_PER_TEAM)
                or control.ledger.count_running(team)
                >= control.view.team_by_name[team].task_part
            ):
                continue
            record = control.tasks.record_by_id[queues[team][index][1]]
            if self._try_start(now, record, rank):
                self._reserve_for_passed_over(now)
                rank += (
                    worker_placement.dominant_share(
                        record.size, usable_capacity
                    )
                    / share_by_team[team]
                )
            else:
                # A started task has left the queue, others stay in it.
                position[team] += 1
            heapq.heappush(teams_by_rank, (rank, team))

    def _try_start(
        self, now: float, record: task_registry.TaskRecord, rank: float
    ) -> bool:
        control = self._control
        if record.task.task_id in control.workers.reserved_worker_by_task:
            return False
        if not self._may_start(record, now):
            return False
        # The size estimate may have changed while the task waited.
        record.size = control.expected_size(record.task)
        if self._start_if_fits(now, record, (f"rank={rank:.4f}",)):
            return True
        self._passed_over.append(record)
        return False

    def _reserve_for_passed_over(self, now: float) -> None:
        """Reserve workers for tasks that a smaller task has overtaken.

        A task that waits behind others of its size needs no reservation,
        which would leave a worker idle.
        """
        for record in self._passed_over:
            self._reserve_for(now, record)
        self._passed_over = []

    def _reserve_for(
        self, now: float, record: task_registry.TaskRecord
    ) -> None:
        """Reserve a worker for a task, so that backfill can't delay it."""
        control = self._control
        if record.task.task_id in control.workers.reserved_worker_by_task:
            return
        states = control.workers.state_by_worker
        max_reservations = max(1, len(states) // WORKERS_PER_RESERVATION)
        if len(control.workers.reserved_worker_by_task) >= max_reservations:
            return
        best: str | None = None
        best_fraction = float("inf")
        excluded = self._excluded_workers(record)
        for name, state in states.items():
            if (
                not state.reserved_for
                and name not in excluded
                and state.capacity.covers(record.size)
                and not state.health.on_trial
                and control.workers.can_start(now, name)
            ):
                missing = record.size.minus(state.free)
                fraction = worker_placement.dominant_share(
                    missing, state.capacity
                )
                if fraction < best_fraction:
                    best, best_fraction = name, fraction
        if best is not None:
            control.workers.reserve_worker(now, best, record.task.task_id)
