"""Control daemons that only hold leases, for scenarios and benchmarks."""

import logging

from azurevane._internal.daemons import lease_service
from azurevane._internal.tasks import controller_lease
from support import control_world

# An outage logs a warning for each call, thousands in an hour.
logging.getLogger(lease_service.__name__).setLevel(logging.ERROR)

TICK_S = 0.1


class LeaseDaemon:
    def __init__(self, world, name, pools, incarnation):
        self.name = name
        self.clock = world.daemon_clock()
        self.world = world
        count = iter(range(10**9))
        self.leases = controller_lease.ControllerLeases(
            name, incarnation, lambda: f"{incarnation}-{next(count)}"
        )
        self.leases.configure(pools)
        self.service = lease_service.LeaseService(
            self.clock,
            control_world.FakeTable(world, name, self.clock),
            self.leases,
        )
        self.clock.callLater(world.random.uniform(0, TICK_S), self._tick)

    def _tick(self):
        self.service.tick()
        self.clock.callLater(TICK_S, self._tick)

    def held(self, pool):
        if self.clock.killed or self.clock.paused:
            return None
        return self.leases.active_lease(self.clock.seconds(), pool)


class LeaseWorld(control_world.World):
    def __init__(self, seed, names, pools):
        super().__init__(seed)
        self.pools = pools
        self.daemons = {}
        self.incarnations = 0
        self.violations = []
        self.owner_by_epoch = {}
        for name in names:
            self.add(name)

    def add(self, name):
        self.incarnations += 1
        incarnation = f"{name}.{self.incarnations}"
        self.daemons[name] = LeaseDaemon(self, name, self.pools, incarnation)

    def holders(self, pool):
        return [
            (name, held)
            for name, daemon in self.daemons.items()
            if (held := daemon.held(pool)) is not None
        ]

    def check(self):
        """Record an epoch with two owners, or two holders at once."""
        for pool in self.pools:
            holders = self.holders(pool)
            for name, held in holders:
                key = (pool, held.epoch)
                owner = self.daemons[name].leases
                if self.owner_by_epoch.setdefault(key, owner) is not owner:
                    self.violations.append(("epoch", pool, held.epoch))
            self._check_together(pool, holders)

    def _check_together(self, pool, holders):
        now = self.clock.seconds()
        confirmed = [
            name
            for name, held in holders
            if self.daemons[name].clock.seconds() < held.confirmed_until
        ]
        # A daemon that is cut off from the store alone goes on under its
        # old epoch until a worker shows it a higher one.
        reaching = [
            name for name, _ in holders if name not in self.unconfirmed
        ]
        if len(confirmed) > 1:
            self.violations.append(("confirmed", pool, now))
        if len(reaching) > 1:
            self.violations.append(("both", pool, now))

    def fault(self):
        """Start one random fault, and plan its end."""
        kind = self.random.choice(
            ("kill", "pause", "pause", "down", "lost", "late", "cut")
        )
        daemon = self.random.choice(list(self.daemons.values()))
        length = self.random.uniform(0.2, 12)
        if kind == "kill":
            daemon.clock.killed = True
            self.clock.callLater(length, self._restart, daemon)
        elif kind == "pause":
            daemon.clock.pause()
            self.clock.callLater(length, daemon.clock.resume)
        elif kind == "down":
            self.faults.down = True
            self.clock.callLater(length, setattr, self.faults, "down", False)
        elif kind == "cut":
            self.cut_off.add(daemon.name)
            self.unconfirmed.add(daemon.name)
            self.clock.callLater(length, self.cut_off.discard, daemon.name)
        else:
            rate = f"{'lost_answer' if kind == 'lost' else 'late_apply'}_rate"
            setattr(self.faults, rate, 0.5)
            self.clock.callLater(length, setattr, self.faults, rate, 0.0)

    def _restart(self, daemon):
        if self.daemons[daemon.name] is daemon:
            self.add(daemon.name)

    def run_faults(self, seconds):
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.fault()
            self.advance(self.random.uniform(0.5, 8), check=self.check)
        self.faults.__init__()
        self.cut_off.clear()
        self.advance(30, check=self.check)
