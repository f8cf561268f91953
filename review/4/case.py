"""The leader's open connections go silent while a job is cancelled."""

import uuid

import review_site
from review_site import sleep
from twisted.internet import reactor

from azurevane._internal.standins import site_runner
from azurevane._internal.standins import site_server

CANCEL_S = 3.0
CONTACT_S = 3.0
JOB = "c" * 16
TASK_S = 0.4
FEEDS = (b"op&", b"servers&", b"azurevane-jobs&")
SMALL = [{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 400}]


def allow_silent_connections():
    """Let connections of links drop all that is sent over them."""
    caller, target = (
        site_server._CallerConnection,
        site_server._TargetConnection,
    )
    receive, answer = caller.dataReceived, target.dataReceived

    def receive_unless_silent(self, data):
        self.request = data
        if not getattr(self, "silent", False):
            receive(self, data)

    def answer_unless_silent(self, data):
        if not getattr(self._caller, "silent", False):
            answer(self, data)

    caller.dataReceived = receive_unless_silent
    target.dataReceived = answer_unless_silent


def silence_some_connections(site, leader):
    """Let half of a host's connections to the store go silent.

    They are those that wait for changes of three of the tables.
    """
    connections = list(site.server.link_by_host[leader].connections)
    waiting = [
        connection
        for connection in connections
        if any(
            b"rows-feed?table=" + name in connection.request for name in FEEDS
        )
    ]
    for connection in waiting:
        connection.silent = True
    site.record.write(
        len(waiting), "of", len(connections), "connections silent", leader
    )


async def scenario(site):
    """Return what broke the rule."""
    platform = site.platform
    platform.plan_task = lambda name, attempt: site_runner.TaskPlan(
        TASK_S, "done", {"cpu": 7500 if name.startswith(JOB) else 100}
    )
    site.put_config(
        [{"name": "r-fit", "pathPrefix": "/fit/", "service": "press"}],
        [{"name": "press"}],
    )
    for number in range(4):
        rack = f"r1-{number // 4}"
        platform.add_host(f"m-{number}", "press", "east", rack)
    allow_silent_connections()
    names = ["entry-1", "entry-2", "entry-3"]
    for name in names:
        site.start_host(name)
    await site.await_ready()
    await sleep(3.0)
    leader = site.leader()
    other = next(name for name in names if name != leader)
    phases = [{"count": 400, "cpu": 7500, "memMb": 1000, "estimateMs": 400}]
    await site.submit(other, f"/fit/{JOB}", phases)
    for _ in range(8):
        await sleep(0.25)
        await site.submit(other, f"/fit/{uuid.uuid4().hex[:16]}", SMALL)
    began_at = reactor.seconds()
    if review_site.TROUBLE:
        silence_some_connections(site, leader)
    await sleep(0.05)
    status, _ = await site.call(other, "DELETE", f"/fit/{JOB}")
    acked_at = reactor.seconds()
    if status != 200:
        raise RuntimeError("the job wasn't cancelled")
    await sleep(10.0)
    site.record.write("leader then:", site.leader())
    bound = max(acked_at + CANCEL_S, began_at + CONTACT_S)
    return [
        f"{name}: run {attempt} began {at - acked_at:.2f} s after the ack"
        for at, event, _, name, attempt in platform.record
        if event == "start" and at > bound
    ]


review_site.main(scenario, __file__)
