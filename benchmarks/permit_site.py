"""Simulated site: entry hosts with permit keepers, calls and runners.

Used by the randomised scenarios and by ``limits.py``. Running calls are
counted independently of the permit keepers, because calls of a killed or
paused host continue until they end.
"""

import collections
import dataclasses

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.tasks import permit_keeper
from azurevane._internal.tasks import permits
from support import virtual_time

FRESH_S = 2.0
PROBE_S = 0.5
POOLS = ("main", "spare")


@dataclasses.dataclass(frozen=True)
class SitePlan:
    """Size of a simulated site."""

    limit_by_team: dict
    runners: int = 3
    spare_runners: int = 1
    slots: int = 8
    hosts: int = 6
    standbys: int = 0
    max_run_s: float = 8.0
    max_waiting_per_team: int = 50  # for each team and host


def build_manifest(plan):
    """Return the manifest of a plan, with one pool and its spare pool."""
    runner_count_by_pool = {"main": plan.runners, "spare": plan.spare_runners}
    return manifest_models.Manifest(
        site="sim",
        region="sim",
        zones=("a",),
        teams=tuple(
            manifest_models.Team(name, 1.0, limit)
            for name, limit in plan.limit_by_team.items()
        ),
        pools=tuple(
            manifest_models.Pool(pool, spare=pool == "spare") for pool in POOLS
        ),
        queues=(manifest_models.Queue("q", "main", max_run_s=plan.max_run_s),),
        runners=tuple(
            manifest_models.Runner(
                f"{pool}-{number}", pool, "a", "", 0, plan.slots
            )
            for pool in POOLS
            for number in range(runner_count_by_pool[pool])
        ),
    )


def limit_by_key(manifest):
    """Return the limit of each key of a manifest."""
    teams = {
        permits.team_limit_key(team.name): team.limit
        for team in manifest.teams
    }
    return teams | {
        permits.runner_limit_key(runner.name): runner.slots
        for runner in manifest.runners
    }


@dataclasses.dataclass(eq=False)
class EntryHost:
    """One incarnation of an entry host and its queues."""

    node: virtual_time.Node
    incarnation: str
    version: int = 0
    waiting_by_team: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.deque)
    )


class PermitSite:
    """Entry hosts of one site and the calls on its runners.

    Attributes:
        overruns: admissions above a limit, counted at the runners. The
            limit is the one in force at the admitting host, or a higher
            one that is already in force at other hosts.
        running: permits in use by key, counted at the runners.
        finished: number of calls that ended.
        highest_use_by_key: highest part of its limit that an admission
            reached, by key.
    """

    def __init__(self, plan, seed, faults=None, keeper=None):
        self.plan = plan
        self.network = virtual_time.VirtualNetwork(
            seed, self._on_effect, faults
        )
        self.random = self.network.random
        self.running = collections.Counter()
        self.highest_use_by_key = collections.Counter()
        self.state = None
        self.overruns = 0
        self.finished = 0
        self._keeper = keeper or permit_keeper.PermitKeeper
        self._incarnations = 0
        self._call_count = 0
        self._entry_by_node = {}
        names = [f"e{n}" for n in range(plan.hosts + plan.standbys)]
        entries = [self.start_host(name) for name in names]
        manifest = build_manifest(plan)
        self._limits_by_version = {1: limit_by_key(manifest)}
        self.runner_keys = [
            key for key in limit_by_key(manifest) if key.startswith("runner:")
        ]
        seats = tuple(
            fleet.Seat(number, entry.node.name, entry.incarnation, 1)
            for number, entry in enumerate(entries[: plan.hosts])
        )
        self.state = fleet.FleetState(1, "", manifest, seats=seats)
        for entry in entries:
            self._configure(entry, self.state)
        self._probe_all()

    def start_host(self, name):
        """Start a host, or its next incarnation after a kill."""
        self._incarnations += 1
        incarnation = f"{name}-{self._incarnations}"
        keeper = self._keeper(name, incarnation)
        entry = EntryHost(self.network.add_node(name, keeper), incarnation)
        self._entry_by_node[entry.node] = entry
        self._set_peers()
        if self.state is not None:
            self._configure(entry, self.state)
        return entry

    def kill_host(self, name):
        """Kill a host; its calls continue at the runners."""
        self.network.kill_node(name)
        self._set_peers()

    def find_entry_host(self, name):
        """Return a live entry host by its name, or None."""
        node = self.network.node_by_name.get(name)
        return None if node is None else self._entry_by_node[node]

    def change_state(self, **changes):
        """Accept a fleet state; each host follows it within 3 seconds."""
        self.state = dataclasses.replace(
            self.state, version=self.state.version + 1, **changes
        )
        state = self.state
        self._limits_by_version[state.version] = limit_by_key(state.manifest)
        for node in self.network.node_by_name.values():
            entry = self._entry_by_node[node]
            self.network.schedule_after(
                3.0 * self.random.random(),
                lambda entry=entry: self._configure(entry, state),
            )

    def give_seat(self, number, entry):
        """Transfer a seat to a host, with a higher epoch."""
        seats = tuple(
            fleet.Seat(
                number, entry.node.name, entry.incarnation, seat.epoch + 1
            )
            if seat.number == number
            else seat
            for seat in self.state.seats
        )
        self.change_state(seats=seats)

    def submit_call(self, name, team, run_s):
        """Send a call of a team to a host."""
        entry = self.find_entry_host(name)
        if entry is None:
            return
        waiting = entry.waiting_by_team[team]
        if len(waiting) < self.plan.max_waiting_per_team:
            waiting.append((self.network.now, run_s))
            self.network.run_action(entry.node, self._build_dispatch(entry))

    def _build_dispatch(self, entry):
        def dispatch(keeper, now):
            decided = []
            waiting_for_slot = 0
            slot_waited_s = 0.0
            for team, waiting in entry.waiting_by_team.items():
                missing_kind = None
                while waiting and missing_kind is None:
                    missing_kind = self._start_call(
                        entry, keeper, now, team, waiting[0][1]
                    )
                    if missing_kind is None:
                        waiting.popleft()
                waited_s = self.network.now - waiting[0][0] if waiting else 0.0
                decided += keeper.want(
                    now, "team", team, len(waiting), 0.0, waited_s
                )
                if missing_kind == "pool":
                    team_key = permits.team_limit_key(team)
                    waiting_for_slot += min(
                        len(waiting), keeper.free(now, team_key)
                    )
                    slot_waited_s = max(slot_waited_s, waited_s)
            return decided + keeper.want(
                now, "pool", "main", waiting_for_slot, 0.0, slot_waited_s
            )

        return dispatch

    def _start_call(self, entry, keeper, now, team, run_s):
        """Start a call; return the kind of permit it lacks, or None."""
        team_key = permits.team_limit_key(team)
        if not keeper.free(now, team_key):
            return "team"
        runner_key = max(
            self.runner_keys, key=lambda key: keeper.free(now, key)
        )
        if not keeper.free(now, runner_key):
            return "pool"
        self._call_count += 1
        holder = f"call-{self._call_count}"
        not_after = now + self.plan.max_run_s
        if not keeper.acquire(now, team_key, holder, not_after):
            return "team"
        if not keeper.acquire(now, runner_key, holder, not_after):
            keeper.release(now, holder)
            return "pool"
        self._count_start(entry, team_key)
        self._count_start(entry, runner_key)
        self.network.schedule_after(
            run_s,
            lambda: self._end_call(entry, holder, (team_key, runner_key)),
        )
        return None

    def _count_start(self, entry, key):
        self.running[key] += 1
        versions = range(entry.version, self.state.version + 1)
        limit = max(self._limits_by_version[item][key] for item in versions)
        used_part = self.running[key] / limit
        self.highest_use_by_key[key] = max(
            self.highest_use_by_key[key], used_part
        )
        if used_part > 1:
            self.overruns += 1

    def _end_call(self, entry, holder, keys):
        for key in keys:
            self.running[key] -= 1
        self.finished += 1
        self.network.run_action(
            entry.node, lambda keeper, now: keeper.release(now, holder)
        )
        self.network.run_action(entry.node, self._build_dispatch(entry))

    def _on_effect(self, node, effect):
        if isinstance(effect, effects.PermitsGained):
            entry = self._entry_by_node[node]
            self.network.run_action(node, self._build_dispatch(entry))

    def _configure(self, entry, state):
        def configure(keeper, now):
            if state.version <= entry.version:
                return []
            entry.version = state.version
            return keeper.configure(now, state)

        self.network.run_action(entry.node, configure)

    def _set_peers(self):
        names = set(self.network.node_by_name)
        for name, node in self.network.node_by_name.items():
            node.machine.set_peers(names - {name})

    def _probe_all(self):
        for node in list(self.network.node_by_name.values()):
            self.network.run_action(node, self._build_probe(node))
        self.network.schedule_after(PROBE_S, self._probe_all)

    def _build_probe(self, node):
        def probe(keeper, now):
            entry = self._entry_by_node[node]
            current = entry.version == self.state.version
            if current and self._reaches_majority(node):
                return keeper.set_fresh(now, now + FRESH_S)
            return []

        return probe

    def _reaches_majority(self, node):
        """Whether a majority of seats answers probes of a node."""
        cuts = self.network.cut_links
        confirmed = 0
        for seat in self.state.seats:
            peer = self.network.node_by_name.get(seat.holder)
            if peer is None or self.network.now < peer.paused_until:
                continue
            pair = (node.name, seat.holder)
            if pair not in cuts and pair[::-1] not in cuts:
                confirmed += 1
        return confirmed > len(self.state.seats) // 2
