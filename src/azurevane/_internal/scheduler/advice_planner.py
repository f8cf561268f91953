"""Decides about which steps and runners the advisor is asked next.

The advisor handles one request at a time and its tickets expire soon. So it
is asked only about steps that could start now on the runners that it may
allow, in the order in which they would start, and about the first one that
waits for capacity.
"""

from collections.abc import Collection, Mapping, Sequence
import dataclasses

from azurevane._internal.models import job as job_models
from azurevane._internal.platform import advice_calls
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import advice_book
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import scheduler_state as state_module

# Requests of a service that are kept until the next planning pass.
MAX_REQUESTS = 4
# Waiting steps of a service that are considered; later ones follow once these
# have started.
MAX_CONSIDERED_STEPS = 50
# A request names this many runners, as any of them may not be allowed, and
# more for a step with many tasks.
USUAL_RUNNERS = 30
RUNNERS_PER_TASK = 2


class AdvicePlanner:
    """Keeps the requests for advice of the scheduler's state up to date."""

    def __init__(self, scheduler_state: state_module.SchedulerState) -> None:
        self._scheduler_state = scheduler_state
        self._book = scheduler_state.advice

    def allowed_runners(
        self,
        service: str,
        step_name: str,
        now: float,
    ) -> frozenset[str]:
        """Return the runners for which a step has valid tickets."""
        runners = map(
            self._scheduler_state.runner_by_id.get,
            self._book.answered_runners(service, step_name),
        )
        return frozenset(
            runner.id
            for runner in runners
            if runner is not None
            and (advice := self._book.find(service, step_name, runner, now))
            and advice.ticket
        )

    def plan_requests(
        self,
        service: str,
        waiting: Sequence[task_placement.StepRequest],
        runners: Sequence[runner_state.RunnerState],
        capacities: Sequence[task_placement.RunnerCapacity],
        now: float,
    ) -> None:
        """Set what the advisor is asked about the steps of a service.

        Args:
            waiting: steps and the tasks that a planning pass left waiting, in
                scheduling order.
            capacities: free capacities of the runners after that pass.
        """
        waiting = [
            request
            for request in waiting
            if request.allowed_runners is not None
        ]
        self._book.keep_steps(service, map(step_name_of, waiting))
        if not waiting:
            self._book.set_requests(service, ())
            return
        steps = [
            self._advised_step(service, request, runners, now)
            for request in waiting[:MAX_CONSIDERED_STEPS]
        ]
        free_by_team = self._scheduler_state.free_capacity_by_team()
        startable = _find_startable(steps, capacities, free_by_team)
        free_by_runner = {each.runner_id: each.free for each in capacities}
        if not startable:
            startable = _find_next(steps, free_by_team)
            free_by_runner = {
                runner.id: runner.entry.capacity for runner in runners
            }
        advice_requests = []
        for step, preferred in startable:
            job = self._scheduler_state.live_job_by_id[step.request.job_id]
            named = _runners_to_name(step, preferred, free_by_runner)
            if not named:
                # Its tasks fit no runner.
                continue
            advice_requests.append(
                advice_book.AdviceRequest(
                    step_name_of(step.request),
                    service,
                    {each.id: each.started_at for each in named},
                    self._scheduler_state.advisor_times_of(job.job),
                )
            )
        self._book.set_requests(service, advice_requests[:MAX_REQUESTS])

    def _advised_step(
        self,
        service: str,
        request: task_placement.StepRequest,
        runners: Sequence[runner_state.RunnerState],
        now: float,
    ) -> "_AdvisedStep":
        label = request.step.required_label
        with_ticket: set[str] = set()
        without_answer: list[runner_state.RunnerState] = []
        for runner in runners:
            advice = self._book.find(
                service, step_name_of(request), runner, now
            )
            if advice is None:
                if not label or label in runner.entry.labels:
                    without_answer.append(runner)
            elif advice.ticket:
                with_ticket.add(runner.id)
        maybe_allowed = with_ticket.union(each.id for each in without_answer)
        return _AdvisedStep(
            dataclasses.replace(
                request, allowed_runners=frozenset(maybe_allowed)
            ),
            frozenset(with_ticket),
            tuple(without_answer),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _AdvisedStep:
    """A waiting step, and what the advisor has said about it.

    Attributes:
        request: the step, with the runners that aren't refused.
        with_ticket: runners for which it has valid tickets.
        without_answer: runners about which no answer is valid.
    """

    request: task_placement.StepRequest
    with_ticket: frozenset[str]
    without_answer: tuple[runner_state.RunnerState, ...]


def step_name_of(request: task_placement.StepRequest) -> str:
    """Return the name under which the advisor knows a step."""
    return f"{request.job_id}.{request.occurrence}.{request.step_index}"


def _find_startable(
    steps: Sequence[_AdvisedStep],
    capacities: Sequence[task_placement.RunnerCapacity],
    free_by_team: dict[str, job_models.Capacity],
) -> list[tuple[_AdvisedStep, list[str]]]:
    """Return the steps that only lack advice, and runners that have room."""
    step_by_name = {step_name_of(step.request): step for step in steps}
    placements = task_placement.place_tasks(
        [step.request for step in steps], capacities, free_by_team
    )
    runners_by_step: dict[str, list[str]] = {}
    lacking: dict[str, _AdvisedStep] = {}
    for placement in placements:
        name = step_name_of(placement.request)
        runners_by_step.setdefault(name, []).append(placement.runner_id)
        step = step_by_name[name]
        if placement.runner_id not in step.with_ticket:
            lacking.setdefault(name, step)
    return [(step, runners_by_step[name]) for name, step in lacking.items()]


def _find_next(
    steps: Sequence[_AdvisedStep],
    free_by_team: dict[str, job_models.Capacity],
) -> list[tuple[_AdvisedStep, list[str]]]:
    """Return the first step that its team may start, if it lacks advice."""
    for step in steps:
        team_free = free_by_team.get(step.request.team)
        if team_free and not team_free.covers(step.request.step.need):
            continue
        lacks_advice = step.without_answer and not step.with_ticket
        return [(step, [])] if lacks_advice else []
    return []


def _runners_to_name(
    step: _AdvisedStep,
    preferred: Collection[str],
    free_by_runner: Mapping[str, job_models.Capacity],
) -> list[runner_state.RunnerState]:
    """Return the runners to ask about: those with room, the best first."""
    need = task_placement.capacity_needed(step.request.step)
    with_room = [
        runner
        for runner in step.without_answer
        if free_by_runner[runner.id].covers(need)
    ]
    with_room.sort(
        key=lambda runner: (
            runner.id not in preferred,
            -free_by_runner[runner.id].cpu,
        )
    )
    wanted = RUNNERS_PER_TASK * len(step.request.waiting_indexes)
    count = max(USUAL_RUNNERS, wanted)
    return with_room[: min(count, advice_calls.MAX_RUNNERS_PER_REQUEST)]
