"""burst.*: in turn, each queue has five times its mean load, then 1/20.

Site of Dieworks: 5 pools of 64 slots. The mean load of a queue is 40% of
its pool; for 4 s one queue has five times that, then 1/20 of it for 2 s.
Team and host of each request are random; a few teams send most requests.
"""

import permit_backends
import virtual_site

MEAN_RUN_S = 0.08
SLOTS = 64
SPARE = "back-office"
MEAN_PER_S = 0.4 * SLOTS / MEAN_RUN_S
BURST_S = 4.0
REST_S = 2.0
DEADLINE_S = 1.0
WARM_UP_S = 4.0


class BurstLoad:
    """Poisson arrivals at a rate that changes over time."""

    def __init__(self, site):
        self.site = site
        self.factor_by_queue = dict.fromkeys(virtual_site.QUEUES, 1.0)
        self.teams = [name for name, _ in virtual_site.TEAMS]
        self.weights = [weight for _, weight in virtual_site.TEAMS]
        for queue in virtual_site.QUEUES:
            self.add_arrival(queue, False)
        for index, queue in enumerate(virtual_site.QUEUES):
            begin = WARM_UP_S + index * (BURST_S + REST_S)
            site.schedule_at(begin, self.set_factor, queue, 5.0)
            site.schedule_at(begin + BURST_S, self.set_factor, queue, 0.05)
            site.schedule_at(
                begin + BURST_S + REST_S, self.set_factor, queue, 1.0
            )

    def set_factor(self, queue, factor):
        self.factor_by_queue[queue] = factor

    def add_arrival(self, queue, may_submit=True):
        rng = self.site.rng
        factor = self.factor_by_queue[queue]
        if may_submit and rng.random() < factor / 5.0:
            team = rng.choices(self.teams, self.weights)[0]
            run_s = 0.2 * MEAN_RUN_S + rng.expovariate(1.25 / MEAN_RUN_S)
            self.site.submit_request(queue, team, run_s, DEADLINE_S)
        self.site.schedule_after(
            rng.expovariate(5.0 * MEAN_PER_S), self.add_arrival, queue
        )


def measure(backend, seed=1):
    """Return goodput, wasted part, seconds until recovery and the site."""
    site = virtual_site.VirtualSite(
        virtual_site.build_dieworks_manifest(), backend, seed
    )
    BurstLoad(site)
    end = WARM_UP_S + len(virtual_site.QUEUES) * (BURST_S + REST_S)
    site.run(end + 3.0)
    goodput = []
    recovery = []
    spent = wasted = 0.0
    requests = list(site.request_by_id.values())
    for request in requests:
        if request.ended_at is not None:
            seconds = request.ended_at - request.started_at
            spent += seconds
            wasted += 0.0 if request.in_time else seconds
    for index, queue in enumerate(virtual_site.QUEUES):
        begin = WARM_UP_S + index * (BURST_S + REST_S)
        queue_requests = [r for r in requests if r.queue == queue]
        done = sum(
            overlap_s(r, begin, begin + BURST_S)
            for r in queue_requests
            if r.in_time
        )
        possible = SLOTS * BURST_S
        if queue != SPARE:
            # Idle slots of the spare pool can serve the burst too.
            possible += SLOTS * BURST_S - sum(
                overlap_s(r, begin, begin + BURST_S)
                for r in requests
                if r.queue == SPARE
            )
        goodput.append(done / possible)
        recovery.append(time_to_recover(queue_requests, begin + BURST_S))
    return sum(goodput) / len(goodput), wasted / spent, max(recovery), site


def overlap_s(request, begin, end):
    """Return the slot seconds of a request between two times."""
    if request.ended_at is None:
        return 0.0
    return max(
        0.0, min(request.ended_at, end) - max(request.started_at, begin)
    )


def time_to_recover(requests, end):
    """Return seconds after the burst until arrivals start within 50 ms."""
    late = [
        r.arrived_at
        for r in requests
        if r.arrived_at >= end
        and r.arrived_at < end + REST_S
        and (r.started_at is None or r.started_at > r.arrived_at + 0.05)
    ]
    return max(late, default=end) - end


def run():
    """Measure with keepers, the simple dispatcher and shared permits."""
    value, baseline, ideal = (
        measure(backend)[:3]
        for backend in (
            permit_backends.KeeperBackend(),
            permit_backends.SimpleBackend(),
            permit_backends.SharedBackend(),
        )
    )
    rows = (
        ("burst.goodput", "1", 0.95, "higher"),
        ("burst.wasted", "1", 0.01, "lower"),
        ("burst.recovery", "s", 1.0, "lower"),
    )
    return [
        {
            "name": name,
            "value": round(value[index], 4),
            "unit": unit,
            "bound": bound,
            "better": better,
            "baseline": round(baseline[index], 4),
            "ideal": round(ideal[index], 4),
        }
        for index, (name, unit, bound, better) in enumerate(rows)
    ]


if __name__ == "__main__":
    for row in run():
        print(row)
