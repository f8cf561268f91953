"""Placement of tasks on workers: quarantine, preemption, impossible needs."""

from collections.abc import Iterable, Mapping
import dataclasses

from azurevane._internal.models import task as task_models

# Consecutive failures of tasks that put a worker into quarantine. After it,
# the worker runs one task at a time, and each further failure doubles the
# quarantine up to the maximum.
QUARANTINE_AFTER_FAILURES = 3
FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
# Distinct workers on which a task fails before it isn't started again.
MAX_FAILED_WORKERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHealth:
    """Consecutive failures and quarantine of a worker.

    Attributes:
        failed_task_ids: IDs of the tasks that failed in a row, oldest
            first.
        quarantined_until: monotonic seconds before which the worker gets
            no work.
        quarantine_s: length of the last quarantine; 0 if there was none
            since the last success.
    """

    failed_task_ids: tuple[str, ...] = ()
    quarantined_until: float = 0.0
    quarantine_s: float = 0.0

    @property
    def on_trial(self) -> bool:
        """Whether the worker may run only one task at a time."""
        return self.quarantine_s > 0.0


def health_after_failure(
    health: WorkerHealth, now: float, task_id: str
) -> WorkerHealth:
    """Return the health of a worker after a task failed on it."""
    if health.on_trial:
        quarantine_s = min(health.quarantine_s * 2, MAX_QUARANTINE_S)
        return WorkerHealth((), now + quarantine_s, quarantine_s)
    failed_task_ids = (*health.failed_task_ids, task_id)
    if len(failed_task_ids) < QUARANTINE_AFTER_FAILURES:
        return WorkerHealth(failed_task_ids)
    return WorkerHealth((), now + FIRST_QUARANTINE_S, FIRST_QUARANTINE_S)


def is_failure_limit_reached(
    failed_workers: tuple[str, ...], hosts: int
) -> bool:
    """Whether a task that failed on these workers isn't started again.

    The limit counts distinct workers. In a pool with fewer hosts than the
    limit, it counts failures instead.

    Args:
        hosts: number of hosts of the pool.
    """
    if hosts < MAX_FAILED_WORKERS:
        return len(failed_workers) >= MAX_FAILED_WORKERS
    return len(set(failed_workers)) >= MAX_FAILED_WORKERS


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A running task that may be preempted."""

    task_id: str
    team: str
    size: task_models.Need
    urgent: bool
    at_most_once: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionVictims:
    """Tasks to checkpoint on a worker, and the cost of doing so."""

    worker: str
    task_ids: tuple[str, ...]
    cost: float
    reasons: tuple[str, ...]


def dominant_share(
    size: task_models.Need, total: task_models.Need | None
) -> float:
    """Return the largest fraction of any resource that a size uses.

    Args:
        total: total of each resource; the result is 0 if it is unknown.
    """
    if total is None:
        return 0.0
    return max(
        size.cores / total.cores if total.cores else 0.0,
        size.memory_gb / total.memory_gb if total.memory_gb else 0.0,
        size.accelerators / total.accelerators if total.accelerators else 0.0,
    )


def teams_over_share(
    used_by_team: Mapping[str, float],
    share_by_team: Mapping[str, float],
    active_teams: Iterable[str],
) -> dict[str, float]:
    """Return the teams over their share, with the excess of each.

    The excess is a fraction of the pool.

    Args:
        used_by_team: dominant share of the pool that each team uses.
        active_teams: teams with running or waiting work.
    """
    teams = set(active_teams)
    total_share = sum(share_by_team.get(team, 1.0) for team in teams)
    excess_by_team = {
        team: used_by_team.get(team, 0.0)
        - share_by_team.get(team, 1.0) / (total_share or 1.0)
        for team in teams
    }
    return {
        team: excess for team, excess in excess_by_team.items() if excess > 0.0
    }


def choose_victims(
    need: task_models.Need,
    team: str,
    excess_by_team: Mapping[str, float],
    candidates: Iterable[
        tuple[str, task_models.Need, task_models.Need, list[RunningTask]]
    ],
) -> PreemptionVictims | None:
    """Return the cheapest tasks to preempt so that a need fits a worker.

    Victims are tasks of teams over their share, or of the same team.
    Urgent and at-most-once tasks are never victims. The cost is the
    fraction of the worker that has to be started again, plus a small amount
    for each task.

    Args:
        excess_by_team: teams over their share, from ``teams_over_share``.
        candidates: worker, its free and total capacity, and its running
            tasks.
    """
    best: PreemptionVictims | None = None
    for worker, free, capacity, running in candidates:
        if not capacity.covers(need):
            continue
        found = _choose_victims_on(
            need, team, excess_by_team, worker, free, capacity, running
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _choose_victims_on(
    need: task_models.Need,
    team: str,
    excess_by_team: Mapping[str, float],
    worker: str,
    free: task_models.Need,
    capacity: task_models.Need,
    running: list[RunningTask],
) -> PreemptionVictims | None:
    preemptible = sorted(
        (dominant_share(item.size, capacity) + 0.01, item.task_id, item)
        for item in running
        if not item.urgent
        and not item.at_most_once
        and (item.team in excess_by_team or item.team == team)
    )
    chosen: list[tuple[float, RunningTask]] = []
    for cost, _, item in preemptible:
        if free.covers(need):
            break
        free = free.plus(item.size)
        chosen.append((cost, item))
    if not free.covers(need):
        return None
    # Keep the tasks that turn out not to be needed as victims.
    for cost, item in reversed(list(chosen)):
        without = free.minus(item.size)
        if without.covers(need):
            free = without
            chosen.remove((cost, item))
    teams = sorted({item.team for _, item in chosen})
    return PreemptionVictims(
        worker,
        tuple(item.task_id for _, item in chosen),
        sum(cost for cost, _ in chosen),
        ("urgent", f"victims={len(chosen)}", f"teams={','.join(teams)}"),
    )


def explain_impossible_need(
    need: task_models.Need, sizes: Iterable[task_models.Need]
) -> str:
    """Return why a need fits on no host of a pool, or an empty string.

    Args:
        sizes: distinct capacities of the hosts.
    """
    sizes = list(sizes)
    if not sizes or any(size.covers(need) for size in sizes):
        return ""
    return (
        f"fits on no worker: needs {need.cores:g} cores,"
        f" {need.memory_gb:g} GB, {need.accelerators:g} accelerators; the"
        f" largest have {max(size.cores for size in sizes):g} cores,"
        f" {max(size.memory_gb for size in sizes):g} GB,"
        f" {max(size.accelerators for size in sizes):g} accelerators"
    )
