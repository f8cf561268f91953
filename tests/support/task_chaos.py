"""Random faults for a task world; every one of them ends."""

KINDS = (
    "kill-control",
    "pause-control",
    "pause-control",
    "store-down",
    "lost-writes",
    "late-writes",
    "lost-commands",
    "pause-worker",
    "restart-worker",
    "cut-worker",
    "fail-worker",
    "zone-out",
    "drain",
    "cancel",
    "submit",
    "submit",
    "submit",
)


class Chaos:
    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.count = 0
        self.cancelled = set()

    def submit_some(self, most=12):
        for _ in range(self.random.randint(1, most)):
            self.count += 1
            self.world.submit(
                f"t{self.count}",
                team=self.random.choice(("mills", "shops")),
                cores=float(self.random.randint(1, 16)),
                memory_gb=float(self.random.randint(1, 60)),
                run_s=self.random.uniform(2, 60),
                urgent=self.random.random() < 0.1,
                at_most_once=self.random.random() < 0.2,
                truth={
                    "run_s": self.random.uniform(2, 60),
                    "cores": self.random.uniform(1, 16),
                    "memory_gb": self.random.uniform(1, 60),
                },
            )

    def step(self):
        """Start one random fault, and plan its end."""
        kind = self.random.choice(KINDS)
        length = self.random.uniform(0.5, 15)
        getattr(self, kind.replace("-", "_"))(length)

    def later(self, length, call, *args):
        self.world.clock.callLater(length, call, *args)

    def any_daemon(self):
        return self.random.choice(list(self.world.daemons.values()))

    def any_worker(self):
        return self.random.choice(list(self.world.workers.values()))

    def submit(self, length):
        self.submit_some()

    def cancel(self, length):
        ids = [t for t in self.world.submitted if self.random.random() < 0.1]
        self.cancelled.update(ids)
        self.world.cancel(ids)

    def kill_control(self, length):
        daemon = self.any_daemon()
        daemon.clock.killed = True
        self.later(length, self._restart_control, daemon)

    def _restart_control(self, daemon):
        if self.world.daemons[daemon.name] is daemon:
            self.world.restart(daemon.name)

    def pause_control(self, length):
        clock = self.any_daemon().clock
        clock.pause()
        self.later(length, clock.resume)

    def store_down(self, length):
        self.world.faults.down = True
        self.later(length, setattr, self.world.faults, "down", False)

    def lost_writes(self, length):
        self.world.faults.lost_answer_rate = 0.4
        self.later(length, setattr, self.world.faults, "lost_answer_rate", 0.0)

    def late_writes(self, length):
        self.world.faults.late_apply_rate = 0.3
        self.later(length, setattr, self.world.faults, "late_apply_rate", 0.0)

    def lost_commands(self, length):
        self.world.lost_command_rate = 0.3
        self.later(length, setattr, self.world, "lost_command_rate", 0.0)

    def pause_worker(self, length):
        worker = self.any_worker()
        worker.pause()
        self.later(length * 8, worker.resume)

    def restart_worker(self, length):
        self.any_worker().restart()

    def cut_worker(self, length):
        faults = self.any_worker().faults
        faults.unreachable = True
        self.later(length * 8, setattr, faults, "unreachable", False)

    def fail_worker(self, length):
        faults = self.any_worker().faults
        faults.fail_all = True
        self.later(length, setattr, faults, "fail_all", False)

    def zone_out(self, length):
        self.world.change(zones_out=(self.random.choice(self.world.zones),))
        self.later(length * 2, self._zone_back)

    def _zone_back(self):
        self.world.change(zones_out=())

    def drain(self, length):
        self.world.change(draining=(self.any_worker().name,))
        self.later(length * 2, self._drained)

    def _drained(self):
        self.world.change(draining=())

    def run(self, seconds, settle_s=1500):
        """Run faults, then let everything settle without any."""
        world = self.world
        until = world.clock.seconds() + seconds
        while world.clock.seconds() < until:
            self.step()
            world.run(self.random.uniform(0.5, 6))
        waited = 0
        while waited < settle_s and self.unsettled():
            world.run(20)
            waited += 20

    def unsettled(self):
        phases = self.world.phases()
        return phases["queued"] + phases["running"]

    def untouched(self, task_id):
        """Whether nothing but the fleet itself could end a task."""
        return task_id not in self.cancelled
