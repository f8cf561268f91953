"""Steps for the number of hosts that a load needs."""

import math
import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import host_packing
from azurevane._internal.policy import task_placement


@given("{count:d} hosts with {cpu:d} millicores and {memory:d} MB left")
def set_rooms(context, count, cpu, memory):
    context.rooms = [job_models.Capacity(cpu, memory, 0)] * count


@given("hosts of {cpu:d} millicores and {memory:d} MB")
def set_host(context, cpu, memory):
    set_host_with_accelerators(context, cpu, memory, 0)


@given(
    "hosts of {cpu:d} millicores and {memory:d} MB with {gpu:d} accelerators"
)
def set_host_with_accelerators(context, cpu, memory, gpu):
    context.host = job_models.Capacity(cpu, memory, gpu)


@then(
    "{count:d} tasks of {cpu:d} millicores and {memory:d} MB need {hosts:d}"
    " more hosts"
)
def check_needed(context, count, cpu, memory, hosts):
    check_needed_with_accelerators(context, count, cpu, memory, 0, hosts)


@then(
    "{count:d} tasks of {cpu:d} millicores and {memory:d} MB with {gpu:d}"
    " accelerators need {hosts:d} more hosts"
)
def check_needed_with_accelerators(context, count, cpu, memory, gpu, hosts):
    load = host_packing.Load(1, cpu, memory, gpu).scaled(count)
    rooms = getattr(context, "rooms", [])
    got = host_packing.hosts_needed(load, rooms, context.host)
    assert got == hosts, got


def _make_steps(seed):
    rng = random.Random(seed)
    steps = []
    for _ in range(rng.randint(10, 40)):
        cpu, memory = rng.choice(((3100, 8800), (6700, 14000)))
        need = job_models.Capacity(
            round(cpu * rng.lognormvariate(-0.1, 0.4)),
            round(memory * rng.lognormvariate(-0.15, 0.5)),
        )
        steps.append(job_models.Step(rng.randint(1, 12), need, 1.0))
    return steps


def _started(context, steps, host_count):
    """Return how many tasks start on that many hosts more."""
    capacities = [*context.rooms, *[context.host] * host_count]
    runners = [
        task_placement.RunnerCapacity(f"r{number}", "", frozenset(), capacity)
        for number, capacity in enumerate(capacities)
    ]
    requests = [
        task_placement.StepRequest(
            f"j{number}", 0, 0, "", step, tuple(range(step.count)), {}
        )
        for number, step in enumerate(steps)
    ]
    return len(task_placement.place_tasks(requests, runners, {}))


def _total(steps):
    load = host_packing.Load()
    for step in steps:
        need = host_packing.Load(1, step.need.cpu, step.need.memory)
        load += need.scaled(step.count)
    return load


def _hosts_by_processors(context, load):
    room = sum(room.cpu for room in context.rooms)
    return max(math.ceil((load.cpu - room) / context.host.cpu), 0)


def _least_hosts(context, load):
    """Return a bound that no packing of whole tasks can be below."""
    by_memory = load.memory - sum(room.memory for room in context.rooms)
    return max(
        _hosts_by_processors(context, load),
        math.ceil(by_memory / context.host.memory),
    )


@when("{count:d} loads of tasks of mixed needs are placed")
def place_loads(context, count):
    context.tasks = context.started = context.simple_started = 0
    context.hosts = context.least_hosts = 0
    for seed in range(count):
        steps = _make_steps(seed)
        load = _total(steps)
        hosts = host_packing.hosts_needed(load, context.rooms, context.host)
        context.tasks += round(load.tasks)
        context.started += _started(context, steps, hosts)
        context.simple_started += _started(
            context, steps, _hosts_by_processors(context, load)
        )
        context.hosts += hosts
        context.least_hosts += _least_hosts(context, load)


@then("at least {share:g} of the tasks start at once")
def check_started(context, share):
    assert context.started >= share * context.tasks, (
        context.started,
        context.tasks,
    )


@then("by processors alone at most {share:g} of the tasks do")
def check_simple(context, share):
    assert context.simple_started <= share * context.tasks, (
        context.simple_started,
        context.tasks,
    )


@then(
    "the hosts are at most {ratio:g} of those that no packing can do without"
)
def check_hosts(context, ratio):
    assert context.hosts <= ratio * context.least_hosts, (
        context.hosts,
        context.least_hosts,
    )
