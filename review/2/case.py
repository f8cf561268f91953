"""Orders for idle machines get no answer; do their runners work again?"""

import review_site
from review_site import sleep
from twisted.internet import reactor

from azurevane._internal.standins import site_runner

OUTAGE_S = 5.0
MACHINES = 8
SPARE_MACHINES = 2
# The rule: from 6 s after a task's last run, for 3 s.
GRACE_S, WITHOUT_RUN_S = 6.0, 3.0
# Longer than contactMs, and than the calm that the rule asks for.
CALM_S = 8.0
OBSERVED_S = 15.0
LASTING_JOB = "5c0e7a21d94b36f8"


def plan_task(name, attempt):
    """Return how long a task runs, and what it needs."""
    if name.startswith(LASTING_JOB):
        return site_runner.TaskPlan(5000.0, "done", {"cpu": 2000})
    return site_runner.TaskPlan(4.0, "done", {"cpu": 16000})


async def scenario(site):
    """Return what broke the rule."""
    platform = site.platform
    platform.plan_task = plan_task
    platform.standby_pools.add("reserve")
    site.put_config(
        [
            {"name": "r-fit", "pathPrefix": "/fit/", "service": "press"},
            {"name": "r-last", "pathPrefix": "/last/", "service": "press"},
        ],
        [{"name": "press"}, {"name": "reserve", "standby": True}],
    )
    for number in range(MACHINES):
        rack = f"r1-{number // 4}"
        platform.add_host(f"m-{number}", "press", "east", rack)
    for number in range(SPARE_MACHINES):
        platform.add_host(f"s-{number}", "reserve", "east", "r2-0")
    for name in ("entry-1", "entry-2", "entry-3"):
        site.start_host(name)
    answer_call = platform._handle_hosts_call
    silent_until = [0.0]

    def handle_hosts_call(request):
        what = request.path.rsplit("/", 1)[1], request.body
        if reactor.seconds() < silent_until[0]:
            site.record.write("cloud", *what, "not answered, nothing done")
            return None
        if request.body:
            site.record.write("cloud", *what)
        return answer_call(request)

    platform._handle_hosts_call = handle_hosts_call
    await site.await_ready()
    phases = [{"count": 16, "cpu": 16000, "memMb": 1000, "estimateMs": 4000}]
    await site.submit("entry-1", "/fit/1111111111111111", phases)
    await sleep(5.0)
    if review_site.TROUBLE:
        silent_until[0] = reactor.seconds() + OUTAGE_S
        site.record.write("the machines' API is silent for", OUTAGE_S, "s")
    await sleep(OUTAGE_S + CALM_S)
    phases = [
        {
            "count": 5,
            "cpu": 2000,
            "memMb": 1000,
            "estimateMs": 700,
            "antiAffinity": 1,
            "longRunning": True,
        }
    ]
    await site.submit("entry-2", f"/last/{LASTING_JOB}", phases)
    await sleep(GRACE_S)
    return await find_tasks_without_run(site)


async def find_tasks_without_run(site):
    """Return the tasks that no runner runs for as long as the rule says."""
    names = [f"{LASTING_JOB}.0.0.{index}" for index in range(5)]
    without = dict.fromkeys(names, reactor.seconds())
    end = reactor.seconds() + OBSERVED_S
    late = set()
    while reactor.seconds() < end:
        runners = site.running_runners("press")
        running = {name for each in runners for name in each.task_by_name}
        for name in names:
            if name in running:
                without[name] = reactor.seconds()
            elif reactor.seconds() - without[name] > WITHOUT_RUN_S:
                late.add(name)
        await sleep(0.1)
    runners = site.running_runners("press")
    idle = sorted(each.id for each in runners if not each.task_by_name)
    site.record.write(
        "runners of the service:", len(runners), "without a task:", *idle
    )
    # Each of these would take the task: room, and no other of its step.
    if len(idle) < 2 * len(late):
        return []
    return [f"{name} has no run, though runners are idle" for name in late]


review_site.main(scenario, __file__)
