"""Work of one pool at one entry host: queues, usage and runners."""

from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models
from azurevane._internal.policy import queueing
from azurevane._internal.policy import shares
from azurevane._internal.tasks import runner_index
from azurevane._internal.tasks import usage_ledger
from azurevane._internal.tasks import waiting_queue

# Seconds between two passes over the places in the queues. A pass costs
# time in proportion to what waits.
_PASS_INTERVAL_S = 0.5

# Age of the counters of peers, on which ranks rest.
_COUNTER_AGE_S = 0.1
# Least seconds between two divisions of a pool because a team returned.
_DIVIDE_INTERVAL_S = 0.01


class PoolWork:
    """Owns what waits for a pool and what is known of its use."""

    def __init__(
        self, name: str, spare: bool, index: runner_index.RunnerIndex
    ) -> None:
        self.name = name
        self.spare = spare
        self.index = index
        self.ledger = usage_ledger.UsageLedger()
        self.queue_by_team: dict[str, waiting_queue.WaitingQueue] = {}
        self.waiting = 0
        # Teams that wait for a permit of their own upper limit.
        self.limited: set[str] = set()
        self.wanted = 0
        self.missing = 0
        self.mean_level = 0.0
        # Ranks at different hosts that differ by less say nothing.
        self.rank_step = 0.0
        self.announced_at = 0.0
        self.announced_team = ""
        self._limit_by_team: dict[str, int] = {}
        self._division = shares.MaxMinDivision(0.0, ())
        self._part_by_team: dict[str, float] = {}
        self._contenders: frozenset[str] = frozenset()
        self._passed_at = 0.0
        self._divided_at = 0.0

    def configure(
        self, now: float, manifest: manifest_models.Manifest
    ) -> None:
        """Follow the weights and limits of a manifest."""
        self._limit_by_team = {
            team.name: team.limit for team in manifest.teams
        }
        for team in manifest.teams:
            if team.name in self.ledger.usage_by_team:
                self.ledger.set_weight(now, team.name, team.share)
            else:
                use = usage_ledger.TeamUsage(team.share)
                self.ledger.usage_by_team[team.name] = use

    def configure_runners(
        self,
        now: float,
        state: fleet.FleetState,
        index: runner_index.RunnerIndex,
        records: list[runner_index.RunnerRecord],
    ) -> None:
        """Follow the runners, drains and zones out of a fleet state."""
        self.index = index
        zones_out = set(state.zones_out)
        draining = set(state.draining)
        for record in records:
            index.add(record)
            index.set_state(
                now, record, record.zone in zones_out, record.name in draining
            )
        index.measure(now)
        self.divide(now)

    def divide(self, now: float) -> None:
        """Work out anew what each team is entitled to."""
        self._divided_at = now
        claims = []
        for team, use in self.ledger.usage_by_team.items():
            demand = use.total_running + use.total_waiting
            if demand:
                limit = self._limit_by_team.get(team, demand)
                claims.append(
                    shares.TeamDemand(team, use.weight, min(demand, limit))
                )
        self._division = shares.MaxMinDivision(self.index.capacity, claims)
        self._part_by_team.clear()
        contenders = {
            team: use.weight
            for team, use in self.ledger.usage_by_team.items()
            if use.total_waiting
        }
        self._contenders = frozenset(contenders)
        weight = sum(contenders.values())
        self.rank_step = (
            _COUNTER_AGE_S * self.index.capacity / weight if weight else 0.0
        )

    def _part(self, team: str, weight: float) -> float:
        part = self._part_by_team.get(team)
        if part is None:
            part = self._division.unbounded_part(team, weight)
            self._part_by_team[team] = part
        return part

    def slots_missing(self, now: float) -> int:
        """Return how many more slots this host is due than it uses."""
        contenders = []
        running = 0
        for team, use in self.ledger.usage_by_team.items():
            if use.total_waiting and team not in self.limited:
                running += use.running
                contenders.append(
                    shares.WaitingTeam(
                        use.weight,
                        self._part(team, use.weight),
                        use.level(now),
                        use.local_fraction,
                    )
                )
        self.mean_level = shares.mean_usage_level(contenders)
        return round(shares.slots_due(contenders)) - running

    def admit(
        self,
        now: float,
        item: request_models.Submission,
        queued: int,
        queued_bytes: int,
        bounds: queueing.QueueBounds,
    ) -> queueing.RefusalReason | None:
        """Return why a submission is refused, or None if it may wait.

        Args:
            queued, queued_bytes: all that waits at this host.
        """
        use = self.ledger.team_usage(item.team)
        if (
            not (queued or item.size_bytes or use.total_waiting)
            and item.deadline > now
            and self.index.capacity > 0
            and use.total_running < self._part(item.team, use.weight)
        ):
            # Nothing waits, so neither a deadline nor a bound can refuse.
            return None
        return queueing.check_admission(
            item.deadline - now,
            item.size_bytes,
            self.backlog(item.team, queued, queued_bytes),
            self.service(item.team),
            bounds,
        )

    def backlog(
        self, team: str, queued: int = 0, queued_bytes: int = 0
    ) -> queueing.Backlog:
        """Return what waits and runs ahead of a team's next request."""
        use = self.ledger.team_usage(team)
        capacity = self.index.capacity
        limit = self._limit_by_team.get(team, capacity)
        own = self.queue_by_team.get(team)
        return queueing.Backlog(
            use.total_waiting,
            use.total_running,
            min(self._part(team, use.weight), limit),
            limit,
            capacity,
            len(self._contenders) > (team in self._contenders),
            queued,
            queued_bytes,
            len(own) if own else 0,
            own.size_bytes if own else 0,
        )

    def add(
        self,
        now: float,
        item: request_models.Submission,
        queue: manifest_models.Queue,
    ) -> None:
        """Let a submission wait."""
        own = self.queue_by_team.get(item.team)
        if own is None:
            own = waiting_queue.WaitingQueue()
            self.queue_by_team[item.team] = own
        own.add(item, queue.max_wait_s)
        self.waiting += 1
        returning = not self.ledger.team_usage(item.team).total_waiting
        if item.team in self.limited:
            self.ledger.team_usage(item.team).waiting += 1
        else:
            self.ledger.begin_waiting(now, item.team)
        if returning and now - self._divided_at >= _DIVIDE_INTERVAL_S:
            self.divide(now)

    def take(
        self, team: str, submission_id: str
    ) -> request_models.Submission | None:
        """Remove a submission, if it waits here."""
        item = self.queue_by_team[team].take(submission_id)
        if item is not None:
            self._removed(team, 1)
        return item

    def _removed(self, team: str, count: int) -> None:
        self.waiting -= count
        self.ledger.stop_waiting(team, count)
        if not self.queue_by_team[team]:
            self.limited.discard(team)

    def service(self, team: str) -> queueing.ServiceTime:
        """Return the run time to reckon with; unknown if none corrects it."""
        use = self.ledger.team_usage(team)
        return (
            use.service if use.total_running else queueing.UNKNOWN_SERVICE_TIME
        )

    def take_late(self, now: float) -> list[request_models.Submission]:
        """Remove what can't end by its deadline even if it starts now."""
        late = []
        for team, own in self.queue_by_team.items():
            if not own:
                continue
            mean_s = self.service(team).mean_s
            due = own.take_due(now + mean_s)
            if due:
                self._removed(team, len(due))
                late += due
        return late

    def take_hopeless(self, now: float) -> list[request_models.Submission]:
        """Remove what its place in the queue makes too late.

        One pass over all that waits, at most twice a second.
        """
        if now - self._passed_at < _PASS_INTERVAL_S:
            return []
        self._passed_at = now
        hopeless = []
        for team, own in self.queue_by_team.items():
            if not own:
                continue
            items = own.items()
            places = queueing.find_unmeetable_deadlines(
                [item.deadline - now for item in items],
                self.backlog(team),
                self.service(team),
            )
            for place in places:
                own.take(items[place].submission_id)
                hopeless.append(items[place])
            if places:
                self._removed(team, len(places))
        return hopeless

    def limit(self, team: str) -> None:
        """Note that a team waits for a permit of its own limit."""
        self.limited.add(team)
        self.ledger.unschedule_team(team)

    def unlimit(self, now: float, team: str) -> bool:
        """Let a team take its turn again, if it was at its limit."""
        if team not in self.limited:
            return False
        self.limited.discard(team)
        self.ledger.schedule_team(now, team)
        return True
