"""Random faults and changes for a virtual fleet, drawn from a seed."""

import random

from support import virtual_fleet

FAULTS = {}


def fault(call):
    FAULTS[call.__name__] = call
    return call


@fault
def pause(fleet, chance):
    host = chance.choice(fleet.live())
    if not host.paused:
        host.paused = True
        fleet.clock.callLater(
            chance.choice([0.5, 2.5, 30.0]),
            lambda: host.alive and host.paused and host.resume(),
        )


@fault
def kill_and_start(fleet, chance):
    name = chance.choice(fleet.names)
    fleet.kill(name)
    fleet.clock.callLater(chance.uniform(0.1, 5), start_dead, fleet, name)


def start_dead(fleet, name):
    if not fleet.host_by_name[name].alive:
        fleet.start(name)


@fault
def cut(fleet, chance):
    pair = tuple(chance.sample(fleet.names, 2))
    fleet.cuts.add(pair)
    fleet.clock.callLater(chance.uniform(1, 20), fleet.cuts.discard, pair)


@fault
def store(fleet, chance):
    fleet.store.down = chance.random() < 0.5
    fleet.store.slow_s = chance.choice([0.0, 0.0, 0.5, 1.5])
    fleet.store.lose_answers = chance.choice([0.0, 0.0, 0.3])


@fault
def network(fleet, chance):
    fleet.loss = chance.choice([0.0, 0.0, 0.1, 0.4])
    fleet.duplicates = chance.choice([0.0, 0.3])
    fleet.delay_s = chance.choice([0.005, 0.005, 0.4])


def change(fleet, chance):
    name = chance.choice(fleet.names)
    if not fleet.host_by_name[name].alive:
        return
    team = chance.choice(["mills", "forge"])
    digest = virtual_fleet.digest_of(f"key-{chance.randrange(5)}")
    zone = chance.choice(["az-a", "az-b", "az-c"])
    kind, content = chance.choice(
        [
            ("key-grant", {"digest": digest, "team": team}),
            ("key-withdraw", {"digest": digest}),
            ("key-withdraw", {"digest": digest}),
            ("zone-out", {"zone": zone}),
            ("zone-in", {"zone": zone}),
        ]
    )
    base = chance.choice([None, None, fleet.stored.version])
    fleet.change(name, kind, content, base)


def heal(fleet):
    fleet.store = virtual_fleet.StoreFaults()
    fleet.cuts.clear()
    fleet.without_news.clear()
    fleet.loss = fleet.duplicates = 0.0
    for host in fleet.live():
        if host.paused:
            host.resume()


def run_random(fleet, seconds, seed, counts=None):
    """Run with faults and changes, then heal and let the fleet settle.

    Args:
        counts: a counter that gets how often each fault struck.
    """
    chance = random.Random(seed)
    fleet.chance.seed(seed)
    for _ in range(seconds * 2):
        fleet.run(0.5)
        if chance.random() < 0.3:
            name = chance.choice(sorted(FAULTS))
            FAULTS[name](fleet, chance)
            if counts is not None:
                counts[name] += 1
        for _ in range(chance.choice([0, 1, 1, 2])):
            change(fleet, chance)
    heal(fleet)
    fleet.delay_s = 0.005
    fleet.run(20)
