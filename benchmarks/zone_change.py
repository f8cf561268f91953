"""zone.goodput: answers in time while a zone is out and after its return.

Every queue asks for 70% of its pool. One zone of four is taken out at 6 s
and comes back at 12 s; its entry hosts go on. What the pool can do is the
least of what is asked and the slots of the zones in use.
"""

import permit_backends
import virtual_site

MEAN_RUN_S = 0.08
SLOTS = 64
LOAD = 0.7
PER_S = LOAD * SLOTS / MEAN_RUN_S
DEADLINE_S = 1.0
OUT_AT, BACK_AT, END = 6.0, 12.0, 20.0
ZONE = "az-b"
SPANS = {"out": (OUT_AT, BACK_AT), "back": (BACK_AT + 5.0, END)}


def measure(backend, seed=1):
    """Return the goodput while the zone is out and after its return."""
    site = virtual_site.VirtualSite(virtual_site.dieworks(), backend, seed)
    teams = [name for name, _ in virtual_site.TEAMS]
    weights = [weight for _, weight in virtual_site.TEAMS]

    def arrive(queue):
        rng = site.rng
        team = rng.choices(teams, weights)[0]
        run_s = 0.2 * MEAN_RUN_S + rng.expovariate(1.25 / MEAN_RUN_S)
        site.submit(queue, team, run_s, DEADLINE_S)
        site.after(rng.expovariate(PER_S), arrive, queue)

    for queue in virtual_site.QUEUES:
        site.after(0.01, arrive, queue)
    site.at(OUT_AT, site.configure, (ZONE,))
    site.at(BACK_AT, site.configure)
    site.run(END + 1.0)
    goodput = {}
    for name, (begin, end) in SPANS.items():
        own = [
            r for r in site.request_by_id.values()
            if begin <= r.arrived_at < end
        ]  # fmt: skip
        asked = sum(r.run_s for r in own)
        slots = SLOTS * len(virtual_site.QUEUES)
        slots *= 0.75 if name == "out" else 1.0
        able = min(asked, slots * (end - begin))
        done = sum(r.run_s for r in own if r.in_time)
        goodput[name] = done / able
    return goodput, site


def run():
    """Measure with the permit keepers, by fixed division, and ideally."""
    value, baseline, ideal = (
        measure(backend)[0]
        for backend in (
            permit_backends.KeeperBackend(),
            permit_backends.FixedBackend(),
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
