"""Checks of what runners and hosts did in a series of leader changes."""

import collections

from support import site_world

ATTEMPTS = 3
RUNNER_CPU = 32000
# No task of a cancelled job starts later than this after the response.
CANCEL_S = 10.0


class RecordCheck:
    """Checks the starts and ends of tasks on all runners.

    Args:
        job_by_id: submitted jobs and what their callers know of them.
    """

    def __init__(self, job_by_id):
        self._job_by_id = job_by_id
        self._running_by_task = collections.defaultdict(dict)
        self._failed = collections.Counter()
        self._used = collections.Counter()
        self._noted_done = set()
        self._ended_done = set()
        self.problems = []

    def find_problems(self, record):
        """Return descriptions of the rules that a record breaks."""
        # An end counts as noted unless the lease lapsed before.
        noted = {entry[2:] for entry in record if entry[1] == "seen done"}
        for at, event, runner, task, attempt in record:
            if event == "start":
                what = f"{task} attempt {attempt} on {runner} at {at:.3f}"
                self._check_start(task, at, what)
                self._add_run(runner, task, what)
            elif not event.startswith("seen"):
                is_noted = (runner, task, attempt) in noted
                self._end_run(event, runner, task, is_noted=is_noted)
        return self.problems

    def _phase(self, task):
        job_id, _, step, _ = task.split(".")
        return self._job_by_id[job_id].phases[int(step)]

    def _check_start(self, task, at, what):
        job = self._job_by_id[task.partition(".")[0]]
        cancelled_at = job.cancel_accepted_at
        broken = {
            "TWICE, done": task in self._noted_done,
            "BUDGET": self._failed[task] >= ATTEMPTS,
            "REFUSED": job.refused,
            "ORDER": self._starts_too_early(job, self._phase(task)),
            "UNASKED": cancelled_at is not None
            and at > cancelled_at + CANCEL_S,
        }
        for rule, is_broken in broken.items():
            if is_broken:
                self.problems.append(f"{rule}: {what}")

    def _starts_too_early(self, job, phase):
        return any(
            f"{job.id}.0.{index}.{number}" not in self._ended_done
            for index in phase.get("after", ())
            for number in range(job.phases[index]["count"])
        )

    def _add_run(self, runner, task, what):
        cpu = self._phase(task)["cpu"]
        others = list(self._running_by_task[task])
        if others:
            self.problems.append(f"TWICE: {what}, runs on {others}")
        self._running_by_task[task][runner] = cpu
        self._used[runner] += cpu
        if self._used[runner] > RUNNER_CPU:
            self.problems.append(f"LIMIT: {what}: {self._used[runner]}")

    def _end_run(self, event, runner, task, *, is_noted):
        cpu = self._running_by_task[task].pop(runner, 0)
        self._used[runner] -= cpu
        self._failed[task] += event == "failed"
        long_running = self._phase(task).get("longRunning")
        if event == "done" and not long_running:
            self._ended_done.add(task)
            if is_noted:
                self._noted_done.add(task)


def check_host_commands(host_commands):
    problems, last_by_host = [], {}
    for at, _, host, holder, token in host_commands:
        previous = last_by_host.get(host)
        if previous is not None:
            gap_s = at - previous[0]
            if (
                holder != previous[1]
                and gap_s <= site_world.BOUNDS.host_lease_s
            ):
                problems.append(
                    f"ONE: {host} at {at:.3f} from {holder} ({token}),"
                    f" {gap_s:.3f} s after {previous[1]} ({previous[2]})"
                )
            if token < previous[2]:
                problems.append(
                    f"ONE: {host} at {at:.3f}: {token} after {previous[2]}"
                )
        last_by_host[host] = at, holder, token
    return problems
