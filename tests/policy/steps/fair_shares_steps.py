"""Steps for the shares of teams under scarcity."""

import dataclasses
import statistics

from behave import given
from behave import then

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import fair_shares
from azurevane._internal.policy import job_order
from support import job_load

POOL_CPU = 2048000
SEEDS = range(6)
LARGEST_TEAM = 0


@given("pools of {cpu:d} millicores, {memory:d} MB and {gpu:d} accelerators")
def set_pools(context, cpu, memory, gpu):
    context.capacity = job_models.Capacity(cpu, memory, gpu)
    context.accounts, context.weights = {}, {}


@given(
    'team "{team}" of weight {weight:g} with {cpu:d} millicores, {memory:d} MB'
    " and {gpu:d} accelerators"
)
def add_team(context, team, weight, cpu, memory, gpu):
    context.accounts[team] = cpu, memory, gpu
    context.weights[team] = weight


@then('the factors are "{factors}"')
def check_factors(context, factors):
    got = fair_shares.factor_by_team(
        context.accounts, context.weights, context.capacity
    )
    text = ", ".join(f"{team} {factor:.2f}" for team, factor in got.items())
    assert text == factors, text


@given("its team has had a quarter of its share")
def set_quarter_share(context):
    _set_factor(context, 0.25)


@given("its team has had {part:g} times its share")
def set_share(context, part):
    _set_factor(context, part)


def _set_factor(context, part):
    inputs = context.job_input_by_name
    inputs[context.last_job] = dataclasses.replace(
        inputs[context.last_job],
        share_factor=(part / fair_shares.TOLERANCE) ** fair_shares.EXPONENT,
    )


@given("a team that held {cpu:d} millicores on average and holds none")
def set_account(context, cpu):
    context.account = float(cpu), 0.0, 0.0


@then("after {seconds:g} s its account is {cpu:d} millicores")
def check_account(context, seconds, cpu):
    got = fair_shares.average_held(context.account, (0, 0, 0), seconds)
    assert round(got[0]) == cpu, got


@given(
    "{teams:d} teams of skewed sizes whose jobs ask {load:g} times a pool's"
    " room"
)
def set_load(context, teams, load):
    context.load, context.growth = load, 1
    context.parts = job_load.skewed_weights(teams, skew=1.0)


@given("the largest team's jobs are {growth:d} times as large")
def set_growth(context, growth):
    context.growth = growth


def _play(context, *, fair, growth):
    """Play the load with each seed; return the jobs of each play."""
    plays = []
    for seed in SEEDS:
        jobs, weights = job_load.make_jobs(
            seed,
            kind=job_load.SHORT,
            cpu=POOL_CPU,
            load=context.load,
            seconds=8.0,
            parts=context.parts,
        )
        for job in jobs:
            if job.team == LARGEST_TEAM:
                job.widen(growth)
        key = job_order.order_key
        job_load.Pool(POOL_CPU, weights, key, fair=fair).play(jobs)
        plays.append(jobs)
    return plays


def _both(context):
    """Return the plays with and without shares, played once a scenario."""
    if not hasattr(context, "plays"):
        context.plays = [
            _play(context, fair=fair, growth=context.growth)
            for fair in (True, False)
        ]
    return context.plays


def _mean(measure, plays):
    return statistics.mean(map(measure, plays))


@then("all jobs of all teams end in time in both orders")
def check_all_in_time(context):
    for plays in _both(context):
        got = _mean(job_load.worst_teams_in_time, plays)
        assert got == 1.0, got


@then("the worst tenth of the teams gets at least {gain:g} more in time")
def check_worst_teams(context, gain):
    fair, today = (
        _mean(job_load.worst_teams_in_time, plays) for plays in _both(context)
    )
    assert fair >= today + gain, (fair, today)


@then("at least {fraction:g} of the computed fair bound")
def check_bound(context, fraction):
    """Compare with a pool that is divided in any way, without run times.

    The weights are the teams' parts in the load, so a fair division gives
    each team the same part of its work until its last objective.
    """
    fair = _both(context)[0]
    got = _mean(job_load.worst_teams_in_time, fair)
    bound = _mean(job_load.room_for_work, fair)
    assert got >= fraction * bound, (got, bound)


@then("the total in time is at most {loss:g} less")
def check_total(context, loss):
    for measure in job_load.worth_in_time, job_load.fraction_in_time:
        fair, today = (_mean(measure, plays) for plays in _both(context))
        assert fair >= today - loss, (measure.__name__, fair, today)


@then(
    "the flood takes at most {most:g} from the others, and {gain:g} more today"
)
def check_flood(context, most, gain):
    def others(jobs):
        return job_load.fraction_in_time(
            [job for job in jobs if job.team != LARGEST_TEAM]
        )

    calm = _mean(others, _play(context, fair=False, growth=1))
    fair, today = (calm - _mean(others, plays) for plays in _both(context))
    assert fair <= most, (fair, today)
    assert today >= fair + gain, (fair, today)
