"""Injects random faults and changes into a virtual fleet, from a seed."""

import random

from support import virtual_fleet

FAULT_BY_NAME = {}


def register_fault(call):
    FAULT_BY_NAME[call.__name__] = call
    return call


@register_fault
def pause(fleet, rng):
    host = rng.choice(fleet.live_hosts())
    if not host.paused:
        host.paused = True
        fleet.clock.callLater(
            rng.choice([0.5, 2.5, 30.0]),
            lambda: host.alive and host.paused and host.resume(),
        )


@register_fault
def kill_and_start(fleet, rng):
    name = rng.choice(fleet.names)
    fleet.kill(name)
    fleet.clock.callLater(rng.uniform(0.1, 5), start_if_dead, fleet, name)


def start_if_dead(fleet, name):
    if not fleet.host_by_name[name].alive:
        fleet.start(name)


@register_fault
def cut(fleet, rng):
    pair = tuple(rng.sample(fleet.names, 2))
    fleet.cut_links.add(pair)
    fleet.clock.callLater(rng.uniform(1, 20), fleet.cut_links.discard, pair)


@register_fault
def store(fleet, rng):
    fleet.store.down = rng.random() < 0.5
    fleet.store.request_delay_s = rng.choice([0.0, 0.0, 0.5, 1.5])
    fleet.store.lost_answer_rate = rng.choice([0.0, 0.0, 0.3])


@register_fault
def network(fleet, rng):
    fleet.loss_rate = rng.choice([0.0, 0.0, 0.1, 0.4])
    fleet.duplicate_rate = rng.choice([0.0, 0.3])
    fleet.delay_s = rng.choice([0.005, 0.005, 0.4])


def begin_random_change(fleet, rng):
    name = rng.choice(fleet.names)
    if not fleet.host_by_name[name].alive:
        return
    team = rng.choice(["mills", "forge"])
    digest = virtual_fleet.digest_of(f"key-{rng.randrange(5)}")
    zone = rng.choice(["az-a", "az-b", "az-c"])
    kind, content = rng.choice(
        [
            ("key-grant", {"digest": digest, "team": team}),
            ("key-withdraw", {"digest": digest}),
            ("key-withdraw", {"digest": digest}),
            ("zone-out", {"zone": zone}),
            ("zone-in", {"zone": zone}),
        ]
    )
    base = rng.choice([None, None, fleet.stored.version])
    fleet.begin_change(name, kind, content, base)


def clear_faults(fleet):
    fleet.store = virtual_fleet.StoreFaults()
    fleet.cut_links.clear()
    fleet.hosts_without_updates.clear()
    fleet.loss_rate = fleet.duplicate_rate = 0.0
    for host in fleet.live_hosts():
        if host.paused:
            host.resume()


def run_random(fleet, seconds, seed, counts=None):
    """Run with faults and changes, then 20 s without faults.

    Args:
        counts: counter to which the injected faults are added by name.
    """
    rng = random.Random(seed)
    fleet.rng.seed(seed)
    for _ in range(seconds * 2):
        fleet.run(0.5)
        if rng.random() < 0.3:
            name = rng.choice(sorted(FAULT_BY_NAME))
            FAULT_BY_NAME[name](fleet, rng)
            if counts is not None:
                counts[name] += 1
        for _ in range(rng.choice([0, 1, 1, 2])):
            begin_random_change(fleet, rng)
    clear_faults(fleet)
    fleet.delay_s = 0.005
    fleet.run(20)
