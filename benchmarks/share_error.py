"""share.error: distance from the weighted max-min entitlement.

Six teams of unequal weight keep one pool full from several entry hosts,
with cheap and costly requests. A team stops and returns. Nobody can state
run times, so a false statement is a team whose requests are costly.
"""

import collections

import permit_backends
import virtual_site

from azurevane._internal.policy import shares

WINDOW_S = 2.0
STEP_S = 0.02
SECONDS = 26.0
QUEUE = "quoting"
SLOTS = 64
OUTSTANDING = 150
# Mean seconds of a run, and the hosts to which the team's requests come.
RUN_S = {
    "lagoon": (0.05, range(6)),
    "harbour": (0.2, (1,)),
    "market": (0.02, range(6)),
    "delta": (0.1, (2, 3)),
    "island": (0.05, range(6)),
    "creek": (0.02, (0,)),
}
PAUSE = ("harbour", 8.0, 13.0)


class Load:
    """Keeps a number of requests of each team in the site."""

    def __init__(self, site):
        self.site = site
        self.waiting = collections.Counter()
        self.running = collections.Counter()
        self.used = collections.Counter()
        site.on_end = self.ended

    def paused(self, team):
        now = self.site.now
        return team == PAUSE[0] and PAUSE[1] <= now < PAUSE[2]

    def start(self):
        for team in RUN_S:
            for _ in range(OUTSTANDING):
                self.site.after(
                    self.site.rng.random() * 0.01, self.submit, team
                )
        self.site.at(PAUSE[2], self.resume)

    def resume(self):
        for _ in range(OUTSTANDING):
            self.submit(PAUSE[0])

    def submit(self, team):
        mean, hosts = RUN_S[team]
        rng = self.site.rng
        run_s = rng.uniform(0.5, 1.5) * mean
        self.site.submit(QUEUE, team, run_s, 600.0, rng.choice(list(hosts)))

    def ended(self, request):
        if not self.paused(request.team):
            self.submit(request.team)


def measure(backend, seed=1):
    """Return the relative errors of all windows, and the pool's use."""
    site = virtual_site.VirtualSite(
        virtual_site.dieworks(spare=False), backend, seed
    )
    load = Load(site)
    load.start()
    got = collections.Counter()
    due = collections.Counter()
    hungry = dict.fromkeys(RUN_S, True)
    errors = []
    busy = 0
    steps = round(WINDOW_S / STEP_S)
    site.run(1.0)
    for step in range(round(SECONDS / STEP_S)):
        site.run(1.0 + step * STEP_S)
        running, waiting = count(site)
        busy += running.total()
        for team in list(hungry):
            hungry[team] &= bool(waiting[team])
        part = entitlement(running, waiting)
        for team in RUN_S:
            got[team] += running[team] * STEP_S
            due[team] += part[team] * STEP_S
        if step % steps == steps - 1:
            errors += [
                (abs(got[t] - due[t]) / due[t], t, site.now)
                for t in RUN_S
                if hungry[t]
            ]
            got.clear()
            due.clear()
            hungry = dict.fromkeys(RUN_S, True)
    return errors, busy / SLOTS / round(SECONDS / STEP_S), site


def entitlement(running, waiting):
    """Return the slots that each team is entitled to at this moment."""
    weight = dict(virtual_site.TEAMS)
    return shares.weighted_max_min(
        SLOTS,
        [
            shares.TeamDemand(t, weight[t], running[t] + waiting[t])
            for t in RUN_S
        ],
    )


def count(site):
    """Return running and waiting requests by team."""
    running = collections.Counter()
    waiting = collections.Counter()
    for request in site.live_by_id.values():
        counts = waiting if request.started_at is None else running
        counts[request.team] += 1
    return running, waiting


def summarise(backend, seed=1):
    """Return the mean and the greatest error."""
    errors = [error for error, _, _ in measure(backend, seed)[0]]
    return sum(errors) / len(errors), max(errors)


def worst_of(figures):
    means, highest = zip(*figures, strict=True)
    return sum(means) / len(means), max(highest)


def run(seeds=(1, 2, 3)):
    """Measure with the permit keepers, by the simplest way, and ideally.

    The mean is over the seeds, the maximum is the worst of them.
    """
    value, baseline, ideal = (
        worst_of([summarise(backend(), seed) for seed in seeds])
        for backend in (
            permit_backends.KeeperBackend,
            permit_backends.SimpleBackend,
            permit_backends.SharedBackend,
        )
    )
    return [
        {
            "name": name,
            "value": round(value[place], 4),
            "unit": "1",
            "bound": bound,
            "better": "lower",
            "baseline": round(baseline[place], 4),
            "ideal": round(ideal[place], 4),
        }
        for place, (name, bound) in enumerate(
            (("share.error.mean", 0.02), ("share.error.max", 0.05))
        )
    ]


if __name__ == "__main__":
    for place in (1, 2, 3):
        for row in run(place):
            print(place, row)
