"""At-most-once claims under faults, and their writes to the table.

Runs in virtual time. The baseline of the duplicates has no claims; the
baseline of the writes is one write per claim and one per outcome.
"""

import json
import logging
import random

import claim_site

SEEDS = 40
HOSTS = 6
SITES = 2
BURST_CLAIMS_A_SECOND = 400
REST_CLAIMS_A_SECOND = 1
SECONDS = 20


def measure_random_runs(first_seed):
    """Return totals over the randomised runs."""
    # Each failed call to the table logs a warning.
    logging.disable(logging.WARNING)
    duplicates = refusals = repeats = requests = 0
    for seed in range(first_seed, first_seed + SEEDS):
        site = claim_site.run_random(seed)
        duplicates += site.duplicates()
        refusals += site.false_refusals()
        requests += len(site.requests)
        repeats += len(site.requests) - len(
            {request.key for request in site.requests}
        )
    return duplicates, refusals, repeats, requests


def measure_writes(claims_a_second, seed):
    """Return one site's writes per second and its number of requests."""
    rng = random.Random(seed)
    site = claim_site.ClaimSite(HOSTS, HOSTS)
    names = list(site.host_by_name)
    site.run(1)
    before = site.table.writes
    # Poisson arrivals at the given mean rate.
    due_s = 0.0
    elapsed_s = 0.0
    while elapsed_s < SECONDS:
        while due_s <= elapsed_s:
            site.request(rng.choice(names), f"r-{len(site.requests)}")
            due_s += rng.expovariate(claims_a_second)
        site.run(claim_site.STEP_S)
        elapsed_s += claim_site.STEP_S
    return (site.table.writes - before) / SECONDS, len(site.requests)


def _row(name, value, unit, bound, baseline):
    return {
        "name": name,
        "value": value,
        "unit": unit,
        "bound": bound,
        "better": "lower",
        "baseline": baseline,
    }


def run(seed=1):
    duplicates, refusals, repeats, requests = measure_random_runs(seed)
    rows = [
        _row("once.duplicates", duplicates, "runs", 0, repeats),
        _row("refusal.false", refusals, "requests", 0, None),
        _row("once.requests", requests, "requests", None, None),
    ]
    for name, rate, bound in (
        ("store.writes.burst", BURST_CLAIMS_A_SECOND, 150),
        ("store.writes.rest", REST_CLAIMS_A_SECOND, 5),
    ):
        writes, count = measure_writes(rate, seed)
        rows.append(
            _row(
                name,
                round(writes * SITES, 2),
                "claims' writes a second, both sites",
                bound,
                round(2 * count * SITES / SECONDS, 2),
            )
        )
    return rows


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
