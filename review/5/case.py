"""A runner turns starts away; are the jobs that wait for it pending?"""

import review_site
from review_site import sleep
from twisted.internet import reactor

from azurevane._internal.standins import site_runner

# Of the pages: workers that fail all that they start, for 6.5 s.
GREY_S = 6.5
VISIBLE_S, COUNT_AGE_S = 3.0, 2.0
JOBS = 10
PHASES = [
    {
        "count": 1,
        "cpu": 2000,
        "memMb": 1000,
        "estimateMs": 500,
        "requirements": "b",
    }
]


async def scenario(site):
    """Return what broke the rule."""
    platform = site.platform
    platform.plan_task = lambda name, attempt: site_runner.TaskPlan(
        0.5, "done", {"cpu": 2000}
    )
    site.put_config(
        [{"name": "r-fit", "pathPrefix": "/fit/", "service": "press"}],
        [{"name": "press"}],
    )
    for number in range(8):
        rack = f"r1-{number // 4}"
        platform.add_host(f"m-{number}", "press", "east", rack)
    special = platform.host_by_name["m-7"].runner
    entry = special.entry
    special.entry = lambda: {**entry(), "labels": ["b", special.rack]}
    platform.register(special)
    names = ["entry-1", "entry-2", "entry-3"]
    for name in names:
        site.start_host(name)
    await site.await_ready()
    await sleep(3.0)
    grey_until = reactor.seconds() + (GREY_S if review_site.TROUBLE else 0.0)
    start_task = special._start_task

    def start_unless_grey(body):
        if reactor.seconds() < grey_until:
            site.record.write("runner", special.id, "503 to", body["task"])
            return site_runner.Response(503)
        return start_task(body)

    special._start_task = start_unless_grey
    for number in range(JOBS):
        await site.submit(names[number % 3], f"/fit/{number:016x}", PHASES)
    accepted_at = reactor.seconds()
    await sleep(VISIBLE_S + COUNT_AGE_S + 0.2)
    broken = []
    while reactor.seconds() - accepted_at < GREY_S - 0.3:
        for name in names:
            waiting = count_not_begun(platform)
            status, answer = await site.call(name, "GET", "/fit/")
            if status == 200 and answer["pending"] < waiting / 2:
                broken.append(
                    f"{name} shows {answer['pending']} pending jobs;"
                    f" {waiting} haven't begun"
                )
        await sleep(0.2)
    await sleep(3.0)
    site.record.write("jobs not begun at the end:", count_not_begun(platform))
    return broken


def count_not_begun(platform):
    """Return how many of the jobs have no task that was ever started."""
    begun = {
        name.split(".")[0]
        for _, event, _, name, _ in platform.record
        if event == "start"
    }
    return JOBS - len(begun)


review_site.main(scenario, __file__)
