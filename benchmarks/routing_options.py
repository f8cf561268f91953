"""Policies of choosing a runner, with the same arrivals.

64 slots of 8 runners behind six entry hosts at 85% load; in the second
input one runner is three times as slow, at 70% load. Without permits, a
runner queues the requests that exceed its slots, and each entry host knows
only its own outstanding requests.
"""

import collections
import heapq
import random

import permit_backends
import route_wait
import virtual_site

RUNNERS = 8
SLOTS = 8
SLOW_RUNNER = 0


class RunnerQueue:
    """Runner with slots and a queue in arrival order."""

    def __init__(self, factor):
        self._free_at = [0.0] * SLOTS
        self._factor = factor

    def serve(self, when, run_s):
        """Return the times when a request starts and ends."""
        begin = max(when, heapq.heappop(self._free_at))
        end = begin + run_s * self._factor
        heapq.heappush(self._free_at, end)
        return begin, end


def pick_random(rng, outstanding):
    return rng.randrange(RUNNERS)


def pick_of_two(rng, outstanding):
    first, second = rng.sample(range(RUNNERS), 2)
    return min(first, second, key=lambda n: outstanding[n])


def pick_least(rng, outstanding):
    return min(range(RUNNERS), key=lambda n: (outstanding[n], rng.random()))


def measure_queues(pick, arrivals, factor):
    """Return the p99 and the mean wait for a slot."""
    rng = random.Random(7)
    runners = [
        RunnerQueue(factor if n == SLOW_RUNNER else 1.0)
        for n in range(RUNNERS)
    ]
    outstanding = [collections.Counter() for _ in range(6)]
    ends = []
    waits = []
    for when, _, run_s, host in arrivals:
        while ends and ends[0][0] <= when:
            _, done_host, done_runner = heapq.heappop(ends)
            outstanding[done_host][done_runner] -= 1
        runner = pick(rng, outstanding[host])
        outstanding[host][runner] += 1
        begin, end = runners[runner].serve(when, run_s)
        heapq.heappush(ends, (end, host, runner))
        if when >= route_wait.WARM_UP_S:
            waits.append(begin - when)
    return route_wait.p99(waits), sum(waits) / len(waits)


def measure_lent(arrivals, factor):
    """Return the same with slots as permits that entry hosts lend."""
    site = virtual_site.VirtualSite(
        virtual_site.build_dieworks_manifest(spare=False),
        permit_backends.KeeperBackend(),
    )
    site.slowdown_by_runner = {f"{route_wait.QUEUE}-{SLOW_RUNNER}": factor}
    for when, team, run_s, host in arrivals:
        site.schedule_at(
            when,
            site.submit_request,
            route_wait.QUEUE,
            team,
            run_s,
            60.0,
            host,
        )
    site.run(arrivals[-1][0] + 5.0)
    waits = [
        request.started_at - request.arrived_at
        for request in site.request_by_id.values()
        if request.arrived_at >= route_wait.WARM_UP_S
        and request.started_at is not None
    ]
    return route_wait.p99(waits), sum(waits) / len(waits)


def run():
    rows = []
    for name, load, factor in (("equal", 0.85, 1.0), ("slow", 0.7, 3.0)):
        arrivals = route_wait.draw_arrivals(1, load)
        values = {
            "random": measure_queues(pick_random, arrivals, factor),
            "two choices": measure_queues(pick_of_two, arrivals, factor),
            "least outstanding": measure_queues(pick_least, arrivals, factor),
            "slots lent": measure_lent(arrivals, factor),
        }
        rows += [
            {
                "name": f"route.option.{name}.{option.replace(' ', '-')}",
                "value": round(1e3 * p99, 1),
                "unit": "ms",
                "bound": None,
                "better": "lower",
                "baseline": round(1e3 * values["random"][0], 1),
                "ideal": 0,
                "note": f"p99 wait; mean {1e3 * mean:.2f} ms",
            }
            for option, (p99, mean) in values.items()
        ]
    return rows


if __name__ == "__main__":
    for row in run():
        print(row)
