"""Steps for preemption."""

import dataclasses
import itertools
import random

from behave import given
from behave import then

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import preemption

NOW = 1000.0
NOTHING_FREE = job_models.Capacity()
NEED = job_models.Capacity(8000, 100, 0)


def _candidate(row, get):
    return preemption.Candidate(
        row["task"],
        int(row["priority"]),
        fills=get("kind") == "fills",
        long_running=get("kind") == "lasts",
        need=job_models.Capacity(int(row["cores"]) * 1000, 200, 0),
        lost_core_s=float(row["lost"]),
        stoppable=get("kind") != "gang",
        stopped_at=NOW - float(get("stopped") or 1000),
    )


def _add(context, runner, candidate, free=NOTHING_FREE):
    room = context.rooms.get(runner, preemption.Room(runner, free, ()))
    context.rooms[runner] = dataclasses.replace(
        room, candidates=(*room.candidates, candidate)
    )


@given("an urgent task of 8 cores and these runs")
def add_runs(context):
    context.rooms = {}
    for row in context.table:
        _add(context, row["runner"], _candidate(row, row.get))


@given('a runner "{runner}" with these runs')
def add_runner(context, runner):
    for row in context.table:
        _add(context, runner, _candidate(row, row.get))


@given(
    'a run "{task}" on "{runner}" that fills, of priority {priority:d}, losing'
    " {lost:g}"
)
def add_filler(context, task, runner, priority, lost):
    row = {"task": task, "cores": 0, "priority": priority, "lost": lost}
    free = job_models.Capacity(8000, 0, 0)
    candidate = _candidate(row, {"kind": "fills"}.get)
    _add(context, runner, candidate, free)


def _choose(context, *, now=NOW, long_running=False):
    return preemption.choose_victims(
        NEED, 0, list(context.rooms.values()), now, long_running=long_running
    )


@then('a short task stops "{task}"')
def check_short(context, task):
    _, victims = _choose(context)
    assert [victim.task for victim in victims] == [task], victims


@then('a long-running task stops "{task}"')
def check_long_running(context, task):
    _, victims = _choose(context, long_running=True)
    assert [victim.task for victim in victims] == [task], victims


@then('with "{runner}" alone a long-running task stops "{task}"')
def check_alone(context, runner, task):
    context.rooms = {runner: context.rooms[runner]}
    check_long_running(context, task)


@then('with "{runner}" alone a short task stops nothing')
def check_nothing(context, runner):
    context.rooms = {runner: context.rooms[runner]}
    assert _choose(context) is None


@then('a short task {seconds:g} s later stops "{task}"')
def check_later(context, seconds, task):
    _, victims = _choose(context, now=NOW + seconds)
    assert [victim.task for victim in victims] == [task], victims


@given("40 runners with 4 random runs of 4 cores each")
def add_random_runs(context):
    rng = random.Random(1)
    context.rooms = {}
    for runner, number in itertools.product(range(40), range(4)):
        row = {
            "task": f"{runner}.{number}",
            "cores": 4,
            "priority": 1,
            "lost": rng.uniform(1, 9),
        }
        _add(context, f"r{runner}", _candidate(row, {}.get))


@then("the work lost is the least of any two runs on one runner")
def check_least(context):
    _, victims = _choose(context)
    least = min(
        sum(run.lost_core_s for run in pair)
        for room in context.rooms.values()
        for pair in itertools.combinations(room.candidates, 2)
    )
    assert sum(victim.lost_core_s for victim in victims) == least
