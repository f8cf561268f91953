import dataclasses

from behave import given
from behave import step
from behave import then
from behave import when

from azurevane._internal.models import task as task_models
from azurevane._internal.tasks import controller_lease
from support import task_faults
from support import task_world


@given(
    'a pool of {workers:d} workers and control daemons "{names}" with seed'
    " {seed:d}"
)
def make_pool(context, workers, names, seed):
    context.pool = task_world.TaskWorld(seed, names.split(","), None, workers)
    context.pool.run(6)


@step("{seconds:d} seconds pass in the pool")
def pass_time(context, seconds):
    context.pool.run(seconds)


@when("{count:d} tasks of {run_s:d} seconds are submitted")
def submit_many(context, count, run_s):
    for number in range(count):
        context.pool.submit(
            f"t{number}", cores=4.0, memory_gb=8.0, run_s=float(run_s)
        )


@when("the controller is killed")
def kill_controller(context):
    context.pool.kill_daemon(context.pool.placing_daemon())


@when("the controller is paused for {seconds:d} seconds")
def pause_controller(context, seconds):
    clock = context.pool.daemons[context.pool.placing_daemon()].clock
    clock.pause()
    context.pool.run(seconds)
    clock.resume()


@when("the controller is cut off from the store and another takes over")
def cut_controller(context):
    pool = context.pool
    context.previous_controller = pool.placing_daemon()
    service = pool.daemons[context.previous_controller].service
    context.placer = service.placer_by_pool["pool-1"]
    pool.cut_off.add(context.previous_controller)
    pool.run(6)
    assert context.placer.epoch < max(w._epoch for w in pool.workers.values())


@then("the table refuses a write of the previous controller")
def check_write_refused(context):
    registry = context.placer.control.tasks
    registry.extra_value_by_row["sizes/pool-1"] = {}
    batch = registry.next_batch(
        99,
        "late",
        controller_lease.fence_row("pool-1"),
        context.placer._fence_version,
    )
    applied, _ = context.pool.table.transact(
        batch.version_by_checked_row, batch.value_by_row
    )
    assert not applied


@then("every worker refuses a start of the previous controller")
def check_start_refused(context):
    for worker in context.pool.workers.values():
        body = {
            "pool": "pool-1",
            "epoch": context.placer.epoch,
            "task": "late",
            "attempt": 1,
        }
        assert not worker.command("start", body)


@then("every task is finished and none ran twice")
def check_finished(context):
    pool = context.pool
    assert set(pool.phases()) == {"finished"}, pool.phases()
    assert not pool.violations, pool.violations[:5]


@when("tasks for {seconds:d} seconds are submitted")
def submit_work(context, seconds):
    # 4 workers of 30 cores run 28 tasks of 4 cores at once.
    for number in range(28 * seconds // 90):
        context.pool.submit(f"t{number}", cores=4.0, memory_gb=8.0, run_s=90.0)


@when("the store is down for {seconds:d} seconds of work")
def store_down(context, seconds):
    pool = context.pool
    pool.faults.down = True
    before = len(pool.started_at)
    pool.advance(seconds, 0.1, pool.check)
    pool.faults.down = False
    context.started = len(pool.started_at) - before


def _unreported_starts(pool):
    """Return a worker with a start that no record and no report shows."""
    for worker in pool.workers.values():
        reported = {run["task_id"] for run in worker._last_report["running"]}
        for run in worker.running:
            unreported = run.task_id not in reported
            if unreported and pool.phase(run.task_id) == "queued":
                return worker
    return None


@when("the store is down until a worker and the controller fail after a start")
def fail_after_start(context):
    pool = context.pool
    pool.faults.down = True
    while (worker := _unreported_starts(pool)) is None:
        pool.run(0.05)
    worker.faults.unreachable = True
    pool.kill_daemon(pool.placing_daemon())
    pool.run(10)
    pool.faults.down = False


@then("a daemon places tasks")
def check_placing(context):
    assert context.pool.placing_daemon() is not None


@then("none ran twice")
def check_not_twice(context):
    pool = context.pool
    assert not pool.violations, pool.violations[:5]


@then("at least {ratio:f} of {seconds:d} seconds' work was done")
def check_outage(context, ratio, seconds):
    # 28 of the tasks had started before.
    due = 28 * seconds // 90 - 28
    assert context.started / due >= ratio, context.started / due


@when("half of the write answers are lost")
def lose_answers(context):
    context.pool.faults.lost_answer_rate = 0.5


@when('zone "{zone}" is taken out')
def take_zone_out(context, zone):
    context.pool.change_state(zones_out=(zone,))


def _start_to_send(pool):
    """Return a task whose start is recorded and isn't sent yet."""
    for task_id in pool.submitted:
        recorded = pool.phase(task_id) == "running"
        if recorded and task_id not in pool.started_at:
            return task_id
    return None


@when("tasks are submitted until one is recorded and about to start")
def submit_until_recorded(context):
    pool = context.pool
    daemon = pool.daemons[pool.placing_daemon()]
    for number in range(200):
        pool.submit(f"t{number}", cores=1.0, memory_gb=1.0, run_s=0.1)
        for _ in range(600):
            pool.advance(0.002, 0.002, pool.check)
            task_id = _start_to_send(pool)
            held = daemon.service.leases.active_lease(
                daemon.clock.seconds(), "pool-1"
            )
            left_s = held.confirmed_until - daemon.clock.seconds()
            if task_id is not None and left_s > 3.2:
                context.task_id = task_id
                return
    raise AssertionError("no start was about to be sent")


@when(
    "its zone is taken out and the controller is paused for {seconds:g}"
    " seconds"
)
def pause_before_start(context, seconds):
    pool = context.pool
    key = task_models.task_row("quoting", context.task_id)
    worker = pool.table.row_by_name[key][1]["worker"]
    zone = pool.state.manifest.host_by_name[worker].zone
    pool.change_state(zones_out=(zone,))
    clock = pool.daemons[pool.placing_daemon()].clock
    clock.pause()
    pool.advance(seconds, 0.05, pool.check)
    clock.resume()


@then("no task started in a zone over 3 seconds after it was taken out")
def check_zone(context):
    violations = context.pool.violations
    assert not violations, violations[:5]


@when('worker "{worker}" fails every task')
def fail_worker(context, worker):
    context.pool.workers[worker].faults.fail_all = True


@then('worker "{worker}" started at most {count:d} tasks')
def check_starts(context, worker, count):
    starts = context.pool.workers[worker].starts
    assert 3 <= len(starts) <= count, len(starts)


@when('a task "{task_id}" that always fails is submitted')
def submit_failing(context, task_id):
    context.pool.submit(task_id, actual={"fails": True})


@when('a task "{task_id}" of {cores:d} cores is submitted')
def submit_sized(context, task_id, cores):
    context.pool.submit(task_id, "shops", cores=float(cores))


@when('a task "{task_id}" is submitted')
def submit_one(context, task_id):
    context.pool.submit(task_id, run_s=20.0)


@when('an at-most-once task "{task_id}" is submitted')
def submit_once(context, task_id):
    context.pool.submit(task_id, run_s=20.0, at_most_once=True)


@then('task "{task_id}" is "{phase}" because of "{reason}"')
def check_reason(context, task_id, phase, reason):
    pool = context.pool
    assert pool.phase(task_id) == phase, pool.phase(task_id)
    assert reason in pool.detail(task_id), pool.detail(task_id)
    assert not pool.violations, pool.violations[:5]


@then('task "{task_id}" is finished')
def check_one(context, task_id):
    assert context.pool.phase(task_id) == "finished"


@when('the pool is full of tasks of team "{team}"')
def fill_pool(context, team):
    for number in range(60):
        context.pool.submit(
            f"f{number}", team, cores=7.0, memory_gb=8.0, run_s=50.0
        )
    context.pool.run(5)


@when(
    'an urgent task "{task_id}" of team "{team}" is submitted without faults'
)
def submit_urgent(context, task_id, team):
    context.pool.submit(task_id, team, cores=20.0, urgent=True)
    context.submitted_at = context.pool.clock.seconds()


@when(
    'an urgent task "{task_id}" of team "{team}" is submitted as the'
    " controller is killed"
)
def submit_urgent_killed(context, task_id, team):
    submit_urgent(context, task_id, team)
    kill_controller(context)


@then('task "{task_id}" starts within {seconds:f} seconds')
def check_start(context, task_id, seconds):
    context.pool.run(10)
    waited = context.pool.started_at[task_id] - context.submitted_at
    assert waited <= seconds, waited


@when("all tasks are cancelled")
def cancel_all(context):
    context.pool.cancel(list(context.pool.submitted))


@then("every task is cancelled")
def check_cancelled(context):
    assert set(context.pool.phases()) == {"cancelled"}, context.pool.phases()


@when("every worker that runs a task is cut off")
def cut_workers(context):
    for worker in context.pool.workers.values():
        if worker.running:
            worker.faults.unreachable = True


@when("small tasks are submitted continuously for {seconds:d} seconds")
def submit_continuously(context, seconds):
    for number in range(seconds):
        for index in range(4):
            context.pool.submit(f"s{number}-{index}", cores=2.0, run_s=30.0)
        context.pool.run(1)


@then('task "{task_id}" has started')
def check_started(context, task_id):
    assert task_id in context.pool.started_at


@when('team "{team}" may run {count:d} tasks')
def limit_team(context, team, count):
    manifest = context.pool.state.manifest
    teams = tuple(
        dataclasses.replace(item, task_limit=count)
        if item.name == team
        else item
        for item in manifest.teams
    )
    context.pool.change_state(
        manifest=dataclasses.replace(manifest, teams=teams)
    )
    context.pool.run(2)


@when("random faults run for {seconds:d} seconds with seed {seed:d}")
def run_faults(context, seconds, seed):
    teams = {"mills": (1.0, 12), "shops": (2.0, 12)}
    context.pool = task_world.TaskWorld(seed, teams=teams)
    context.fault_injector = task_faults.TaskFaultInjector(context.pool)
    context.fault_injector.run(seconds)


@then("every task has ended in an allowed phase")
def check_ended(context):
    pool = context.pool
    assert not pool.violations, pool.violations[:5]
    for task_id, task in pool.submitted.items():
        allowed = {"finished", "failed"}
        if task_id in context.fault_injector.cancelled:
            allowed.add("cancelled")
        if task.at_most_once:
            allowed.add("unknown")
        assert pool.phase(task_id) in allowed, (task_id, pool.phase(task_id))
