"""zone.goodput: work done in time while a zone is out and after its return.

The load of every queue is 90% of its pool. One zone of four is taken out at
6 s and returns at 12 s; its entry hosts continue. The possible work is the
lower of the requested work and the slots of the zones in use.
"""

import burst
import permit_backends
import virtual_site

MEAN_RUN_S = 0.08
SLOTS = 64
LOAD = 0.9
PER_S = LOAD * SLOTS / MEAN_RUN_S
DEADLINE_S = 1.0
OUT_AT, BACK_AT, END = 6.0, 12.0, 20.0
ZONE = "az-b"
SPANS = {"out": (OUT_AT, BACK_AT), "back": (BACK_AT + 5.0, END)}


def measure(backend, seed=1):
    """Return the goodput while the zone is out and after its return."""
    site = virtual_site.VirtualSite(
        virtual_site.build_dieworks_manifest(), backend, seed
    )
    teams = [name for name, _ in virtual_site.TEAMS]
    weights = [weight for _, weight in virtual_site.TEAMS]

    def arrive(queue):
        rng = site.rng
        team = rng.choices(teams, weights)[0]
        run_s = 0.2 * MEAN_RUN_S + rng.expovariate(1.25 / MEAN_RUN_S)
        site.submit_request(queue, team, run_s, DEADLINE_S)
        site.schedule_after(rng.expovariate(PER_S), arrive, queue)

    for queue in virtual_site.QUEUES:
        site.schedule_after(0.01, arrive, queue)
    site.schedule_at(OUT_AT, site.put_state_in_force, (ZONE,))
    site.schedule_at(BACK_AT, site.put_state_in_force)
    site.run(END + 1.0)
    goodput = {}
    for name, (begin, end) in SPANS.items():
        requests = site.request_by_id.values()
        # Requests that wait when the span begins can be served in it too.
        requested_s = sum(
            r.run_s
            for r in requests
            if begin <= r.arrived_at < end
            or (r.arrived_at < begin <= (r.started_at or 0.0))
        )
        slots = SLOTS * len(virtual_site.QUEUES)
        slots *= 0.75 if name == "out" else 1.0
        possible = min(requested_s, slots * (end - begin))
        zones = {r.name: r.zone for r in site.manifest.runners}
        done = sum(
            burst.overlap_s(r, begin, end)
            for r in requests
            if r.in_time and (name == "back" or zones[r.runner] != ZONE)
        )
        goodput[name] = done / possible
    return goodput, site


def run():
    """Measure with keepers, the simple dispatcher and shared permits."""
    value, baseline, ideal = (
        measure(backend)[0]
        for backend in (
            permit_backends.KeeperBackend(),
            permit_backends.SimpleBackend(),
            permit_backends.SharedBackend(),
        )
    )
    return [
        {
            "name": f"zone.goodput.{name}",
            "value": round(value[name], 4),
            "unit": "1",
            "bound": 0.97,
            "better": "higher",
            "baseline": round(baseline[name], 4),
            "ideal": round(ideal[name], 4),
        }
        for name in SPANS
    ]


if __name__ == "__main__":
    for row in run():
        print(row)
