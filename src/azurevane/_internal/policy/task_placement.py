"""Chooses runners for tasks that are ready to start.

Designed for bursts of many short tasks beside a few long-running ones.
Short tasks are packed onto few runners, so that the hosts of the other
runners can leave the pool, but not onto slow ones, unless the job still ends
in time there. Long-running tasks are spread over runners and
racks.
"""

import collections
from collections.abc import Sequence
import dataclasses
import math

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import isolated_starts

# Stands for no limit on a number of placements.
NO_LIMIT = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCapacity:
    """Free capacity of a runner that may start tasks.

    Attributes:
        max_starts: number of tasks that may start on it now, but for those of
            gangs, which start together.
    """

    runner_id: str
    rack: str
    labels: frozenset[str]
    free: job_models.Capacity
    max_starts: int = NO_LIMIT


@dataclasses.dataclass(frozen=True, slots=True)
class StepRequest:
    """Tasks of a step that wait for runners.

    Attributes:
        job_id: job of the step; ``occurrence`` and ``step_index`` identify
            the step within the job.
        waiting_indexes: indexes of the waiting tasks within the step.
        task_count_by_runner: number of tasks of the step that each runner
            has already.
        allowed_runners: IDs of the runners that may run the step; None
            for any.
        avoided_runners_by_index: by task index, IDs of runners on which
            the task isn't started while the step has any other candidate,
            even a full one. The caller drops them after some time.
        isolated_s: time for which nothing else may start on the runner of
            tasks that may crash it, None for other tasks.
    """

    job_id: str
    occurrence: int
    step_index: int
    team: str
    step: job_models.Step
    waiting_indexes: tuple[int, ...]
    task_count_by_runner: dict[str, int]
    allowed_runners: frozenset[str] | None = None
    avoided_runners_by_index: dict[int, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    isolated_s: float | None = None

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Job, occurrence and index of the step."""
        return self.job_id, self.occurrence, self.step_index

    @property
    def avoided_runners(self) -> frozenset[str]:
        """Runners that some of the tasks avoid."""
        return frozenset().union(*self.avoided_runners_by_index.values())

    def fills_share_of(self, runner_id: str) -> bool:
        """Whether a runner has as many tasks of the step as it may have."""
        most = self.step.max_per_runner
        return 0 < most <= self.task_count_by_runner.get(runner_id, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskPlacement:
    """The runner chosen for a task."""

    request: StepRequest
    index: int
    runner_id: str


# Minimum number of runners over which a long-running step is spread.
MIN_SPREAD_RUNNERS = 2


class _RunnerBalance:
    """Capacity of a runner that is left while tasks are placed."""

    __slots__ = ("cpu", "gpu", "memory", "runner", "starts")

    def __init__(self, runner: RunnerCapacity) -> None:
        self.runner = runner
        self.cpu = runner.free.cpu
        self.memory = runner.free.memory
        self.gpu = runner.free.gpu
        self.starts = runner.max_starts

    def admits(self, step: job_models.Step, cpu: int) -> bool:
        may_start = self.starts > 0 or step.gang
        return may_start and self.fits(step.need, cpu)

    def fits(self, need: job_models.Capacity, cpu: int) -> bool:
        return (
            self.cpu >= cpu
            and self.memory >= need.memory
            and self.gpu >= need.gpu
        )

    def reserve(self, need: job_models.Capacity, cpu: int) -> None:
        self.cpu -= cpu
        self.memory -= need.memory
        self.gpu -= need.gpu
        self.starts -= 1


class _TeamAllowance:
    """Capacity that a team may still use while tasks are placed."""

    __slots__ = ("cpu", "gpu", "memory")

    def __init__(self, free: job_models.Capacity) -> None:
        self.cpu = free.cpu
        self.memory = free.memory
        self.gpu = free.gpu

    def max_tasks(self, need: job_models.Capacity) -> int:
        """Return how many tasks of this need the team may still start."""
        counts = [
            left // size
            for left, size in (
                (self.cpu, need.cpu),
                (self.memory, need.memory),
                (self.gpu, need.gpu),
            )
            if size
        ]
        return max(min(counts, default=1 << 30), 0)

    def reserve(self, need: job_models.Capacity) -> None:
        self.cpu -= need.cpu
        self.memory -= need.memory
        self.gpu -= need.gpu


def place_tasks(
    requests: Sequence[StepRequest],
    runners: Sequence[RunnerCapacity],
    free_by_team: dict[str, job_models.Capacity],
    max_placements: int = NO_LIMIT,
    isolated: isolated_starts.IsolatedStarts | None = None,
) -> list[TaskPlacement]:
    """Choose runners for the waiting tasks, in the order of the requests.

    Args:
        free_by_team: capacity that each team may still use; a team that
            isn't listed has no limit.
        max_placements: number of tasks after which the others wait. A gang
            is placed whole, so its last tasks may be beyond it.
        isolated: where suspected tasks start, if there are any.
    """
    balances = [_RunnerBalance(runner) for runner in runners]
    allowance_by_team = {
        name: _TeamAllowance(left) for name, left in free_by_team.items()
    }
    placements: list[TaskPlacement] = []
    # Needs that fitted no runner. As capacity only shrinks in this loop, no
    # request of at least the same need fits any more.
    too_large: list[job_models.Capacity] = []
    count_by_runner_by_step: dict[tuple[str, int, int], dict[str, int]] = {}
    for request in requests:
        request = _with_placed_tasks(request, count_by_runner_by_step)
        room = max_placements - len(placements)
        if room <= 0:
            break
        need = capacity_needed(request.step)
        if _fits_no_runner(request, need, too_large):
            continue
        max_count = len(request.waiting_indexes)
        if not request.step.gang:
            max_count = min(max_count, room)
        allowance = allowance_by_team.get(request.team)
        if allowance is not None:
            max_count = min(max_count, allowance.max_tasks(request.step.need))
        if request.step.gang and max_count < len(request.waiting_indexes):
            continue
        chosen = _place_step(request, max_count, balances, isolated)
        if not chosen and max_count and _is_unrestricted(request):
            too_large.append(need)
        count_by_runner = count_by_runner_by_step[request.step_key]
        for placement in chosen:
            if allowance is not None:
                allowance.reserve(request.step.need)
            count_by_runner.setdefault(placement.runner_id, 0)
            count_by_runner[placement.runner_id] += 1
        placements.extend(chosen)
    return placements


def _fits_no_runner(
    request: StepRequest,
    need: job_models.Capacity,
    too_large: list[job_models.Capacity],
) -> bool:
    """Whether a smaller need fitted no runner that the request may use.

    Runners may be kept for suspected tasks, so that these fit where others
    didn't.
    """
    if request.isolated_s is not None:
        return False
    return any(need.covers(other) for other in too_large)


def _with_placed_tasks(
    request: StepRequest,
    count_by_runner_by_step: dict[tuple[str, int, int], dict[str, int]],
) -> StepRequest:
    """Return a request that counts the tasks placed for its step before.

    Suspected tasks of a step have requests of their own.
    """
    count_by_runner = count_by_runner_by_step.setdefault(request.step_key, {})
    if not count_by_runner:
        return request
    total = collections.Counter(request.task_count_by_runner)
    total.update(count_by_runner)
    return dataclasses.replace(request, task_count_by_runner=dict(total))


def capacity_needed(step: job_models.Step) -> job_models.Capacity:
    """Return the capacity that a task takes from its runner."""
    return dataclasses.replace(step.need, cpu=0) if step.fills else step.need


def _is_unrestricted(request: StepRequest) -> bool:
    """Whether only free capacity decides where a request's tasks can run."""
    step = request.step
    return not (
        step.gang
        or step.required_label
        or step.max_per_runner
        or request.allowed_runners is not None
        or request.avoided_runners_by_index
        or request.isolated_s is not None
    )


def _place_step(
    request: StepRequest,
    max_count: int,
    balances: list[_RunnerBalance],
    isolated: isolated_starts.IsolatedStarts | None,
) -> list[TaskPlacement]:
    step = request.step
    if not max_count:
        return []
    candidates = _candidates(request, balances)
    if isolated is not None and not step.gang:
        return _place_isolated(request, max_count, candidates, isolated)
    if isolated is not None:
        candidates = _admitting(request, candidates, isolated)
    if step.gang and step.same_rack:
        placements = _place_in_one_rack(request, candidates)
    else:
        placements = _place_greedily(request, max_count, candidates)
    if step.gang and len(placements) < len(request.waiting_indexes):
        _release_placements(placements, candidates, step)
        return []
    if isolated is not None:
        _record_starts(placements, isolated)
    return placements


def _admitting(
    request: StepRequest,
    candidates: list[_RunnerBalance],
    isolated: isolated_starts.IsolatedStarts,
) -> list[_RunnerBalance]:
    """Return the runners on which a request's tasks may start."""
    return [
        balance
        for balance in candidates
        if isolated.admits(
            balance.runner.runner_id,
            request.job_id,
            request.isolated_s,
        )
    ]


def _record_starts(
    placements: list[TaskPlacement], isolated: isolated_starts.IsolatedStarts
) -> None:
    for placement in placements:
        request = placement.request
        isolated.record_start(
            placement.runner_id, request.job_id, request.isolated_s
        )


def _place_isolated(
    request: StepRequest,
    max_count: int,
    candidates: list[_RunnerBalance],
    isolated: isolated_starts.IsolatedStarts,
) -> list[TaskPlacement]:
    """Place tasks of one step while some starts are isolated.

    Suspected tasks of a job start on one runner, which is the one with most
    free processors: a crash then ends least work of others.
    """
    admitting = _admitting(request, candidates, isolated)
    if request.isolated_s is not None:
        need = request.step.need
        cpu = 0 if request.step.fills else need.cpu
        avoided = request.avoided_runners
        if all(each.runner.runner_id in avoided for each in candidates):
            avoided = frozenset()
        fitting = [
            balance
            for balance in admitting
            if balance.fits(need, cpu)
            and not request.fills_share_of(balance.runner.runner_id)
            and balance.runner.runner_id not in avoided
        ]
        admitting = sorted(fitting, key=lambda balance: balance.cpu)[-1:]
    placements = _place_greedily(request, max_count, admitting)
    _record_starts(placements, isolated)
    return placements


def _candidates(
    request: StepRequest, balances: list[_RunnerBalance]
) -> list[_RunnerBalance]:
    label = request.step.required_label
    allowed = request.allowed_runners
    return [
        balance
        for balance in balances
        if (not label or label in balance.runner.labels)
        and (allowed is None or balance.runner.runner_id in allowed)
    ]


def _place_in_one_rack(
    request: StepRequest, candidates: list[_RunnerBalance]
) -> list[TaskPlacement]:
    """Place a gang in one rack, or across racks if no rack fits it.

    Its tasks run more slowly when they are split between racks.
    """
    balances_by_rack: dict[str, list[_RunnerBalance]] = {}
    for balance in candidates:
        balances_by_rack.setdefault(balance.runner.rack, []).append(balance)
    racks = sorted(
        balances_by_rack.values(),
        key=lambda balances: sum(b.cpu for b in balances),
    )
    for balances in [*racks, candidates]:
        placements = _place_greedily(
            request, len(request.waiting_indexes), balances
        )
        if len(placements) == len(request.waiting_indexes):
            return placements
        _release_placements(placements, balances, request.step)
    return []


def _avoided_runners(
    request: StepRequest, index: int, candidates: list[_RunnerBalance]
) -> frozenset[str]:
    avoided = request.avoided_runners_by_index.get(index)
    if not avoided:
        return frozenset()
    others = any(
        balance.runner.runner_id not in avoided for balance in candidates
    )
    return avoided if others else frozenset()


def _place_greedily(
    request: StepRequest, max_count: int, candidates: list[_RunnerBalance]
) -> list[TaskPlacement]:
    step = request.step
    need = step.need
    cpu = 0 if step.fills else need.cpu
    count_by_runner = dict(request.task_count_by_runner)
    count_by_rack: dict[str, int] = {}
    if step.long_running:
        count_by_rack = _count_by_rack(candidates, count_by_runner)
    spread_count = spread_runner_count(step)
    placements = []
    for index in request.waiting_indexes[:max_count]:
        best: _RunnerBalance | None = None
        best_rank: tuple[float, ...] = ()
        spread_out = len(count_by_runner) >= spread_count
        avoided = _avoided_runners(request, index, candidates)
        for balance in candidates:
            runner = balance.runner
            here = count_by_runner.get(runner.runner_id, 0)
            full = step.max_per_runner and here >= step.max_per_runner
            if full or not balance.admits(step, cpu):
                continue
            if runner.runner_id in avoided:
                continue
            if step.long_running:
                rank: tuple[float, ...] = (
                    spread_out and not here,
                    here,
                    count_by_rack.get(runner.rack, 0),
                    balance.cpu,
                )
            else:
                remote = bool(step.data_rack) and runner.rack != step.data_rack
                rank = (remote, balance.cpu)
            if best is None or rank < best_rank:
                best, best_rank = balance, rank
        if best is None and avoided:
            # A task that avoids no runner may still fit.
            continue
        if best is None:
            break
        best.reserve(need, cpu)
        runner_id, rack = best.runner.runner_id, best.runner.rack
        count_by_runner[runner_id] = count_by_runner.get(runner_id, 0) + 1
        count_by_rack[rack] = count_by_rack.get(rack, 0) + 1
        placements.append(TaskPlacement(request, index, runner_id))
    return placements


def _count_by_rack(
    candidates: list[_RunnerBalance], count_by_runner: dict[str, int]
) -> dict[str, int]:
    count_by_rack: dict[str, int] = {}
    for balance in candidates:
        runner = balance.runner
        count_by_rack[runner.rack] = count_by_rack.get(
            runner.rack, 0
        ) + count_by_runner.get(runner.runner_id, 0)
    return count_by_rack


def spread_runner_count(step: job_models.Step) -> int:
    """Return the number of runners over which a long-running step is spread.

    With two runners the step survives the loss of either; more would keep
    hosts in the pool that could leave it.
    """
    if not step.max_per_runner:
        return MIN_SPREAD_RUNNERS
    return max(MIN_SPREAD_RUNNERS, math.ceil(step.count / step.max_per_runner))


def _release_placements(
    placements: list[TaskPlacement],
    candidates: list[_RunnerBalance],
    step: job_models.Step,
) -> None:
    balance_by_id = {
        balance.runner.runner_id: balance for balance in candidates
    }
    cpu = 0 if step.fills else step.need.cpu
    for placement in placements:
        balance = balance_by_id[placement.runner_id]
        balance.cpu += cpu
        balance.memory += step.need.memory
        balance.gpu += step.need.gpu
        balance.starts += 1
