"""share.error: distance from the weighted max-min entitlement.

Six teams of unequal weight keep one pool full from several entry hosts,
with short and long requests. One team stops for some time. Requests don't
declare run times, so a team with long requests also stands for one that
would declare wrong ones.
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
# Mean run time in seconds, and the entry hosts that get the requests.
RUN_S = {
    "lagoon": (0.05, range(6)),
    "harbour": (0.2, (1,)),
    "market": (0.02, range(6)),
    "delta": (0.1, (2, 3)),
    "island": (0.05, range(6)),
    "creek": (0.02, (0,)),
}
PAUSED_TEAM = ("harbour", 8.0, 13.0)


class ConstantLoad:
    """Keeps a constant number of requests of each team at the site."""

    def __init__(self, site):
        self.site = site
        self.waiting = collections.Counter()
        self.running = collections.Counter()
        self.used = collections.Counter()
        site.on_end = self.replace_request

    def paused(self, team):
        now = self.site.now
        return (
            team == PAUSED_TEAM[0] and PAUSED_TEAM[1] <= now < PAUSED_TEAM[2]
        )

    def start(self):
        for team in RUN_S:
            for _ in range(OUTSTANDING):
                self.site.schedule_after(
                    self.site.rng.random() * 0.01, self.submit, team
                )
        self.site.schedule_at(PAUSED_TEAM[2], self.resume)

    def resume(self):
        for _ in range(OUTSTANDING):
            self.submit(PAUSED_TEAM[0])

    def submit(self, team):
        mean, hosts = RUN_S[team]
        rng = self.site.rng
        run_s = rng.uniform(0.5, 1.5) * mean
        self.site.submit_request(
            QUEUE, team, run_s, 600.0, rng.choice(list(hosts))
        )

    def replace_request(self, request):
        if not self.paused(request.team):
            self.submit(request.team)


def measure(backend, seed=1):
    """Return the relative errors of all windows, the pool's use, the site."""
    site = virtual_site.VirtualSite(
        virtual_site.build_dieworks_manifest(spare=False), backend, seed
    )
    load = ConstantLoad(site)
    load.start()
    used_by_team = collections.Counter()
    entitled_by_team = collections.Counter()
    always_waiting = dict.fromkeys(RUN_S, True)
    errors = []
    busy = 0
    steps = round(WINDOW_S / STEP_S)
    site.run(1.0)
    for step in range(round(SECONDS / STEP_S)):
        site.run(1.0 + step * STEP_S)
        running, waiting = count_requests(site)
        busy += running.total()
        for team in list(always_waiting):
            always_waiting[team] &= bool(waiting[team])
        part = entitlement(running, waiting)
        for team in RUN_S:
            used_by_team[team] += running[team] * STEP_S
            entitled_by_team[team] += part[team] * STEP_S
        if step % steps == steps - 1:
            errors += [
                (
                    abs(used_by_team[t] - entitled_by_team[t])
                    / entitled_by_team[t],
                    t,
                    site.now,
                )
                for t in RUN_S
                if always_waiting[t]
            ]
            used_by_team.clear()
            entitled_by_team.clear()
            always_waiting = dict.fromkeys(RUN_S, True)
    return errors, busy / SLOTS / round(SECONDS / STEP_S), site


def entitlement(running, waiting):
    """Return the slots that each team is entitled to now."""
    weight = dict(virtual_site.TEAMS)
    return shares.weighted_max_min(
        SLOTS,
        [
            shares.TeamDemand(t, weight[t], running[t] + waiting[t])
            for t in RUN_S
        ],
    )


def count_requests(site):
    """Return running and waiting requests by team."""
    running = collections.Counter()
    waiting = collections.Counter()
    for request in site.live_by_id.values():
        counts = waiting if request.started_at is None else running
        counts[request.team] += 1
    return running, waiting


def measure_errors(backend, seed=1):
    """Return the mean and the highest error."""
    errors = [error for error, _, _ in measure(backend, seed)[0]]
    return sum(errors) / len(errors), max(errors)


def combine_seeds(figures):
    means, highest = zip(*figures, strict=True)
    return sum(means) / len(means), max(highest)


def run(seeds=(1, 2, 3)):
    """Measure with keepers, the simple dispatcher and shared permits.

    Returns the mean over the seeds and the highest maximum of them.
    """
    value, baseline, ideal = (
        combine_seeds([measure_errors(backend(), seed) for seed in seeds])
        for backend in (
            permit_backends.KeeperBackend,
            permit_backends.SimpleBackend,
            permit_backends.SharedBackend,
        )
    )
    return [
        {
            "name": name,
            "value": round(value[index], 4),
            "unit": "1",
            "bound": bound,
            "better": "lower",
            "baseline": round(baseline[index], 4),
            "ideal": round(ideal[index], 4),
        }
        for index, (name, bound) in enumerate(
            (("share.error.mean", 0.02), ("share.error.max", 0.05))
        )
    ]


if __name__ == "__main__":
    for seed in (1, 2, 3):
        for row in run(seed):
            print(seed, row)
