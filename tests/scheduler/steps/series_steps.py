"""Steps about series of leader changes, and about single findings of them."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.standins import site_runner
from support import series_run
from support import site_world

RUNNER_CPU = 32000


@when("the series of leader changes of seed {seed:d} is run")
def step_series(context, seed):
    context.problems = series_run.SeriesRun(seed).run()


@then("no rule is broken")
def step_no_problem(context):
    assert not context.problems, "\n".join(context.problems)


@given("{count:d} runners that start whatever they are told to")
def step_unguarded(context, count):
    world = context.world = site_world.SiteWorld()
    context.queue = "grind"
    world.add_service("mill", constraints=False)
    world.add_queue(context.queue, "mill")
    for number in range(count):
        world.platform.add_host(
            f"m-{number}", "mill", "east", "r0", guards_capacity=False
        )
    world.start()
    context.lasting_jobs = set()

    def plan_task(task, attempt):
        job_id = task.partition(".")[0]
        run_s = 5000.0 if job_id in context.lasting_jobs else 6.0
        need = {"cpu": context.cpu_by_job[job_id]}
        return site_runner.TaskPlan(run_s, "done", need)

    world.platform.plan_task = plan_task
    context.cpu_by_job = {}


@given("{count:d} host on standby")
def step_standby_host(context, count):
    world = context.world
    world.config["version"] += 1
    world.add_service("reserve", standby=True)
    world.put_config()
    world.add_machines(count, "reserve")


@when('job "{job_id}" of {count:d} tasks of {cpu:d} millicores is submitted')
def step_submit_sized(context, job_id, count, cpu):
    _submit(context, job_id, count, cpu)


@when(
    'long-running job "{job_id}" of {count:d} tasks of {cpu:d} millicores is'
    " submitted"
)
def step_submit_lasting(context, job_id, count, cpu):
    context.lasting_jobs.add(job_id)
    _submit(context, job_id, count, cpu, longRunning=True)


def _submit(context, job_id, count, cpu, **fields):
    context.cpu_by_job[job_id] = cpu
    phase = {"count": count, "cpu": cpu, "memMb": 100, "estimateMs": 1000}
    phase.update(fields)
    response = context.world.submit_job(context.queue, job_id, [phase])
    assert response.status == 200, response


@when("the runner with tasks can't be reached for {seconds:g} s")
def step_unreachable_for(context, seconds):
    world = context.world
    runners = world.platform.runner_by_address.values()
    (runner,) = [runner for runner in runners if runner.task_by_name]
    runner.reachable = False
    world.clock.callLater(seconds, setattr, runner, "reachable", True)


@then('task "{task}" has started {count:d} times')
def step_started_times(context, task, count):
    starts = context.world.task_starts(task)
    assert len(starts) == count, starts


@then("no runner was over its capacity")
def step_within_capacity(context):
    used_by_runner = {}
    for at, event, runner, task, _ in context.world.platform.record:
        cpu = context.cpu_by_job[task.partition(".")[0]]
        used = used_by_runner.setdefault(runner, {})
        if event == "start":
            used[task] = cpu
            assert sum(used.values()) <= RUNNER_CPU, (at, runner, used)
        elif not event.startswith("seen"):
            used.pop(task, None)


@given("takeovers aren't spread")
def step_no_jitter(context):
    for host in context.world.host_by_name.values():
        host.candidate._view._delay_with_jitter_s = 0.0


@given("every fourth task runs {short_s:g} s, the others {long_s:g} s")
def step_mixed_tasks(context, short_s, long_s):
    context.world.platform.plan_task = lambda task, attempt: (
        site_runner.TaskPlan(
            long_s if int(task.rpartition(".")[2]) % 4 else short_s
        )
    )


@when("the leader reaches neither the store nor other hosts")
def step_leader_without_store(context):
    world = context.world
    context.previous_leader = world.leader_name
    world.platform.store_silent_for.add(context.previous_leader)
    address = str(world._address(context.previous_leader))
    world.platform.entry_host_by_address[address] = lambda question: None


@when("the host that takes over is told to stop at once")
def step_stop_next_leader(context):
    world = context.world
    while True:
        names = [
            name
            for name, host in world.host_by_name.items()
            if host.leader is not None and name != context.previous_leader
        ]
        if names:
            break
        world.advance_time(site_world.STEP_S)
    host = world.host_by_name[names[0]]
    host.stop(lambda: world.kill_host(names[0]))
