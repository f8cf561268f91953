"""A site whose leaders change in series while other faults occur."""

import json
import random

from azurevane._internal.standins import site_platform
from support import faulty_platform
from support import freezable_process
from support import site_world

ENTRY_HOSTS = 4
HEARTBEAT_S = 1.0


class LeaderFaultWorld(site_world.SiteWorld):
    """Site whose leaders change in series while other faults occur."""

    def __init__(self, seed):
        super().__init__(ENTRY_HOSTS)
        self.platform = faulty_platform.FaultyPlatform(self.clock)
        self.random = random.Random(f"site {seed}")
        self.process_by_name = {}
        self.stopping = set()
        self.waves = 0
        self.on_cancel_due = lambda pick: None
        self._fault_ends = []
        self._ending = False

    def add_site(self):
        """Add services, queues and 8 to 16 machines."""
        self.add_service("press")
        self.add_service("mill", constraints=False)
        self.add_service("reserve", standby=True)
        self.add_queue("fit", "press", attempts=3)
        self.add_queue("grind", "mill", attempts=3)
        self.platform.unguarded_pools.add("mill")
        for number in range(16):
            if self.random.random() < 0.3:
                self.platform.slow_hosts.add(f"m-{number:03d}")
        self.add_machines(self.random.randint(4, 8), "press")
        self.add_machines(self.random.randint(3, 5), "mill")
        self.add_machines(self.random.randint(1, 3), "reserve")

    def start(self):
        super().start()
        self.clock.callLater(HEARTBEAT_S, self._renew_entries)

    def _renew_entries(self):
        listed = self.platform.store.keys("servers")
        for host in self.platform.host_by_name.values():
            if host.runner is not None and host.runner.id in listed:
                self._list_again(host.runner)
        self.clock.callLater(HEARTBEAT_S, self._renew_entries)

    def _make_process(self, name, callback_cost_s):
        process = freezable_process.FreezableProcess(self.clock)
        self.process_by_name[name] = process
        client = site_platform.SiteClient(self.platform, name, process)
        return client, process

    def start_host(self, name, **options):
        host = super().start_host(name, **options)
        process = self.process_by_name[name]
        address = str(self._address(name))
        answer = self.platform.entry_host_by_address[address]
        self.platform.entry_host_by_address[address] = lambda question: (
            None if process.frozen else answer(question)
        )
        return host

    def kill_host(self, name):
        process = self.process_by_name[name]
        process.frozen = process.killed = True
        self.stopping.discard(name)
        return super().kill_host(name)

    def working_hosts(self):
        """Return the names of hosts that run and aren't told to stop."""
        return [
            name
            for name in sorted(self.host_by_name)
            if name not in self.stopping
            and not self.process_by_name[name].frozen
        ]

    def _working_leaders(self):
        return [
            name
            for name in self.working_hosts()
            if self.host_by_name[name].leader is not None
        ]

    # Faults.

    def schedule_faults(self, faults):
        for fault in faults:
            self.clock.callLater(fault.at, self._inject, fault)

    def _inject(self, fault):
        getattr(self, f"_{fault.kind}")(fault)

    def _later(self, delay_s, function, *arguments):
        """Call a function that ends a fault, at the latest at the end."""
        call = self.clock.callLater(delay_s, function, *arguments)
        self._fault_ends.append((call, function, arguments))

    def end_faults(self):
        """End all faults whose ends are still to come."""
        self._ending = True
        for call, function, arguments in self._fault_ends:
            if call.active():
                call.cancel()
                function(*arguments)
        self.platform.store_answers_to_lose = 0
        self.platform.late_writes = 0

    def _leader_to_disturb(self):
        leaders = self._working_leaders()
        return (
            leaders[0] if len(self.working_hosts()) > 1 and leaders else None
        )

    def _stop(self, fault):
        name = self._leader_to_disturb()
        if name is None:
            return
        self.stopping.add(name)

        def end():
            if name in self.stopping:
                self.kill_host(name)
                self._later(fault.duration_s / 3, self._start_again, name)

        self.host_by_name[name].stop(end)

    def _start_again(self, name):
        if name not in self.host_by_name:
            self.start_host(name)

    def _kill(self, fault):
        name = self._leader_to_disturb()
        if name is not None:
            self.kill_host(name)
            self._later(fault.duration_s, self._start_again, name)

    def _freeze(self, fault):
        name = self._leader_to_disturb()
        if name is None:
            return
        process = self.process_by_name[name]
        process.frozen = True

        self._later(max(fault.duration_s, 1.0), process.thaw)

    def _set_for(self, fault, target, name, value, normal):
        setattr(target, name, value)
        self._later(fault.duration_s, setattr, target, name, normal)

    def _lose_writes(self, fault):
        self.platform.store_answers_to_lose += 1 + int(fault.pick * 4)

    def _late_writes(self, fault):
        self.platform.late_writes += 1 + int(fault.pick * 3)
        self.platform.write_delay_s = fault.duration_s * 0.7

    def _store_slow(self, fault):
        delay_s = 0.1 + fault.pick * 0.7
        self._set_for(fault, self.platform, "store_delay_s", delay_s, 0.0)

    def _store_down(self, fault):
        self._set_for(fault, self.platform, "store_down", True, False)

    def _store_refuses(self, fault):
        self._exclude_host(fault, self.platform.store_down_for)

    def _store_silent(self, fault):
        self._exclude_host(fault, self.platform.store_silent_for)

    def _exclude_host(self, fault, names):
        leaders = self._working_leaders()
        if leaders:
            names.add(leaders[0])
            self._later(fault.duration_s, names.discard, leaders[0])

    def _hosts_slow(self, fault):
        self._set_for(fault, self.platform, "hosts_delay_s", fault.pick, 0.0)

    def _hosts_connect_slow(self, fault):
        for client in self.client_by_name.values():
            name = "hosts_connect_delay_s"
            self._set_for(fault, client, name, fault.pick, 0.0)

    def _hosts_late(self, fault):
        name = "host_command_delay_s"
        self._set_for(fault, self.platform, name, fault.pick * 4.0, 0.0)

    def _lose_for_leader(self, fault):
        self._exclude_host(fault, self.platform.store_answers_lost_for)

    def _cut_from_leader(self, fault):
        self._cut_runners(fault, set(self._working_leaders()))

    def _cut_from_others(self, fault):
        names = {f"entry-{number}" for number in range(ENTRY_HOSTS)}
        self._cut_runners(fault, names - set(self._working_leaders()))

    def _cut_runners(self, fault, names):
        for runner in self._runners(fault):
            self._set_for(fault, runner, "unreachable_from", names, set())

    def _runners(self, fault):
        """Return one to four runners, those with tasks if there are any."""
        runners = [
            host.runner
            for host in self.platform.host_by_name.values()
            if host.runner is not None and not host.runner.crashed
        ]
        runners = [r for r in runners if r.task_by_name] or runners
        chosen = random.Random(fault.pick)
        count = min(len(runners), chosen.choice((1, 1, 2, 4)))
        return chosen.sample(runners, count)

    def _reset(self, fault):
        for runner in self._runners(fault):
            first = int(fault.pick * 100) % 3
            name = "responses_until_reset"
            self._set_for(fault, runner, name, first, None)

    def _unreachable(self, fault):
        for runner in self._runners(fault):
            runner.reachable = False
            self._later(fault.duration_s, self._make_reachable, runner)

    def _make_reachable(self, runner):
        runner.reachable = not runner.crashed

    def _flicker(self, fault):
        """Let single responses of runners arrive between failing calls."""
        chance = random.Random(fault.pick)
        until = self.clock.seconds() + fault.duration_s * 2
        for runner in self._runners(fault):
            self._flicker_again(runner, until, chance)

    def _flicker_again(self, runner, until, chance):
        if self._ending or self.clock.seconds() >= until:
            runner.responses_until_reset = None
            return
        runner.responses_until_reset = chance.choice((0, 0, 0, 1, 1, 2))
        delay_s = chance.uniform(0.05, 0.9)
        self._later(delay_s, self._flicker_again, runner, until, chance)

    def _late_commands(self, fault):
        for runner in self._runners(fault):
            delay_s = 0.3 + fault.pick * 4.0
            self._set_for(fault, runner, "command_delay_s", delay_s, 0.0)
            if fault.pick < 0.5:
                late = self.platform.late_runners
                late.add(runner.id)
                self._later(fault.duration_s, late.discard, runner.id)

    def _crash(self, fault):
        runner = self._runners(fault)[0]
        runner.crash()
        self._later(4.5, self._replace_runner, runner)

    def _replace_runner(self, runner):
        self.platform.unregister(runner)
        for host in self.platform.host_by_name.values():
            if host.runner is runner:
                self.platform.add_runner(host)

    def _restart(self, fault):
        self.platform.restart_runner(self._runners(fault)[0])

    def _unlist(self, fault):
        for runner in self._runners(fault):
            self.platform.unregister(runner)
            self._later(fault.duration_s, self._list_again, runner)

    def _list_again(self, runner):
        if not runner.crashed:
            self.platform.register(runner)

    def _wave(self, fault):
        self.waves += 1
        names = sorted(self.platform.host_by_name)
        chosen = random.Random(fault.pick).sample(names, len(names) // 2)
        value = {
            "wave": self.waves,
            "machines": chosen,
            "durationS": 4.0 + fault.duration_s,
            "cap": 2,
        }
        self.platform.store.put(
            "op", f"wave/{self.waves}", json.dumps(value).encode()
        )

    def _cancel(self, fault):
        self.on_cancel_due(fault.pick)
