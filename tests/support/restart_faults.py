"""Random restarts of runners beside other faults, and what must hold."""

import random

from azurevane._internal.standins import site_runner

RUN_TIMES_S = (0.05, 0.3, 1.0, 3.0, 8.0)
STEPS_S = (0.02, 0.05, 0.1, 0.3, 0.5)
TASK_COUNTS = (1, 5, 20, 60)


class RestartFaults:
    """Submits jobs to a site and disturbs its runners, leader and store.

    Attributes:
        job_ids: ids of the accepted jobs.
    """

    def __init__(self, world, queue, seed):
        self._world = world
        self._queue = queue
        self._random = random.Random(seed)
        # The entry hosts draw from the shared generator.
        random.seed(seed)
        self._submitted = 0
        self.job_ids = []
        world.platform.plan_task = lambda task, attempt: site_runner.TaskPlan(
            random.Random(f"{task} {attempt} {seed}").choice(RUN_TIMES_S)
        )

    def run(self, seconds):
        """Cause faults for a time, then end those that last."""
        actions = (
            [self._submit] * 9
            + [self._restart_runner] * 6
            + [self._cut_runner_off, self._reset_responses] * 2
            + [self._lose_responses, self._delay_responses]
            + [self._end_leader, self._take_store_down]
        )
        world = self._world
        end = world.clock.seconds() + seconds
        while world.clock.seconds() < end:
            world.advance_time(self._random.choice(STEPS_S))
            self._random.choice(actions)()
        world.platform.store_down = False
        for runner in world.platform.runner_by_address.values():
            runner.responses_until_reset = None
            runner.answers_to_lose = 0

    def _later(self, delays_s, target, name, value):
        delay_s = self._random.choice(delays_s)
        self._world.clock.callLater(delay_s, setattr, target, name, value)

    def _submit(self):
        self._submitted += 1
        job_id = f"{self._submitted:016x}"
        count = self._random.choice(TASK_COUNTS)
        phase = {"count": count, "cpu": 2000, "memMb": 1000}
        phase["estimateMs"] = 1000
        for host in list(self._world.host_by_name):
            if host not in self._world.host_by_name:
                # It ended while another one was asked.
                continue
            response = self._world.submit_job(
                self._queue, job_id, [phase], host=host
            )
            if response.status == 200:
                self.job_ids.append(job_id)
                return

    def _any_runner(self):
        runners = self._world.platform.runner_by_address.values()
        # The next incarnation of a crashed one is about to start.
        return self._random.choice([r for r in runners if not r.crashed])

    def _restart_runner(self):
        self._world.platform.restart_runner(
            self._any_runner(),
            restart_s=self._random.choice((0.0, 0.0, 0.1, 0.5)),
            entry_lag_s=self._random.choice((0.0, 0.5, 1.5, 4.0)),
        )

    def _cut_runner_off(self):
        runner = self._any_runner()
        if runner.reachable:
            runner.reachable = False
            self._later((0.3, 1.2, 3.0, 8.0, 20.0), runner, "reachable", True)

    def _reset_responses(self):
        runner = self._any_runner()
        runner.responses_until_reset = self._random.choice((0, 0, 1))
        self._later(
            (0.3, 1.2, 3.0, 8.0), runner, "responses_until_reset", None
        )

    def _lose_responses(self):
        self._any_runner().answers_to_lose = self._random.choice((1, 3, 10))

    def _delay_responses(self):
        runner = self._any_runner()
        runner.response_delay_s = self._random.choice((0.2, 0.8))
        self._later((1.0,), runner, "response_delay_s", 0.0)

    def _take_store_down(self):
        self._world.platform.store_down = True
        self._later((0.3, 1.0, 2.5), self._world.platform, "store_down", False)

    def _end_leader(self):
        world = self._world
        name = world.leader_name
        if name is None:
            return
        if self._random.random() < 0.5:
            self._replace_host(name)
        else:
            world.host_by_name[name].stop(lambda: self._replace_host(name))

    def _replace_host(self, name):
        world = self._world
        if name not in world.host_by_name:
            return
        world.kill_host(name)

        def start():
            if name not in world.host_by_name:
                world.start_host(name)

        world.clock.callLater(0.5, start)


def tasks_run_twice(platform):
    """Return tasks that ran twice at once or after an acknowledged end."""
    acknowledged = _acknowledged_ends(platform)
    running, done, twice = set(), set(), []
    for _, event, _, task, attempt in platform.record:
        if event == "start":
            if task in running or task in done:
                twice.append(task)
            running.add(task)
        elif not event.startswith("seen"):
            running.discard(task)
            if event == "done" and (task, attempt) in acknowledged:
                done.add(task)
    return twice


def _acknowledged_ends(platform):
    """Return (task, attempt) of the runs whose end as done was acknowledged.

    An end counts only if the runner's lease didn't expire between the end and
    its acknowledgement.
    """
    ended_at, acknowledged = {}, set()
    for at, event, runner, task, attempt in platform.record:
        if event == "done":
            ended_at[task, attempt] = at
        elif event == "seen done":
            since = ended_at[task, attempt]
            if not any(
                other == runner and since <= expired_at <= at
                for expired_at, other in platform.lease_expiries
            ):
                acknowledged.add((task, attempt))
    return acknowledged
