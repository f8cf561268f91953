"""route.wait.ratio: p99 wait at 85% load against one ideal shared queue.

One pool of 64 slots behind six entry hosts, Poisson arrivals, run times
with a mean of 80 ms. The ideal is one queue in order of arrival with 64
servers, no delay and the same arrivals and run times.
"""

import heapq

import permit_backends
import virtual_site

QUEUE = "quoting"
SLOTS = 64
MEAN_RUN_S = 0.08
LOAD = 0.85
SECONDS = 30.0
WARM_S = 2.0


def measure(backend, seed=1):
    """Return the p99 wait of the dispatchers and of the ideal queue."""
    site = virtual_site.VirtualSite(
        virtual_site.dieworks(spare=False), backend, seed
    )
    teams = [name for name, _ in virtual_site.TEAMS]
    weights = [weight for _, weight in virtual_site.TEAMS]

    def arrive():
        rng = site.rng
        team = rng.choices(teams, weights)[0]
        run_s = 0.2 * MEAN_RUN_S + rng.expovariate(1.25 / MEAN_RUN_S)
        site.submit(QUEUE, team, run_s, 10.0)
        site.after(rng.expovariate(LOAD * SLOTS / MEAN_RUN_S), arrive)

    site.after(0.01, arrive)
    site.run(WARM_S + SECONDS + 2.0)
    requests = [
        r for r in site.request_by_id.values()
        if WARM_S <= r.arrived_at < WARM_S + SECONDS
    ]  # fmt: skip
    waits = [
        r.started_at - r.arrived_at
        for r in requests
        if r.started_at is not None
    ]
    return p99(waits), p99(ideal_waits(requests)), site


def ideal_waits(requests):
    """Return the waits in one shared queue with the same requests."""
    free_at = [0.0] * SLOTS
    waits = []
    for request in sorted(requests, key=lambda r: r.arrived_at):
        begin = max(request.arrived_at, heapq.heappop(free_at))
        heapq.heappush(free_at, begin + request.run_s)
        waits.append(begin - request.arrived_at)
    return waits


def p99(values):
    return sorted(values)[int(len(values) * 0.99)]


def run():
    """Measure with the permit keepers and by fixed division."""
    value, ideal, _ = measure(permit_backends.KeeperBackend())
    baseline, base_ideal, _ = measure(permit_backends.FixedBackend())
    return [
        {
            "name": "route.wait.ratio",
            "value": round(value / ideal, 3),
            "unit": "1",
            "bound": 1.5,
            "better": "lower",
            "baseline": round(baseline / base_ideal, 3),
            "ideal": 1.0,
            "note": f"p99 wait {1e3 * value:.2f} ms, ideal queue"
            f" {1e3 * ideal:.2f} ms, fixed division {1e3 * baseline:.2f} ms",
        }
    ]


if __name__ == "__main__":
    for row in run():
        print(row)
