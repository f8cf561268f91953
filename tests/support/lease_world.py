"""Control daemons that run only controller leases, in virtual time."""

import logging

from azurevane._internal.daemons import lease_service
from azurevane._internal.tasks import controller_lease
from support import control_world

# An outage logs a warning for each call: thousands per simulated hour.
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


class LeaseWorld(control_world.ControlWorld):
    def __init__(self, seed, names, pools):
        super().__init__(seed)
        self.pools = pools
        self.daemons = {}
        self.incarnations = 0
        self.violations = []
        self.owner_by_epoch = {}
        for name in names:
            self.start_daemon(name)

    def start_daemon(self, name):
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
        """Record violations: an epoch with two owners, or two holders."""
        for pool in self.pools:
            holders = self.holders(pool)
            for name, held in holders:
                key = (pool, held.epoch)
                owner = self.daemons[name].leases
                if self.owner_by_epoch.setdefault(key, owner) is not owner:
                    self.violations.append(("epoch", pool, held.epoch))
            self._check_single_holder(pool, holders)

    def _check_single_holder(self, pool, holders):
        now = self.clock.seconds()
        confirmed = [
            name
            for name, held in holders
            if self.daemons[name].clock.seconds() < held.confirmed_until
        ]
        # A daemon that is cut off only from the store continues under its
        # old epoch until a worker reports a higher one.
        store_users = [
            name for name, _ in holders if name not in self.unconfirmed
        ]
        if len(confirmed) > 1:
            self.violations.append(("confirmed", pool, now))
        if len(store_users) > 1:
            self.violations.append(("both", pool, now))

    def inject_fault(self):
        """Start one random fault and schedule its end."""
        kind = self.random.choice(
            ("kill", "pause", "pause", "down", "lost", "late", "cut")
        )
        daemon = self.random.choice(list(self.daemons.values()))
        duration_s = self.random.uniform(0.2, 12)
        if kind == "kill":
            daemon.clock.killed = True
            self.clock.callLater(duration_s, self._restart, daemon)
        elif kind == "pause":
            daemon.clock.pause()
            self.clock.callLater(duration_s, daemon.clock.resume)
        elif kind == "down":
            self.faults.down = True
            self.clock.callLater(
                duration_s, setattr, self.faults, "down", False
            )
        elif kind == "cut":
            self.cut_off.add(daemon.name)
            self.unconfirmed.add(daemon.name)
            self.clock.callLater(duration_s, self.cut_off.discard, daemon.name)
        else:
            rate_name = (
                f"{'lost_answer' if kind == 'lost' else 'late_apply'}_rate"
            )
            setattr(self.faults, rate_name, 0.5)
            self.clock.callLater(
                duration_s, setattr, self.faults, rate_name, 0.0
            )

    def _restart(self, daemon):
        if self.daemons[daemon.name] is daemon:
            self.start_daemon(daemon.name)

    def run_faults(self, seconds):
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.inject_fault()
            self.advance(self.random.uniform(0.5, 8), check=self.check)
        self.faults.__init__()
        self.cut_off.clear()
        self.advance(30, check=self.check)
