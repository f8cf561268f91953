"""Seeded runs of a simulated site: load, and faults at random moments."""

import dataclasses

import permit_site

from support import virtual_time

PAUSE_S = 30.0
MEAN_RUN_S = 0.3
LONG_RUN_PART = 0.02
LIMITS = (6, 9, 13)


def send_calls(site, team, per_s, hosts, until, mean_run_s=None):
    """Send calls of a team to random ones of some hosts.

    Args:
        mean_run_s: mean of an exponential run time; by default 0.3 s
            with some runs as long as allowed.
    """

    def arrive():
        if site.network.now >= until:
            return
        run_s = _random_run_s(site, mean_run_s)
        site.submit(site.random.choice(hosts), team, run_s)
        site.network.schedule_after(site.random.expovariate(per_s), arrive)

    arrive()


def _random_run_s(site, mean_run_s):
    if mean_run_s is None and site.random.random() < LONG_RUN_PART:
        return site.plan.max_run_s
    run_s = site.random.expovariate(1.0 / (mean_run_s or MEAN_RUN_S))
    return min(site.plan.max_run_s, run_s)


class Trouble:
    """Kills, pauses and cuts hosts and hands on their seats.

    Attributes:
        count_by_kind: how often each fault came.
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
        self._next()

    def _next(self):
        if self._site.network.now >= self._until:
            return
        random = self._site.random
        self._site.network.schedule_after(
            random.expovariate(self._per_s), self._next
        )
        name = random.choice(sorted(self._site.network.node_by_name))
        kind = random.choice(sorted(self.count_by_kind))
        self.count_by_kind[kind] += 1
        getattr(self, kind)(name)

    def kill_and_replace(self, name):
        """Start the same host again, which takes its old seat."""
        seat = self._seat_of(name)
        self._site.kill(name)

        def replace():
            entry = self._site.start(name)
            if seat is not None and self._holds(seat):
                self._site.give_seat(seat.number, entry)

        self._site.network.schedule_after(self._site.random.random(), replace)

    def kill_and_take_over(self, name):
        """Let another host take the seat, the killed one come back."""
        seat = self._seat_of(name)
        self._site.kill(name)
        if seat is not None:
            self._take_over(seat)
        self._site.network.schedule_after(5.0, lambda: self._site.start(name))

    def pause(self, name):
        self._site.network.pause_node(name, PAUSE_S)

    def pause_and_take_over(self, name):
        seat = self._seat_of(name)
        self._site.network.pause_node(name, PAUSE_S)
        if seat is not None:
            self._take_over(seat)

    def cut_one_way(self, name):
        others = sorted(set(self._site.network.node_by_name) - {name})
        other = self._site.random.choice(others)
        self._site.network.cut_link(
            name, other, self._site.random.uniform(1, 20)
        )

    def move_seat(self, name):
        """Move the seat of a host that works to one without a seat."""
        seat = self._seat_of(name)
        if seat is not None:
            self._take_over(seat)

    def change_limit(self, name):
        """Lower or raise the limit of a team."""
        manifest = self._site.state.manifest
        team = self._site.random.choice(manifest.teams)
        limit = self._site.random.choice(LIMITS)
        teams = tuple(
            dataclasses.replace(other, limit=limit) if other == team else other
            for other in manifest.teams
        )
        self._site.change(manifest=dataclasses.replace(manifest, teams=teams))

    def _take_over(self, seat):
        holders = {other.holder for other in self._site.state.seats}
        free = sorted(set(self._site.network.node_by_name) - holders)
        if free and self._holds(seat):
            entry = self._site.entry(self._site.random.choice(free))
            self._site.give_seat(seat.number, entry)

    def _seat_of(self, name):
        entry = self._site.entry(name)
        for seat in self._site.state.seats:
            if seat.incarnation == entry.incarnation:
                return seat
        return None

    def _holds(self, seat):
        return seat in self._site.state.seats


def randomised_run(seed, seconds=90.0, keeper=None):
    """Run two busy teams through every kind of fault; return the site."""
    faults = virtual_time.NetworkFaults(loss=0.01, duplicate=0.1, reorder=0.1)
    plan = permit_site.Plan(
        {"a": 20, "b": 13}, standbys=2, most_waiting=10, max_run_s=4.0
    )
    site = permit_site.Site(plan, seed, faults, keeper)
    hosts = sorted(site.network.node_by_name)
    send_calls(site, "a", 60.0, hosts[:2], seconds)
    send_calls(site, "b", 40.0, hosts, seconds)
    site.trouble = Trouble(site, 0.1, seconds)
    site.network.run_until(seconds)
    return site
