"""Stand-in of a runner: tasks under leases, ends kept until seen."""

import dataclasses
from typing import Any

from twisted.internet import defer

from azurevane._internal.standins import site_store

Response = site_store.Response

# Tasks that run this long are taken for long-running ones, at work from
# their start.
_LASTING_S = 1000.0


@dataclasses.dataclass(slots=True)
class _Task:
    name: str
    attempt: int
    checkpoint: str
    ends_at: float
    began_at: float
    need: dict[str, int]
    how: str = "done"
    call: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class TaskPlan:
    """How long a task runs and how it ends; what it needs."""

    run_s: float
    how: str = "done"
    need: dict[str, int] = dataclasses.field(default_factory=dict)


class SiteRunner:
    """One life of a runner.

    Args:
        plan: returns the plan of a task by its name and attempt.
        record: called with (event, runner id, task, attempt).

    Attributes:
        reachable: whether calls arrive.
        lose_answers: number of coming orders whose answer is lost.
        delay_orders_s: orders are carried out this much later, unanswered.
        fails_all: whether all tasks that start end as failed at once.
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
        capacity: dict[str, int] | None = None,
        hold_max_s: float = 10.0,
        stop_s: float = 0.1,
        born_ms: int = 1_000,
    ) -> None:
        self._reactor = reactor
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.address = address
        self.rack = rack
        self._plan = plan
        self._record = record
        self.capacity = capacity or {"cpu": 32000, "memMb": 131072, "gpu": 0}
        self._hold_max_s = hold_max_s
        self._stop_s = stop_s
        self.born_ms = born_ms
        self._clock_from = reactor.seconds() - 100.0
        self.task_by_name: dict[str, _Task] = {}
        self._ended: list[list[Any]] = []
        self._last_number = 0
        self._fence = 0
        self._stopped_attempt: dict[str, int] = {}
        self._lease_until: float | None = None
        self._lease_call: Any = None
        self._waiting: list[defer.Deferred[None]] = []
        self.state = "ready"
        self.sequence = 0
        self.reachable = True
        self._ended_life = False
        self.lose_answers = 0
        self.delay_orders_s = 0.0
        self.fails_all = False
        self._still_since: float | None = None
        self.reject_status: int | None = None

    def entry(self) -> dict[str, Any]:
        """Return what the runner writes about itself."""
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
            "born": self.born_ms,
        }
        if self.state == "draining":
            entry["remainingMs"] = 2000
        return entry

    def _clock_ms(self) -> int:
        return round((self._reactor.seconds() - self._clock_from) * 1000)

    # The protocol.

    def handle(
        self, path: str, body: Any
    ) -> "Response | defer.Deferred[Response]":
        """Answer one call."""
        if self._ended_life:
            # An order that is carried out late finds no runner any more.
            return Response(404)
        if self.reject_status is not None:
            return Response(self.reject_status, None)
        if body["fencingToken"] < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body["fencingToken"]
        if path == "/azurevane/run-start":
            return self._start(body)
        if path == "/azurevane/run-stop":
            return self._stop(body)
        if path == "/azurevane/hold":
            return self._hold(body)
        if path == "/azurevane/pace":
            return self._answer(200)
        return Response(404)

    def _answer(self, status: int, **fields: Any) -> Response:
        return Response(
            status,
            {"clockMs": self._clock_ms(), "born": self.born_ms, **fields},
        )

    def _start(self, body: Any) -> Response:
        name, attempt = body["task"], body["attempt"]
        present = self.task_by_name.get(name)
        if present is not None and present.attempt == attempt:
            return self._answer(200)
        if attempt <= self._stopped_attempt.get(name, 0) or present:
            self._extend(body["expiresMs"])
            return self._answer(409, reason="old")
        if body["expiresMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        plan: TaskPlan = self._plan(name, attempt)
        if self.fails_all:
            plan = TaskPlan(0.05, "failed", plan.need)
        if not self._fits(plan.need):
            self._extend(body["expiresMs"])
            return self._answer(409, reason="room")
        now = self._reactor.seconds()
        task = _Task(
            name,
            attempt,
            body.get("checkpoint", ""),
            now + plan.run_s,
            now,
            plan.need,
            plan.how,
        )
        self.task_by_name[name] = task
        if self._still_since is None:
            task.call = self._reactor.callLater(
                plan.run_s, self._end, task, plan.how
            )
        self._record("start", self.id, name, attempt)
        self._extend(body["expiresMs"])
        return self._answer(200)

    def _fits(self, need: dict[str, int]) -> bool:
        for kind, amount in need.items():
            used = sum(
                task.need.get(kind, 0) for task in self.task_by_name.values()
            )
            if used + amount > self.capacity.get(kind, 0):
                return False
        return True

    def _end(self, task: _Task, how: str) -> None:
        if self.task_by_name.get(task.name) is not task:
            return
        del self.task_by_name[task.name]
        if task.call is not None and task.call.active():
            task.call.cancel()
        self._last_number += 1
        stopped = self._stopped_attempt.get(task.name, 0)
        self._stopped_attempt[task.name] = max(stopped, task.attempt)
        self._ended.append(
            [self._last_number, task.name, task.attempt, how, task.checkpoint]
        )
        self._record(how, self.id, task.name, task.attempt)
        waiting, self._waiting = self._waiting, []
        for wait in waiting:
            wait.callback(None)

    def _stop(self, body: Any) -> Response:
        name, attempt = body["task"], body["attempt"]
        task = self.task_by_name.get(name)
        if task is not None and task.attempt == attempt:
            if task.call is not None and task.call.active():
                task.call.cancel()
            task.call = self._reactor.callLater(
                self._stop_s, self._end, task, "stopped"
            )
        else:
            stopped = self._stopped_attempt.get(name, 0)
            self._stopped_attempt[name] = max(stopped, attempt)
        return self._answer(200)

    def _hold(self, body: Any) -> "Response | defer.Deferred[Response]":
        seen = body["lastSeen"]
        for row in self._ended:
            if row[0] <= seen:
                self._record(f"seen {row[3]}", self.id, row[1], row[2])
        self._ended = [row for row in self._ended if row[0] > seen]
        if body.get("expiresMs"):
            self._extend(body["expiresMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if self._ended or not wait_s:
            return self._lists()
        wait: defer.Deferred[None] = defer.Deferred()
        self._waiting.append(wait)
        wait.addTimeout(wait_s, self._reactor)
        wait.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        return wait.addCallback(lambda _: self._lists())

    def stand_still(self) -> None:
        """Let its tasks neither progress nor end by themselves."""
        self._still_since = self._reactor.seconds()
        for task in self.task_by_name.values():
            if task.call is not None and task.call.active():
                task.call.cancel()

    def _percent(self, task: _Task) -> int:
        if task.ends_at - task.began_at >= _LASTING_S:
            return 100
        now = self._reactor.seconds()
        if self._still_since is not None:
            now = max(self._still_since, task.began_at)
        share = (now - task.began_at) / (task.ends_at - task.began_at)
        return min(int(share * 100), 100)

    def _lists(self) -> Response:
        running = [
            [
                task.name,
                task.attempt,
                task.checkpoint,
                self._percent(task),
                0,
            ]
            for task in self.task_by_name.values()
        ]
        return self._answer(200, running=running, finished=self._ended[:500])

    def _extend(self, expires_ms: float) -> None:
        most = self._clock_ms() / 1000 + self._hold_max_s
        until = min(expires_ms / 1000, most)
        self._lease_until = max(self._lease_until or 0.0, until)
        if self._lease_call is not None and self._lease_call.active():
            self._lease_call.cancel()
        left = max(self._lease_until - self._clock_ms() / 1000, 0.0)
        self._lease_call = self._reactor.callLater(left, self._lapse)

    def _lapse(self) -> None:
        for task in list(self.task_by_name.values()):
            self._end(task, "lapsed")

    # Faults.

    def next_life(self, born_ms: int) -> "SiteRunner":
        """Return a runner that starts anew under the same id."""
        return SiteRunner(
            self._reactor,
            self.id,
            service=self.service,
            zone=self.zone,
            address=self.address,
            rack=self.rack,
            plan=self._plan,
            record=self._record,
            capacity=self.capacity,
            hold_max_s=self._hold_max_s,
            stop_s=self._stop_s,
            born_ms=born_ms,
        )

    def crash(self) -> None:
        """End at once with all tasks; nothing of it is known any more."""
        self.reachable = False
        self._ended_life = True
        for task in self.task_by_name.values():
            if task.call is not None and task.call.active():
                task.call.cancel()
            self._record("crashed", self.id, task.name, task.attempt)
        self.task_by_name.clear()
        if self._lease_call is not None and self._lease_call.active():
            self._lease_call.cancel()
