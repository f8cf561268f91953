"""When and how far the shares of teams change the order of jobs."""

from collections.abc import Iterable, Sequence
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import fair_shares
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Least time between two advances of the accounts, which limits their cost. It
# is short compared to their time constant.
ADVANCE_INTERVAL_S = 0.05
# The capacity of all pools is summed up at most this often; hosts change
# their pool in more than a second.
CAPACITY_INTERVAL_S = 1.0
# While teams compete, an event tells of their factors this often.
EVENT_INTERVAL_S = 1.0
# Teams whose factors an event names, those furthest above their shares.
NAMED_TEAMS = 5


class ShareOrder:
    """Factors by team of the services that are planned."""

    def __init__(self, scheduler_state: state_module.SchedulerState) -> None:
        self._scheduler_state = scheduler_state
        self._account_by_team: dict[str, tuple[float, ...]] = {}
        self._advance_at = 0.0
        self._capacity = job_models.Capacity()
        self._sum_capacity_at = 0.0
        self._event_at_by_service: dict[str, float] = {}

    def factors(
        self,
        service: str,
        requests: Iterable[task_placement.StepRequest],
        capacities: Sequence[task_placement.RunnerCapacity],
        all_fit: bool,
        now: float,
    ) -> dict[str, float]:
        """Return the factor of each team; none while all that waits fits.

        Args:
            requests: waiting tasks of the service.
            capacities: free capacities of its runners.
            all_fit: whether each waiting task fits some runner by itself.
        """
        waiting_by_team: dict[str, list[int]] = {}
        for request in requests:
            amounts = waiting_by_team.setdefault(request.team, [0, 0, 0])
            count, step = len(request.waiting_indexes), request.step
            if not step.fills:
                amounts[0] += count * step.need.cpu
            amounts[1] += count * step.need.memory
            amounts[2] += count * step.need.gpu
        waiting = _sum_amounts(waiting_by_team.values())
        free = _sum_capacities(capacity.free for capacity in capacities)
        if all_fit and not fair_shares.is_scarce(waiting, free):
            if self._event_at_by_service.pop(service, None) is not None:
                catalogue.emit(logger, events.TeamsCompeteNoMore(service))
            return {}
        factors = self._team_factors(waiting_by_team, now)
        self._log_factors(service, waiting, free, factors, now)
        return factors

    def advance_accounts(self, now: float) -> None:
        """Let the accounts include what was held until now."""
        if now >= self._advance_at:
            self._advance_at = now + ADVANCE_INTERVAL_S
            usage = self._scheduler_state.usage
            self._account_by_team = usage.advance_accounts(now)

    def _team_factors(
        self, teams: Iterable[str], now: float
    ) -> dict[str, float]:
        config = self._scheduler_state.config
        if config is None:
            return {}
        if now >= self._sum_capacity_at:
            self._sum_capacity_at = now + CAPACITY_INTERVAL_S
            self._capacity = _sum_capacities(
                runner.entry.capacity
                for runner in self._scheduler_state.runner_by_id.values()
                if runner.listed
            )
        weight_by_team = {
            team: config.team_by_name[team].weight
            for team in teams
            if team in config.team_by_name
        }
        return fair_shares.factor_by_team(
            self._account_by_team, weight_by_team, self._capacity
        )

    def _log_factors(
        self,
        service: str,
        waiting: job_models.Capacity,
        free: job_models.Capacity,
        factors: dict[str, float],
        now: float,
    ) -> None:
        event_at = self._event_at_by_service.get(service, now)
        if now < event_at or len(factors) < 2:
            return
        self._event_at_by_service[service] = now + EVENT_INTERVAL_S
        highest = sorted(factors, key=factors.__getitem__, reverse=True)
        catalogue.emit(
            logger,
            events.TeamsCompete(
                service,
                waiting.cpu,
                free.cpu,
                waiting.memory,
                free.memory,
                len(factors),
                " ".join(
                    f"{team}={factors[team]:.2f}"
                    for team in highest[:NAMED_TEAMS]
                ),
                round(now + ADVANCE_INTERVAL_S - self._advance_at, 3),
            ),
        )


def _sum_amounts(amounts: Iterable[Sequence[int]]) -> job_models.Capacity:
    return job_models.Capacity(
        *map(sum, zip((0, 0, 0), *amounts, strict=True))
    )


def _sum_capacities(
    capacities: Iterable[job_models.Capacity],
) -> job_models.Capacity:
    return _sum_amounts(
        (capacity.cpu, capacity.memory, capacity.gpu)
        for capacity in capacities
    )
