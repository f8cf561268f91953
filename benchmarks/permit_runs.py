"""Randomised runs of a simulated site with load and faults."""

import dataclasses

import permit_site

from support import virtual_time

PAUSE_S = 30.0
MEAN_RUN_S = 0.3
LONG_RUN_PROBABILITY = 0.02
LIMITS = (6, 9, 13)


def send_calls(site, team, per_s, hosts, until, mean_run_s=None):
    """Send calls of a team to random hosts of a list.

    Args:
        mean_run_s: mean of an exponential run time; by default 0.3 s,
            with some calls of the longest allowed run time.
    """

    def arrive():
        if site.network.now >= until:
            return
        run_s = _random_run_s(site, mean_run_s)
        site.submit_call(site.random.choice(hosts), team, run_s)
        site.network.schedule_after(site.random.expovariate(per_s), arrive)

    arrive()


def _random_run_s(site, mean_run_s):
    if mean_run_s is None and site.random.random() < LONG_RUN_PROBABILITY:
        return site.plan.max_run_s
    run_s = site.random.expovariate(1.0 / (mean_run_s or MEAN_RUN_S))
    return min(site.plan.max_run_s, run_s)


class FaultInjector:
    """Kills, pauses and disconnects hosts and moves their seats.

    Attributes:
        count_by_kind: number of injected faults of each kind.
    """

    def __init__(self, site, per_s, until):
        self._site = site
        self._per_s = per_s
        self._until = until
        self.count_by_kind = {
            action.__name__: 0
            for action in (
                self.kill_and_replace,
                self.kill_and_take_over,
                self.pause,
                self.pause_and_take_over,
                self.cut_one_way,
                self.move_seat,
                self.change_limit,
            )
        }
        self._inject_next()

    def _inject_next(self):
        if self._site.network.now >= self._until:
            return
        random = self._site.random
        self._site.network.schedule_after(
            random.expovariate(self._per_s), self._inject_next
        )
        name = random.choice(sorted(self._site.network.node_by_name))
        kind = random.choice(sorted(self.count_by_kind))
        self.count_by_kind[kind] += 1
        getattr(self, kind)(name)

    def kill_and_replace(self, name):
        """Kill and restart a host, which takes its old seat again."""
        seat = self._seat_of(name)
        self._site.kill_host(name)

        def replace():
            entry = self._site.start_host(name)
            if seat is not None and self._is_assigned(seat):
                self._site.give_seat(seat.number, entry)

        self._site.network.schedule_after(self._site.random.random(), replace)

    def kill_and_take_over(self, name):
        """Kill a host, let another take its seat, and restart the host."""
        seat = self._seat_of(name)
        self._site.kill_host(name)
        if seat is not None:
            self._give_seat_to_other(seat)
        self._site.network.schedule_after(
            5.0, lambda: self._site.start_host(name)
        )

    def pause(self, name):
        self._site.network.pause_node(name, PAUSE_S)

    def pause_and_take_over(self, name):
        seat = self._seat_of(name)
        self._site.network.pause_node(name, PAUSE_S)
        if seat is not None:
            self._give_seat_to_other(seat)

    def cut_one_way(self, name):
        others = sorted(set(self._site.network.node_by_name) - {name})
        other = self._site.random.choice(others)
        self._site.network.cut_link(
            name, other, self._site.random.uniform(1, 20)
        )

    def move_seat(self, name):
        """Move the seat of a working host to a host without a seat."""
        seat = self._seat_of(name)
        if seat is not None:
            self._give_seat_to_other(seat)

    def change_limit(self, name):
        """Lower or raise the limit of a team."""
        manifest = self._site.state.manifest
        team = self._site.random.choice(manifest.teams)
        limit = self._site.random.choice(LIMITS)
        teams = tuple(
            dataclasses.replace(other, limit=limit) if other == team else other
            for other in manifest.teams
        )
        self._site.change_state(
            manifest=dataclasses.replace(manifest, teams=teams)
        )

    def _give_seat_to_other(self, seat):
        holders = {other.holder for other in self._site.state.seats}
        free = sorted(set(self._site.network.node_by_name) - holders)
        if free and self._is_assigned(seat):
            entry = self._site.find_entry_host(self._site.random.choice(free))
            self._site.give_seat(seat.number, entry)

    def _seat_of(self, name):
        entry = self._site.find_entry_host(name)
        for seat in self._site.state.seats:
            if seat.incarnation == entry.incarnation:
                return seat
        return None

    def _is_assigned(self, seat):
        return seat in self._site.state.seats


def run_randomised(seed, seconds=90.0, keeper=None):
    """Run two busy teams with random faults; return the site."""
    faults = virtual_time.NetworkFaults(loss=0.01, duplicate=0.1, reorder=0.1)
    plan = permit_site.SitePlan(
        {"a": 20, "b": 13}, standbys=2, max_waiting_per_team=10, max_run_s=4.0
    )
    site = permit_site.PermitSite(plan, seed, faults, keeper)
    hosts = sorted(site.network.node_by_name)
    send_calls(site, "a", 60.0, hosts[:2], seconds)
    send_calls(site, "b", 40.0, hosts, seconds)
    site.fault_injector = FaultInjector(site, 0.1, seconds)
    site.network.run_until(seconds)
    return site
