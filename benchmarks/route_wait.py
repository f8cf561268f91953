"""route.wait.ratio: p99 wait at 85% load relative to one shared queue.

One pool of 64 slots behind six entry hosts, Poisson arrivals, run times
with a mean of 80 ms. The ideal queue gets the same arrivals and run times
and serves 64 slots without delay between hosts: ordered by share, as the
system must, and by arrival, which ignores shares.
"""

import heapq
import random

import permit_backends
import virtual_site

QUEUE = "quoting"
SLOTS = 64
MEAN_RUN_S = 0.08
LOAD = 0.85
SECONDS = 30.0
WARM_UP_S = 2.0


def draw_arrivals(seed, load=LOAD):
    """Return (time, team, run time, host) of every request."""
    rng = random.Random(seed)
    teams = [name for name, _ in virtual_site.TEAMS]
    weights = [weight for _, weight in virtual_site.TEAMS]
    arrivals = []
    now = 0.01
    while now < WARM_UP_S + SECONDS:
        now += rng.expovariate(load * SLOTS / MEAN_RUN_S)
        run_s = 0.2 * MEAN_RUN_S + rng.expovariate(1.25 / MEAN_RUN_S)
        team = rng.choices(teams, weights)[0]
        arrivals.append((now, team, run_s, rng.randrange(6)))
    return arrivals


def measure(backend, seed=1, hosts=6):
    """Return the p99 wait in seconds, and the site."""
    site = virtual_site.VirtualSite(
        virtual_site.build_dieworks_manifest(spare=False), backend, seed, hosts
    )
    for when, team, run_s, host in draw_arrivals(seed):
        site.schedule_at(
            when, site.submit_request, QUEUE, team, run_s, 10.0, host % hosts
        )
    site.run(WARM_UP_S + SECONDS + 2.0)
    waits = [
        request.started_at - request.arrived_at
        for request in site.request_by_id.values()
        if request.arrived_at >= WARM_UP_S and request.started_at is not None
    ]
    return p99(waits), site


def ideal_wait(seed=1):
    """Return the p99 wait of one shared queue, ordered by arrival."""
    free_at = [0.0] * SLOTS
    waits = []
    for when, _, run_s, _ in draw_arrivals(seed):
        starts_at = max(when, heapq.heappop(free_at))
        heapq.heappush(free_at, starts_at + run_s)
        if when >= WARM_UP_S:
            waits.append(starts_at - when)
    return p99(waits)


def p99(values):
    return sorted(values)[int(len(values) * 0.99)]


def run(seed=1):
    """Measure with permit keepers and with the simple dispatcher."""
    value, _ = measure(permit_backends.KeeperBackend(), seed)
    simple, _ = measure(permit_backends.SimpleBackend(), seed)
    shared, _ = measure(permit_backends.FixedBackend(), seed, hosts=1)
    fifo = ideal_wait(seed)
    note = (
        f"p99 wait {1e3 * value:.1f} ms; one queue by share"
        f" {1e3 * shared:.1f} ms, by arrival {1e3 * fifo:.1f} ms; simplest"
        f" way {1e3 * simple:.1f} ms"
    )
    return [
        {
            "name": name,
            "value": round(value / ideal, 3),
            "unit": "1",
            "bound": 1.5,
            "better": "lower",
            "baseline": round(simple / ideal, 3),
            "ideal": 1.0,
            "note": note,
        }
        for name, ideal in (
            ("route.wait.ratio", shared),
            ("route.wait.ratio.arrival", fifo),
        )
    ]


if __name__ == "__main__":
    for seed in (1, 2, 3):
        for row in run(seed):
            print(seed, row)
