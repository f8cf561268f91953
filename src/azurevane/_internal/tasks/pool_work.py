"""A pool at one entry host: its queues, usage counters and runners."""

from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models
from azurevane._internal.policy import queueing
from azurevane._internal.policy import shares
from azurevane._internal.tasks import runner_index
from azurevane._internal.tasks import usage_ledger
from azurevane._internal.tasks import waiting_queue

# Interval between two checks of all waiting submissions. A check takes time
# in proportion to their number.
_DEADLINE_CHECK_INTERVAL_S = 0.5

# Age of the peers' counters from which ranks are computed.
_PEER_COUNTER_AGE_S = 0.1
# Minimum interval between two divisions of a pool's capacity caused by a team
# that starts to wait.
_DIVIDE_INTERVAL_S = 0.01


class PoolWork:
    """Owns the waiting submissions and the usage counters of a pool.

    Attributes:
        spare: whether the pool's idle slots serve other pools.
        waiting: number of submissions that wait here.
        limited_teams: teams that wait for a permit of their upper limit.
        wanted_slots: slots last announced as wanted; 0 if none.
        missing_slots: slots due to this host that it didn't use at that
            time; negative if it used more than it was due.
        mean_level: mean usage level of the waiting teams at that time.
        rank_step: difference below which ranks of different hosts aren't
            significant.
        announced_at: monotonic seconds of the last announcement.
        announced_team: team that was next in it.
    """

    def __init__(
        self, name: str, spare: bool, index: runner_index.RunnerIndex
    ) -> None:
        self.name = name
        self.spare = spare
        self.index = index
        self.ledger = usage_ledger.UsageLedger()
        self.queue_by_team: dict[str, waiting_queue.WaitingQueue] = {}
        self.waiting = 0
        self.limited_teams: set[str] = set()
        self.wanted_slots = 0
        self.missing_slots = 0
        self.mean_level = 0.0
        self.rank_step = 0.0
        self.announced_at = 0.0
        self.announced_team = ""
        self._limit_by_team: dict[str, int] = {}
        self._division = shares.MaxMinDivision(0.0, ())
        self._entitlement_by_team: dict[str, float] = {}
        self._waiting_teams: frozenset[str] = frozenset()
        self._deadlines_checked_at = 0.0
        self._divided_at = 0.0

    def configure(
        self, now: float, manifest: manifest_models.Manifest
    ) -> None:
        """Apply the shares and limits of a manifest."""
        self._limit_by_team = {
            team.name: team.limit for team in manifest.teams
        }
        for team in manifest.teams:
            if team.name in self.ledger.usage_by_team:
                self.ledger.set_weight(now, team.name, team.share)
            else:
                usage = usage_ledger.TeamUsage(team.share)
                self.ledger.usage_by_team[team.name] = usage

    def configure_runners(
        self,
        now: float,
        state: fleet.FleetState,
        index: runner_index.RunnerIndex,
        records: list[runner_index.RunnerRecord],
    ) -> None:
        """Apply the runners, drains and zones out of a fleet state."""
        self.index = index
        zones_out = set(state.zones_out)
        draining = set(state.draining)
        for record in records:
            index.add(record)
            index.set_state(
                now, record, record.zone in zones_out, record.name in draining
            )
        index.update_capacity(now)
        self.divide_capacity(now)

    def divide_capacity(self, now: float) -> None:
        """Recompute how many slots each team is entitled to."""
        self._divided_at = now
        demands = []
        for team, usage in self.ledger.usage_by_team.items():
            demand = usage.total_running + usage.total_waiting
            if demand:
                limit = self._limit_by_team.get(team, demand)
                demands.append(
                    shares.TeamDemand(team, usage.weight, min(demand, limit))
                )
        self._division = shares.MaxMinDivision(self.index.capacity, demands)
        self._entitlement_by_team.clear()
        weight_by_waiting_team = {
            team: usage.weight
            for team, usage in self.ledger.usage_by_team.items()
            if usage.total_waiting
        }
        self._waiting_teams = frozenset(weight_by_waiting_team)
        weight = sum(weight_by_waiting_team.values())
        self.rank_step = (
            _PEER_COUNTER_AGE_S * self.index.capacity / weight
            if weight
            else 0.0
        )

    def _team_entitlement(self, team: str, weight: float) -> float:
        entitlement = self._entitlement_by_team.get(team)
        if entitlement is None:
            entitlement = self._division.unbounded_part(team, weight)
            self._entitlement_by_team[team] = entitlement
        return entitlement

    def count_missing_slots(self, now: float) -> int:
        """Return how many slots due to this host it doesn't use yet.

        Negative if it uses more than it is due.
        """
        waiting_teams = []
        running = 0
        for team, usage in self.ledger.usage_by_team.items():
            if usage.total_waiting and team not in self.limited_teams:
                running += usage.running
                waiting_teams.append(
                    shares.WaitingTeam(
                        usage.weight,
                        self._team_entitlement(team, usage.weight),
                        usage.level(now),
                        usage.local_fraction,
                    )
                )
        self.mean_level = shares.mean_usage_level(waiting_teams)
        return round(shares.slots_due(waiting_teams)) - running

    def check_admission(
        self,
        now: float,
        item: request_models.Submission,
        queued: int,
        queued_bytes: int,
        bounds: queueing.QueueBounds,
    ) -> queueing.RefusalReason | None:
        """Return why a submission is refused, or None if it may wait.

        Args:
            queued, queued_bytes: number and size of all submissions that
                wait at this host.
        """
        usage = self.ledger.team_usage(item.team)
        if (
            not (queued or item.size_bytes or usage.total_waiting)
            and item.deadline > now
            and self.index.capacity > 0
            and usage.total_running
            < self._team_entitlement(item.team, usage.weight)
        ):
            # Nothing waits, so no deadline or bound can cause a refusal.
            return None
        return queueing.check_admission(
            item.deadline - now,
            item.size_bytes,
            self.backlog(item.team, queued, queued_bytes),
            self.service_time(item.team),
            bounds,
        )

    def backlog(
        self, team: str, queued: int = 0, queued_bytes: int = 0
    ) -> queueing.Backlog:
        """Return the load ahead of a team's next request."""
        usage = self.ledger.team_usage(team)
        capacity = self.index.capacity
        limit = self._limit_by_team.get(team, capacity)
        team_queue = self.queue_by_team.get(team)
        return queueing.Backlog(
            usage.total_waiting,
            usage.total_running,
            min(self._team_entitlement(team, usage.weight), limit),
            limit,
            capacity,
            len(self._waiting_teams) > (team in self._waiting_teams),
            queued,
            queued_bytes,
            len(team_queue) if team_queue else 0,
            team_queue.size_bytes if team_queue else 0,
        )

    def add(
        self,
        now: float,
        item: request_models.Submission,
        queue: manifest_models.Queue,
    ) -> None:
        """Queue a submission."""
        team_queue = self.queue_by_team.get(item.team)
        if team_queue is None:
            team_queue = waiting_queue.WaitingQueue()
            self.queue_by_team[item.team] = team_queue
        team_queue.add(item, queue.max_wait_s)
        self.waiting += 1
        starts_waiting = not self.ledger.team_usage(item.team).total_waiting
        if item.team in self.limited_teams:
            self.ledger.team_usage(item.team).waiting += 1
        else:
            self.ledger.begin_waiting(now, item.team)
        if starts_waiting and now - self._divided_at >= _DIVIDE_INTERVAL_S:
            self.divide_capacity(now)

    def remove(
        self, team: str, submission_id: str
    ) -> request_models.Submission | None:
        """Remove a submission; return None if it isn't queued here."""
        item = self.queue_by_team[team].remove(submission_id)
        if item is not None:
            self._record_removal(team, 1)
        return item

    def _record_removal(self, team: str, count: int) -> None:
        self.waiting -= count
        self.ledger.stop_waiting(team, count)
        if not self.queue_by_team[team]:
            self.limited_teams.discard(team)

    def service_time(self, team: str) -> queueing.ServiceTime:
        """Return a team's run time estimate.

        It is unknown while the team runs nothing, because no result
        would then correct it.
        """
        usage = self.ledger.team_usage(team)
        return (
            usage.service
            if usage.total_running
            else queueing.UNKNOWN_SERVICE_TIME
        )

    def remove_late(self, now: float) -> list[request_models.Submission]:
        """Remove what couldn't end by its deadline if it started now."""
        late = []
        for team, team_queue in self.queue_by_team.items():
            if not team_queue:
                continue
            mean_s = self.service_time(team).mean_s
            due = team_queue.remove_due(now + mean_s)
            if due:
                self._record_removal(team, len(due))
                late += due
        return late

    def remove_unmeetable(self, now: float) -> list[request_models.Submission]:
        """Remove what can't meet its deadline at its queue position.

        Checks all waiting submissions, at most twice a second.
        """
        if now - self._deadlines_checked_at < _DEADLINE_CHECK_INTERVAL_S:
            return []
        self._deadlines_checked_at = now
        unmeetable = []
        for team, team_queue in self.queue_by_team.items():
            if not team_queue:
                continue
            items = team_queue.items()
            positions = queueing.find_unmeetable_deadlines(
                [item.deadline - now for item in items],
                self.backlog(team),
                self.service_time(team),
            )
            for position in positions:
                team_queue.remove(items[position].submission_id)
                unmeetable.append(items[position])
            if positions:
                self._record_removal(team, len(positions))
        return unmeetable

    def block_limited_team(self, team: str) -> None:
        """Unschedule a team until it gets a permit of its upper limit."""
        self.limited_teams.add(team)
        self.ledger.unschedule_team(team)

    def unblock_team(self, now: float, team: str) -> bool:
        """Schedule a team again; return False if it wasn't blocked."""
        if team not in self.limited_teams:
            return False
        self.limited_teams.discard(team)
        self.ledger.schedule_team(now, team)
        return True
