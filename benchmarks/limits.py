"""Figures of the limits that entry hosts divide, in virtual time.

``limit.overruns`` counts admissions above a limit at the runners in
randomised runs. ``limit.reach`` is the part of its limit that a team uses
from 1 s after all its calls have moved from one entry host to another. The
baseline is fixed division (each host has a sixth and lends nothing); the
ideal is one counter that every host reads without delay.
"""

import pathlib
import sys

TESTS = pathlib.Path(__file__).resolve().parents[1] / "tests"
if str(TESTS) not in sys.path:
    sys.path.insert(0, str(TESTS))

import permit_runs  # noqa: E402
import permit_site  # noqa: E402

from azurevane._internal.tasks import permit_keeper  # noqa: E402

OVERRUN_SEEDS = (101, 102, 103, 104)
OVERRUN_SECONDS = 60.0
REACH_SEEDS = (1, 2, 3)
TEAM_LIMIT = 60
CALLS_PER_S = 900.0
MEAN_RUN_S = 0.1
MOVE_AT = 3.0
REACH_AFTER_S = 1.0
MEASURED_S = 1.0
SAMPLE_S = 0.005


class FixedDivision(permit_keeper.PermitKeeper):
    """Uses its base parts only; permits are neither requested nor lent."""

    def set_peers(self, peers):
        super().set_peers(())


def measure_reach(seed, keeper=None):
    """Return running / limit, averaged from REACH_AFTER_S after the move."""
    plan = permit_site.SitePlan(
        {"t": TEAM_LIMIT}, runners=8, max_run_s=30.0, max_waiting_per_team=60
    )
    site = permit_site.PermitSite(plan, seed, keeper=keeper)
    end = MOVE_AT + REACH_AFTER_S + MEASURED_S
    load = {"mean_run_s": MEAN_RUN_S}
    permit_runs.send_calls(site, "t", CALLS_PER_S, ["e0"], MOVE_AT, **load)
    site.network.schedule_at(
        MOVE_AT,
        lambda: permit_runs.send_calls(
            site, "t", CALLS_PER_S, ["e1"], end, **load
        ),
    )
    samples = []

    def sample():
        samples.append(site.running["team:t"] / TEAM_LIMIT)
        site.network.schedule_after(SAMPLE_S, sample)

    site.network.schedule_at(MOVE_AT + REACH_AFTER_S, sample)
    site.network.run_until(end)
    return sum(samples) / len(samples)


def count_overruns(keeper=None):
    """Return the number of admissions above a limit in all runs."""
    return sum(
        permit_runs.run_randomised(seed, OVERRUN_SECONDS, keeper).overruns
        for seed in OVERRUN_SEEDS
    )


def run() -> list[dict]:
    """Return each figure with its bound, baseline and ideal."""
    return [
        {
            "name": "limit.overruns",
            "value": count_overruns(),
            "unit": "admissions",
            "bound": 0,
            "better": "lower",
            "baseline": count_overruns(FixedDivision),
            "ideal": 0,
        },
        {
            "name": "limit.reach",
            "value": min(measure_reach(seed) for seed in REACH_SEEDS),
            "unit": "ratio",
            "bound": 0.95,
            "better": "higher",
            "baseline": min(
                measure_reach(seed, FixedDivision) for seed in REACH_SEEDS
            ),
            "ideal": 1.0,
        },
    ]


if __name__ == "__main__":
    for figure in run():
        print(figure)
