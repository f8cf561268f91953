"""Steps about the admission of jobs by the entry hosts of a site."""

import json

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import admission
from azurevane._internal.models import job as job_models
from azurevane._internal.models import scheduling_settings
from azurevane._internal.models import site
from azurevane._internal.policy import admission as policy
from azurevane._internal.scheduler import admission_estimate
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.standins import site_platform
from support import freezable_process
from support import site_world

SETTINGS = scheduling_settings.SchedulingSettings(admission=True)


class AdmissionWorld(site_world.SiteWorld):
    """A site whose entry hosts admit jobs and can be frozen."""

    def __init__(self):
        super().__init__()
        self.process_by_name = {}

    def start_host(self, name, **limits):
        return super().start_host(name, scheduling=SETTINGS, **limits)

    def _make_process(self, name, callback_cost_s):
        process = freezable_process.FreezableProcess(self.clock)
        self.process_by_name[name] = process
        client = site_platform.SiteClient(self.platform, name, process)
        return client, process


@given(
    'a site with admission, service "{service}" on {count:d} hosts and queue'
    ' "{queue}"'
)
def step_site(context, service, count, queue):
    world = context.world = AdmissionWorld()
    world.add_service(service)
    world.add_queue(queue, service)
    world.add_machines(count, service)
    world.start()
    world.advance_time(1.0)
    context.queue = queue
    context.accepted, context.refused = [], {}
    context.numbers = iter(range(1, 1000))


def _submit(context, tasks=12, cores=8, host=None, job_id=None, **fields):
    job_id = job_id or f"{next(context.numbers):016x}"
    world = context.world
    phase = {
        "count": tasks,
        "cpu": 1000 * cores,
        "memMb": 100,
        "estimateMs": 2000,
        **fields,
    }
    names = sorted(world.host_by_name)
    host = host or names[int(job_id, 16) % len(names)]
    response = world.submit_job(context.queue, job_id, [phase], host=host)
    if response.status == 200:
        context.accepted.append(job_id)
    return job_id, response


@when(
    "jobs of {tasks:d} tasks of {cores:d} cores are submitted until {count:d}"
    " are refused"
)
def step_until_refused(context, tasks, cores, count):
    for _ in range(400):
        job_id, response = _submit(context, tasks, cores)
        if response.status != 200:
            context.refused[job_id] = response
        if len(context.refused) >= count:
            return
        context.world.advance_time(0.03)
    raise AssertionError(f"{len(context.refused)} refused")


@then("each of them got 429 with a whole Retry-After, as not run")
def step_refusals(context):
    for response in context.refused.values():
        assert response.status == 429, response
        assert isinstance(response.retry_after_s, int), response
        assert 1 <= response.retry_after_s <= 30, response
        assert b"not-run" in response.body, response


@then("none of them is stored or starts within {seconds:d} s")
def step_not_started(context, seconds):
    context.world.advance_time(seconds)
    stored = context.world.platform.store.keys(records.JOBS_TABLE)
    for job_id in context.refused:
        assert job_id not in stored, job_id
        assert not context.world.task_starts(job_id), job_id


@then("every accepted job ends")
def step_accepted_end(context):
    context.world.advance_time(60.0)
    states = {
        job_id: context.world.job_state(context.queue, job_id)
        for job_id in context.accepted
    }
    assert set(states.values()) == {"completed"}, states
    assert not context.world.tasks_run_twice()


@when(
    "{count:d} jobs of {tasks:d} tasks of {cores:d} cores are submitted, one"
    " every {pause:g} s"
)
def step_few(context, count, tasks, cores, pause):
    for _ in range(count):
        job_id, response = _submit(context, tasks, cores)
        if response.status != 200:
            context.refused[job_id] = response
        context.world.advance_time(pause)


@then("none is refused")
def step_none_refused(context):
    assert not context.refused, context.refused


@when("the leader is killed and no other host can lead")
def step_no_leader(context):
    world = context.world
    world.kill_host(world.leader_name)
    for host in world.host_by_name.values():
        host.candidate._resigned = True


@then("a job is accepted")
def step_accepted(context):
    _, response = _submit(context)
    assert response.status == 200, response


@then("every accepted job is known to the new leader")
def step_known(context):
    for _ in range(12):
        _submit(context)
        context.world.advance_time(0.3)
    world = context.world
    known = world.host_by_name[world.leader_name].leader.scheduler_state
    missing = set(context.accepted) - set(known.job_by_id)
    assert not missing, missing


@then("a repeat of the first accepted job gets 200 at every host")
def step_repeat(context):
    for host in context.world.host_by_name:
        _, response = _submit(context, host=host, job_id=context.accepted[0])
        assert response.status == 200, response


@when("a job is submitted whose write is carried out {delay:g} s late")
def step_late_write(context, delay):
    platform = context.world.platform
    platform.submission_delay_s = delay
    context.late_until = context.world.clock.seconds() + delay
    context.late_job, response = _submit(context)
    assert response.status == 504, response
    platform.submission_delay_s = 0.0


@when("it is submitted again and gets 429 before that write")
def step_late_again(context):
    world = context.world
    # The host that has just refused another job.
    names = sorted(world.host_by_name)
    host = names[int(next(iter(context.refused)), 16) % len(names)]
    _, response = _submit(context, host=host, job_id=context.late_job)
    assert response.status == 429, response
    assert world.clock.seconds() < context.late_until - 0.5


@then("it never started and isn't stored")
def step_never_started(context):
    stored = context.world.platform.store.keys(records.JOBS_TABLE)
    assert context.late_job not in stored
    assert not context.world.task_starts(context.late_job)


@then("the refused job is accepted at another host")
def step_accepted_later(context):
    job_id = next(iter(context.refused))
    names = sorted(context.world.host_by_name)
    host = names[(int(job_id, 16) + 1) % len(names)]
    context.came_back_at = context.world.clock.seconds()
    _, response = _submit(context, host=host, job_id=job_id)
    assert response.status == 200, response


@then("its position counts from its first attempt")
def step_position(context):
    job_id = next(iter(context.refused))
    value = context.world.platform.store.value(
        records.JOBS_TABLE, records.job_partition(job_id), job_id
    )
    accepted_at = json.loads(value)["accepted_at"] - 1e9
    assert accepted_at < context.came_back_at - 19.0, accepted_at


@then("the store has no row of its refusal")
def step_no_refusal(context):
    stored = context.world.platform.store.keys(records.JOBS_TABLE)
    for job_id in context.refused:
        assert job_id + records.REFUSED_SUFFIX not in stored, stored


@then("a long-running job is accepted")
def step_long_running(context):
    _, response = _submit(context, tasks=1, cores=1, longRunning=True)
    assert response.status == 200, response


@then("an accepted job's state is shown and it can be cancelled")
def step_read_and_cancel(context):
    world, job_id = context.world, context.accepted[0]
    assert world.job_state(context.queue, job_id) in ("running", "completed")
    response = world.send_request("DELETE", f"/{context.queue}/{job_id}")
    assert response.status == 200, response


@when("the store is away for one host")
def step_store_refuses(context):
    world = context.world
    context.away = next(
        name for name in world.host_by_name if name != world.leader_name
    )
    world.platform.store_down_for.add(context.away)


@then("that host answers 503 and another one accepts")
def step_other_accepts(context):
    _, response = _submit(context, host=context.away)
    assert response.status == 503, response
    other = next(
        name for name in context.world.host_by_name if name != context.away
    )
    _, response = _submit(context, host=other)
    assert response.status == 200, response


@when(
    "a host that doesn't lead is frozen for {seconds:g} s with its reads in"
    " transit"
)
def step_frozen(context, seconds):
    world = context.world
    context.frozen = next(
        name for name in world.host_by_name if name != world.leader_name
    )
    process = world.process_by_name[context.frozen]
    control = world.host_by_name[context.frozen].admission
    known = control._estimate.number
    process.frozen = True
    world.advance_time(seconds)
    process.thaw()
    # What had arrived meanwhile is handled first.
    assert control._estimate.number > known, "no read was in transit"


@then("until its next read it decides by no estimate")
def step_no_old_part(context):
    host = context.world.host_by_name[context.frozen]
    step = job_models.Step(12, job_models.Capacity(8000, 100), 2.0)
    job = job_models.Job(
        "f" * 16, "fit", "press", "north", "", (step,), 0, objective_s=3.8
    )
    admitted = host.admission.decide(job, None, 10.0)
    assert admitted.decision.reason is policy.Reason.OLD_ESTIMATE, admitted


@when(
    "a leader estimates {count:d} queues with a backlog, for at most"
    " {limit:d} bytes"
)
def step_many_queues(context, count, limit):
    state = state_module.SchedulerState(0.0)
    names = [f"service-{number}" for number in range(count)]
    state.config = site.SiteConfig(
        1,
        {name: site.Queue(name, "h", f"/{name}/", name) for name in names},
        {name: site.Service(name) for name in names},
        {},
        {},
        site.RequestLimits(),
    )
    step = job_models.Step(9, job_models.Capacity(8000, 100), 2.0)
    for number in range(8 * count):
        job = job_models.Job(
            f"{number:016x}",
            names[number % count],
            names[number % count],
            "",
            "",
            (step,),
            0.0,
            objective_s=3.0 + number / 40,
        )
        state.add_job(job, now=1.0, unix_now=0.0)
    estimator = admission_estimate.AdmissionEstimator(1, state, None, 1.5)
    context.whole = estimator.estimate(1.0, float("inf"))
    context.bounded = estimator.estimate(2.0, limit)


@then("some queues are published, and not all of them")
def step_some_published(context):
    whole, bounded = context.whole, context.bounded
    assert 0 < len(bounded.queues) < len(whole.queues) == 40, bounded
    assert set(bounded.index_by_queue.values()) == set(
        range(len(bounded.queues))
    ), bounded.index_by_queue


@then("the published form has at most {limit:d} bytes")
def step_published_size(context, limit):
    size = len(bytes(admission.encode_estimate(context.bounded)))
    assert size <= limit, size
