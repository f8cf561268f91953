"""Injects random faults of limited duration into a task world."""

FAULT_KINDS = (
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


class TaskFaultInjector:
    """Injects faults and submits tasks, drawn from the world's seed."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.count = 0
        self.cancelled = set()

    def submit_tasks(self, max_count=12):
        for _ in range(self.random.randint(1, max_count)):
            self.count += 1
            self.world.submit(
                f"t{self.count}",
                team=self.random.choice(("mills", "shops")),
                cores=float(self.random.randint(1, 16)),
                memory_gb=float(self.random.randint(1, 60)),
                run_s=self.random.uniform(2, 60),
                urgent=self.random.random() < 0.1,
                at_most_once=self.random.random() < 0.2,
                actual={
                    "run_s": self.random.uniform(2, 60),
                    "cores": self.random.uniform(1, 16),
                    "memory_gb": self.random.uniform(1, 60),
                },
            )

    def inject_fault(self):
        """Start one random fault and schedule its end."""
        kind = self.random.choice(FAULT_KINDS)
        duration_s = self.random.uniform(0.5, 15)
        getattr(self, kind.replace("-", "_"))(duration_s)

    def schedule(self, duration_s, call, *args):
        self.world.clock.callLater(duration_s, call, *args)

    def random_daemon(self):
        return self.random.choice(list(self.world.daemons.values()))

    def random_worker(self):
        return self.random.choice(list(self.world.workers.values()))

    def submit(self, duration_s):
        self.submit_tasks()

    def cancel(self, duration_s):
        ids = [t for t in self.world.submitted if self.random.random() < 0.1]
        self.cancelled.update(ids)
        self.world.cancel(ids)

    def kill_control(self, duration_s):
        daemon = self.random_daemon()
        daemon.clock.killed = True
        self.schedule(duration_s, self._restart_control, daemon)

    def _restart_control(self, daemon):
        if self.world.daemons[daemon.name] is daemon:
            self.world.restart_daemon(daemon.name)

    def pause_control(self, duration_s):
        clock = self.random_daemon().clock
        clock.pause()
        self.schedule(duration_s, clock.resume)

    def store_down(self, duration_s):
        self.world.faults.down = True
        self.schedule(duration_s, setattr, self.world.faults, "down", False)

    def lost_writes(self, duration_s):
        self.world.faults.lost_answer_rate = 0.4
        self.schedule(
            duration_s, setattr, self.world.faults, "lost_answer_rate", 0.0
        )

    def late_writes(self, duration_s):
        self.world.faults.late_apply_rate = 0.3
        self.schedule(
            duration_s, setattr, self.world.faults, "late_apply_rate", 0.0
        )

    def lost_commands(self, duration_s):
        self.world.lost_command_rate = 0.3
        self.schedule(
            duration_s, setattr, self.world, "lost_command_rate", 0.0
        )

    def pause_worker(self, duration_s):
        worker = self.random_worker()
        worker.pause()
        self.schedule(duration_s * 8, worker.resume)

    def restart_worker(self, duration_s):
        self.random_worker().restart()

    def cut_worker(self, duration_s):
        faults = self.random_worker().faults
        faults.unreachable = True
        self.schedule(duration_s * 8, setattr, faults, "unreachable", False)

    def fail_worker(self, duration_s):
        faults = self.random_worker().faults
        faults.fail_all = True
        self.schedule(duration_s, setattr, faults, "fail_all", False)

    def zone_out(self, duration_s):
        self.world.change_state(
            zones_out=(self.random.choice(self.world.zones),)
        )
        self.schedule(duration_s * 2, self._return_zone)

    def _return_zone(self):
        self.world.change_state(zones_out=())

    def drain(self, duration_s):
        self.world.change_state(draining=(self.random_worker().name,))
        self.schedule(duration_s * 2, self._end_drain)

    def _end_drain(self):
        self.world.change_state(draining=())

    def run(self, seconds, max_settle_s=1500):
        """Inject faults, then run without them until all tasks ended."""
        world = self.world
        until = world.clock.seconds() + seconds
        while world.clock.seconds() < until:
            self.inject_fault()
            world.run(self.random.uniform(0.5, 6))
        waited = 0
        while waited < max_settle_s and self.count_unfinished():
            world.run(20)
            waited += 20

    def count_unfinished(self):
        phases = self.world.phases()
        return phases["queued"] + phases["running"]

    def not_cancelled(self, task_id):
        """Whether no cancellation of the task was requested."""
        return task_id not in self.cancelled
