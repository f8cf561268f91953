"""Stand-in for a runner, which runs tasks under leases.

The end of a task is reported until the leader has acknowledged it.
"""

import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import error as twisted_error

from azurevane._internal.standins import site_store

Response = site_store.Response

# Tasks with at least this run time count as long-running: they serve from
# their start and report a progress of 100 %.
_LONG_RUNNING_MIN_S = 1000.0
# Event of a runner, of none of its tasks.
LEASE_EXPIRED = "lease expired"
# Outcome of a task that crashes its runner.
CRASH = "crash"
# Event of a start beyond the capacity of a runner that doesn't guard it.
OVER_CAPACITY = "over capacity"
# A capacity that has shrunk counts this much later: the time for which a
# leader may be out of touch, and one heartbeat.
SHRUNK_CAPACITY_GRACE_S = 4.5


@dataclasses.dataclass(slots=True)
class _Task:
    name: str
    attempt: int
    checkpoint: str
    ends_at: float
    started_at: float
    need: dict[str, int]
    outcome: str = "done"
    timer: Any = None
    stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskPlan:
    """Run time, outcome and resource needs of a task."""

    run_s: float
    outcome: str = "done"
    need: dict[str, int] = dataclasses.field(default_factory=dict)


class SiteRunner:
    """One incarnation of a runner.

    Args:
        plan: returns the plan of a task by its name and attempt.
        record: called with (event, runner id, task, attempt).
        crash_by_task: called with this runner when one of its tasks crashes
            it; ``crash`` if None.
        clock_rate: seconds of the runner's clock in one second.
        guards_capacity: whether a start beyond the capacity is rejected.
        accepts_ticket: called with the names of a task and this runner and
            the start's ticket; whether the start is allowed.

    Attributes:
        reachable: whether calls reach the runner.
        crashed: whether this incarnation has ended.
        answers_to_lose: number of next commands whose answer is lost.
        responses_until_reset: number of next responses that arrive; the
            calls after those are executed and their connections reset. None
            if all arrive.
        unreachable_from: names of entry hosts whose calls don't arrive.
        command_delay_s: commands are executed this much later, without an
            answer.
        stop_s: time that it takes to stop a task.
        response_delay_s: responses to commands arrive this much later, also
            after a crash.
        slowness: multiple of the planned time that tasks take.
        turns_starts_away: whether starts are answered with 503.
        fails_all_tasks: whether every task that starts fails after 0.05 s.
        resets_connections: whether connections are reset and refused once
            the process has ended, as on a host that has power.
        poll_count: number of polls that it carried out.
        peer: queues the calls, each of which then takes ``call_s``; None if
            they are carried out at once.
    """

    def __init__(
        self,
        reactor: Any,
        runner_id: str,
        *,
        service: str,
        zone: str,
        address: str,
        rack: str,
        plan: Any,
        record: Any,
        crash_by_task: Any = None,
        capacity: dict[str, int] | None = None,
        lease_max_s: float = 10.0,
        stop_s: float = 0.1,
        started_at_ms: int = 1_000,
        clock_rate: float = 1.0,
        guards_capacity: bool = True,
        accepts_ticket: Any = lambda task, runner, ticket: True,
    ) -> None:
        self._reactor = reactor
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.address = address
        self.rack = rack
        self._plan = plan
        self._record = record
        self._crash_by_task = crash_by_task
        self.capacity = capacity or {"cpu": 32000, "memMb": 131072, "gpu": 0}
        # Earlier capacities, each with the time until which it counts.
        self._earlier_capacities: list[tuple[float, dict[str, int]]] = []
        self._lease_max_s = lease_max_s
        self.stop_s = stop_s
        self.started_at_ms = started_at_ms
        self._clock_rate = clock_rate
        self._guards_capacity = guards_capacity
        self._accepts_ticket = accepts_ticket
        self._clock_zero = reactor.seconds() - 100.0
        self.task_by_name: dict[str, _Task] = {}
        self._unseen_ends: list[list[Any]] = []
        self._last_end_number = 0
        # Ends up to this number were unseen when the lease lapsed.
        self._lapsed_end_number = 0
        self._highest_token = 0
        self._ended_attempt_by_task: dict[str, int] = {}
        self._lease_expires_at: float | None = None
        self._lease_timer: Any = None
        self._waiting_holds: list[defer.Deferred[None]] = []
        self.state = "ready"
        self.sequence = 0
        self.reachable = True
        self.crashed = False
        self.answers_to_lose = 0
        self.responses_until_reset: int | None = None
        self.unreachable_from: set[str] = set()
        self.command_delay_s = 0.0
        self.response_delay_s = 0.0
        self.slowness = 1.0
        self.turns_starts_away = False
        self.fails_all_tasks = False
        self.resets_connections = False
        self.poll_count = 0
        self.peer: Any = None
        self.call_s = 0.0
        self._stalled_since: float | None = None
        self.reject_status: int | None = None

    def entry(self) -> dict[str, Any]:
        """Return the runner's entry for the table of runners."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "warmupLeftMs": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clockMs": self._clock_ms(),
            "sequence": self.sequence,
            "born": self.started_at_ms,
        }
        if self.state == "draining":
            entry["remainingMs"] = 2000
        return entry

    def is_reachable_from(self, entry_host: str) -> bool:
        """Whether an entry host's calls reach the runner."""
        return self.reachable and entry_host not in self.unreachable_from

    def _clock_ms(self) -> int:
        elapsed_s = self._reactor.seconds() - self._clock_zero
        return round(elapsed_s * self._clock_rate * 1000)

    # HTTP API.

    def handle_request(
        self, path: str, body: Any
    ) -> "Response | defer.Deferred[Response]":
        """Return the response to a call, possibly deferred."""
        if self.crashed:
            # A delayed command may arrive after the runner has crashed.
            return Response(404)
        if self.reject_status is not None:
            return Response(self.reject_status, None)
        if body["fencingToken"] < self._highest_token:
            return self._answer(409, reason="fence")
        self._highest_token = body["fencingToken"]
        if path == "/azurevane/run-start":
            return self._start_task(body)
        if path == "/azurevane/run-stop":
            return self._stop_task(body)
        if path == "/azurevane/hold":
            return self._hold_leases(body)
        if path == "/azurevane/pace":
            return self._answer(200)
        return Response(404)

    def _answer(self, status: int, **fields: Any) -> Response:
        return Response(
            status,
            {
                "clockMs": self._clock_ms(),
                "born": self.started_at_ms,
                **fields,
            },
        )

    def _start_task(self, body: Any) -> Response:
        if self.turns_starts_away:
            return Response(503)
        name, attempt = body["task"], body["attempt"]
        existing = self.task_by_name.get(name)
        if existing is not None and existing.attempt == attempt:
            return self._answer(200)
        if attempt <= self._ended_attempt_by_task.get(name, 0) or existing:
            self._extend_leases(body["expiresMs"])
            return self._answer(409, reason="old")
        if body["expiresMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        if not self._accepts_ticket(name, self.id, body.get("ticket", "")):
            return self._answer(409, reason="ticket")
        plan: TaskPlan = self._plan(name, attempt)
        if self.fails_all_tasks:
            plan = TaskPlan(0.05, "failed", plan.need)
        if self._guards_capacity and not self._has_capacity(plan.need):
            self._extend_leases(body["expiresMs"])
            return self._answer(409, reason="room")
        now = self._reactor.seconds()
        task = _Task(
            name,
            attempt,
            body.get("checkpoint", ""),
            now + plan.run_s * self.slowness,
            now,
            plan.need,
            plan.outcome,
        )
        self.task_by_name[name] = task
        if self._stalled_since is None:
            task.timer = self._reactor.callLater(
                plan.run_s * self.slowness,
                self._end_task,
                task,
                plan.outcome,
            )
        self._record("start", self.id, name, attempt)
        if self._is_over_capacity(plan.need):
            self._record(OVER_CAPACITY, self.id, name, attempt)
        self._extend_leases(body["expiresMs"])
        return self._answer(200)

    def change_capacity(self, capacity: dict[str, int]) -> None:
        """Change the capacity that the next entry shows."""
        counts_until = self._reactor.seconds() + SHRUNK_CAPACITY_GRACE_S
        self._earlier_capacities.append((counts_until, self.capacity))
        self.capacity = capacity

    def _is_over_capacity(self, need: dict[str, int]) -> bool:
        """Whether the tasks exceed every capacity that counts now."""
        now = self._reactor.seconds()
        counting = [self.capacity] + [
            capacity
            for counts_until, capacity in self._earlier_capacities
            if now < counts_until
        ]
        return any(
            self._used(kind) > max(each.get(kind, 0) for each in counting)
            for kind in need
        )

    def _used(self, kind: str) -> int:
        tasks = self.task_by_name.values()
        return sum(task.need.get(kind, 0) for task in tasks)

    def _has_capacity(self, need: dict[str, int]) -> bool:
        return all(
            self._used(kind) + amount <= self.capacity.get(kind, 0)
            for kind, amount in need.items()
        )

    def _end_task(self, task: _Task, outcome: str) -> None:
        if self.task_by_name.get(task.name) is not task:
            return
        if outcome == CRASH:
            if self._crash_by_task is None:
                self.crash()
            else:
                self._crash_by_task(self)
            return
        del self.task_by_name[task.name]
        if task.timer is not None and task.timer.active():
            task.timer.cancel()
        self._last_end_number += 1
        stopped = self._ended_attempt_by_task.get(task.name, 0)
        self._ended_attempt_by_task[task.name] = max(stopped, task.attempt)
        self._unseen_ends.append(
            [
                self._last_end_number,
                task.name,
                task.attempt,
                outcome,
                task.checkpoint,
            ]
        )
        self._record(outcome, self.id, task.name, task.attempt)
        waiting, self._waiting_holds = self._waiting_holds, []
        for wait in waiting:
            wait.callback(None)

    def _stop_task(self, body: Any) -> Response:
        name, attempt = body["task"], body["attempt"]
        task = self.task_by_name.get(name)
        if task is not None and task.attempt == attempt:
            if task.timer is not None and task.timer.active():
                task.timer.cancel()
            task.stopping = True
            task.timer = self._reactor.callLater(
                self.stop_s, self._end_task, task, "stopped"
            )
        else:
            stopped = self._ended_attempt_by_task.get(name, 0)
            self._ended_attempt_by_task[name] = max(stopped, attempt)
        return self._answer(200)

    def _hold_leases(self, body: Any) -> "Response | defer.Deferred[Response]":
        self.poll_count += 1
        seen = body["lastSeen"]
        for row in self._unseen_ends:
            if row[0] <= seen:
                in_time = row[0] > self._lapsed_end_number
                event = f"seen {row[3]}" if in_time else "seen late"
                self._record(event, self.id, row[1], row[2])
        self._unseen_ends = [row for row in self._unseen_ends if row[0] > seen]
        if body.get("expiresMs"):
            self._extend_leases(body["expiresMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if self._unseen_ends or not wait_s:
            return self._list_tasks()
        wait: defer.Deferred[None] = defer.Deferred()
        self._waiting_holds.append(wait)
        wait.addTimeout(wait_s, self._reactor)
        wait.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        return wait.addCallback(lambda _: self._list_tasks())

    def stall_tasks(self) -> None:
        """Stall all tasks: they make no progress and don't finish."""
        self._stalled_since = self._reactor.seconds()
        for task in self.task_by_name.values():
            if task.timer is not None and task.timer.active():
                task.timer.cancel()

    def _progress_percent(self, task: _Task) -> int:
        if task.ends_at - task.started_at >= _LONG_RUNNING_MIN_S:
            return 100
        now = self._reactor.seconds()
        if self._stalled_since is not None:
            now = max(self._stalled_since, task.started_at)
        done_share = (now - task.started_at) / (task.ends_at - task.started_at)
        return min(int(done_share * 100), 100)

    def _list_tasks(self) -> Response:
        running = [
            [
                task.name,
                task.attempt,
                task.checkpoint,
                self._progress_percent(task),
                0,
            ]
            for task in self.task_by_name.values()
        ]
        return self._answer(
            200, running=running, finished=self._unseen_ends[:500]
        )

    def _extend_leases(self, expires_ms: float) -> None:
        latest = self._clock_ms() / 1000 + self._lease_max_s
        expires_at = min(expires_ms / 1000, latest)
        self._lease_expires_at = max(self._lease_expires_at or 0.0, expires_at)
        if self._lease_timer is not None and self._lease_timer.active():
            self._lease_timer.cancel()
        remaining_s = max(
            self._lease_expires_at - self._clock_ms() / 1000, 0.0
        )
        self._lease_timer = self._reactor.callLater(
            remaining_s / self._clock_rate, self._expire_leases
        )

    def _expire_leases(self) -> None:
        self._record(LEASE_EXPIRED, self.id, "", 0)
        for task in list(self.task_by_name.values()):
            self._end_task(task, "lapsed")
        self._lapsed_end_number = self._last_end_number

    # Faults.

    def next_incarnation(self, started_at_ms: int) -> "SiteRunner":
        """Return a restarted runner under the same id."""
        return SiteRunner(
            self._reactor,
            self.id,
            service=self.service,
            zone=self.zone,
            address=self.address,
            rack=self.rack,
            plan=self._plan,
            record=self._record,
            crash_by_task=self._crash_by_task,
            capacity=self.capacity,
            lease_max_s=self._lease_max_s,
            stop_s=self.stop_s,
            started_at_ms=started_at_ms,
            clock_rate=self._clock_rate,
            guards_capacity=self._guards_capacity,
            accepts_ticket=self._accepts_ticket,
        )

    def crash(self) -> None:
        """Crash: all tasks end and unacknowledged ends are lost."""
        self.reachable = False
        self.crashed = True
        for task in self.task_by_name.values():
            if task.timer is not None and task.timer.active():
                task.timer.cancel()
            self._record("crashed", self.id, task.name, task.attempt)
        self.task_by_name.clear()
        if self.resets_connections:
            waiting, self._waiting_holds = self._waiting_holds, []
            for wait in waiting:
                wait.errback(twisted_error.ConnectionLost())
        if self._lease_timer is not None and self._lease_timer.active():
            self._lease_timer.cancel()
