"""Control daemons, workers and tasks of a site in virtual time.

Runs the real control service with fakes of the table, the workers and the
fleet source. Checks the invariants of tasks at every step.
"""

import collections
import json
import logging

import msgspec
from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.daemons import control_service
from azurevane._internal.daemons import fleet_source
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import task as task_models
from azurevane._internal.standins import workers as standin_workers
from azurevane._internal.workers import client as worker_client
from support import control_world

# An outage logs a warning for each call: thousands per simulated hour.
logging.getLogger(control_service.__name__).setLevel(logging.CRITICAL)
logging.getLogger("azurevane._internal.daemons.lease_service").setLevel(
    logging.CRITICAL
)
STEP_S = 0.05


class FakeWorkerCalls:
    """The platform's HTTP API for workers, as one daemon calls it."""

    def __init__(self, world, clock):
        self._world = world
        self._clock = clock

    async def call(self, method, path, body=None):
        world = self._world
        answer = defer.Deferred()

        def reply():
            if not answer.called:
                answer.callback(None)

        result = []

        def arrive():
            if path == "/workers":
                reports = [w.report() for w in world.workers.values()]
                result.append((200, [r for r in reports if r]))
            else:
                _, _, name, call = path.split("/")
                worker = world.workers[name]
                if not worker.available or name in world.dead_workers:
                    result.append(None)
                    self._clock.callLater(0.5, reply)
                    return
                before = len(worker.starts)
                admitted = worker.command(call, body)
                if len(worker.starts) > before:
                    world.record_start(worker, body)
                result.append((200 if admitted else 409, {}))
                if world.random.random() < world.lost_command_rate:
                    result[0] = None
                    self._clock.callLater(2.0, reply)
                    return
            self._clock.callLater(world.latency(), reply)

        world.clock.callLater(world.latency(), arrive)
        await answer
        if result[0] is None:
            raise exceptions.StoreUnavailable("no answer")
        status, value = result[0]
        return status, json.loads(json.dumps(value))


class FakeFleetSource:
    """A fleet source that returns a changed state up to 2 s late."""

    def __init__(self, world, clock):
        self._world = world
        self._clock = clock
        self.state = fleet.FleetState()
        self._asked_at = float("-inf")

    @property
    def fresh_until(self):
        return self._asked_at + fleet_source.FRESHNESS_S

    async def refresh(self):
        asked_at = self._clock.seconds()
        answer = defer.Deferred()
        state = self._world.state
        self._clock.callLater(self._world.latency(), answer.callback, None)
        await answer
        self.state = state
        self._asked_at = asked_at


class ControlDaemon:
    def __init__(self, world, name):
        self.name = name
        self.clock = world.daemon_clock()
        world.incarnations += 1
        number = world.incarnations
        count = iter(range(10**9))
        self.service = control_service.ControlService(
            self.clock,
            control_world.FakeTable(world, name, self.clock),
            worker_client.WorkerClient(FakeWorkerCalls(world, self.clock)),
            FakeFleetSource(world, self.clock),
            name,
            lambda: f"{name}.{number}-{next(count)}",
        )
        self.service.start()


def build_hosts(pool, count, zones, cores=30.0, memory_gb=130.0, racks=2):
    return tuple(
        manifest_models.Host(
            f"{pool}-w{i}",
            pool,
            zones[i % len(zones)],
            f"rack-{i % racks}",
            cores,
            memory_gb,
        )
        for i in range(count)
    )


class TaskWorld(control_world.ControlWorld):
    def __init__(self, seed, daemons=("c1", "c2"), teams=None, workers=4):
        super().__init__(seed)
        self.zones = ("az-a", "az-b")
        self.incarnations = 0
        self.lost_command_rate = 0.0
        self.dead_workers = set()
        self.violations = []
        self.start_times_by_task = collections.defaultdict(list)
        self.submitted = {}
        self.zone_out_at = {}
        self.started_at = {}
        teams = teams or {"mills": (1.0, 400), "shops": (1.0, 400)}
        self.hosts = build_hosts("pool-1", workers, self.zones)
        self.state = fleet.FleetState(
            version=1,
            manifest=manifest_models.Manifest(
                "site",
                "region",
                self.zones,
                tuple(
                    manifest_models.Team(name, share, limit, limit)
                    for name, (share, limit) in teams.items()
                ),
                (manifest_models.Pool("pool-1"),),
                (manifest_models.Queue("quoting", "pool-1"),),
                hosts=self.hosts,
            ),
        )
        self.workers = {
            host.name: standin_workers.MemoryWorker(
                host.name,
                self.clock,
                standin_workers.Resources(host.cores, host.memory_gb),
            )
            for host in self.hosts
        }
        self.daemons = {name: ControlDaemon(self, name) for name in daemons}

    # Changes of tasks, fleet state and daemons.

    def submit(self, task_id, team="mills", actual=None, **fields):
        task = task_models.Task(
            task_id,
            "quoting",
            team,
            fields.pop("run_s", 10.0),
            submitted_at=self.clock.seconds(),
            payload=json.dumps(actual or {}),
            **fields,
        )
        self.submitted[task_id] = task
        applied, _ = self.table.transact(
            {task_models.task_row("quoting", task_id): 0},
            {
                task_models.task_row("quoting", task_id): (
                    msgspec.to_builtins(task)
                ),
                task_models.inbox_row("pool-1", task_id, "submit"): {
                    "queue": "quoting"
                },
            },
        )
        assert applied

    def cancel(self, task_ids):
        self.table.transact(
            {},
            {
                task_models.inbox_row("pool-1", task_id, "cancel"): {
                    "queue": "quoting"
                }
                for task_id in task_ids
            },
        )

    def change_state(self, **changes):
        import dataclasses

        self.state = dataclasses.replace(
            self.state, version=self.state.version + 1, **changes
        )
        for zone in self.state.zones_out:
            self.zone_out_at.setdefault(zone, self.clock.seconds())
        for zone in set(self.zone_out_at) - set(self.state.zones_out):
            del self.zone_out_at[zone]

    def kill_daemon(self, name):
        self.daemons[name].clock.killed = True

    def restart_daemon(self, name):
        self.daemons[name] = ControlDaemon(self, name)

    def placing_daemon(self):
        placing = [
            name
            for name, daemon in self.daemons.items()
            if not daemon.clock.killed and daemon.service.placer_by_pool
        ]
        return placing[0] if placing else None

    # Invariants.

    def record_start(self, worker, body):
        now = self.clock.seconds()
        host = self.state.manifest.host_by_name[worker.name]
        attempt = (body["task"], body["attempt"])
        out_at = self.zone_out_at.get(host.zone)
        if out_at is not None and now - out_at > 3.0:
            self.violations.append(("zone", attempt, now - out_at))
        self.start_times_by_task[body["task"]].append(now)
        self.started_at.setdefault(body["task"], now)
        task = self.submitted.get(body["task"])
        if task is not None and task.at_most_once:
            attempts = self.start_times_by_task[body["task"]]
            if len(attempts) > 1 and not self.was_checkpointed(body["task"]):
                self.violations.append(("at-most-once", attempt, now))

    def was_checkpointed(self, task_id):
        _, value = self.table.row_by_name.get(
            task_models.task_row("quoting", task_id), (0, None)
        )
        return value is not None and value["remaining_s"] >= 0

    def check(self):
        runs_by_task = collections.Counter()
        running_by_team = collections.Counter()
        for name, worker in self.workers.items():
            if name in self.dead_workers or worker.paused:
                continue
            for run in worker.running:
                runs_by_task[run.task_id] += 1
                running_by_team[self.submitted[run.task_id].team] += 1
        for task_id, runs in runs_by_task.items():
            if runs > 1:
                now = self.clock.seconds()
                self.violations.append(("twice", task_id, now))
        for team, running in running_by_team.items():
            limit = self.state.manifest.team_by_name[team].task_part
            if running > limit:
                self.violations.append(("limit", team, running))

    def run(self, seconds):
        self.advance(seconds, STEP_S, self.check)

    def phase(self, task_id):
        for row in (
            task_models.ended_row("quoting", task_id),
            task_models.task_row("quoting", task_id),
        ):
            _, value = self.table.row_by_name.get(row, (0, None))
            if value is not None:
                return value["phase"]
        return "lost"

    def detail(self, task_id):
        return self.table.row_by_name[
            task_models.ended_row("quoting", task_id)
        ][1]["detail"]

    def phases(self):
        return collections.Counter(self.phase(t) for t in self.submitted)
