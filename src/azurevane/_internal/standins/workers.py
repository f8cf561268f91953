"""In-memory workers that run tasks under leases."""

import dataclasses
from typing import Any

import msgspec
from twisted.internet import interfaces


@dataclasses.dataclass(frozen=True)
class Resources:
    """Amount of processors, memory and accelerators."""

    cores: float
    memory_gb: float
    accelerators: float = 0.0


@dataclasses.dataclass
class WorkerFaults:
    """Faults and delays of a worker.

    Attributes:
        fail_all: every started task fails immediately.
        unreachable: commands get no answer; the last report is repeated.
        usage_lag_s: time from a task's start until its usage is reported.
        checkpoint_s: duration of a checkpoint.
    """

    fail_all: bool = False
    unreachable: bool = False
    usage_lag_s: float = 5.0
    checkpoint_s: float = 0.5


@dataclasses.dataclass
class Run:
    """One execution of a task.

    Attributes:
        remaining_s: remaining run time at full speed.
        throttle: speed limit as a part of full speed.
        stops_at: time when a requested checkpoint is complete.
    """

    task_id: str
    attempt: int
    epoch: int
    used: Resources
    remaining_s: float
    lease_expires_at: float
    started_at: float
    fails: bool
    throttle: float = 1.0
    stops_at: float = float("inf")


class MemoryWorker:
    """One worker, which rejects commands with an outdated epoch.

    Tasks slow down when they use more processors than the worker has.
    When memory runs out, the newest task is checkpointed.
    """

    def __init__(
        self,
        name: str,
        reactor: interfaces.IReactorTime,
        capacity: Resources | None = None,
    ) -> None:
        self.name = name
        self.capacity = capacity or Resources(30.0, 130.0)
        self.faults = WorkerFaults()
        self.paused = False
        self.starts: list[tuple[str, int]] = []
        self._reactor = reactor
        self._advanced_at = reactor.seconds()
        self._sequence = 0
        self._last_report: dict[str, Any] = {}
        self.restart()

    def restart(self) -> None:
        """Lose all local state, as after a crash of the worker."""
        self._pool = ""
        self._assignment = 0
        self._epoch = 0
        self._run_by_task: dict[str, Run] = {}
        self._ended_by_task: dict[str, dict[str, Any]] = {}
        self._highest_attempt_by_task: dict[str, int] = {}

    @property
    def running(self) -> list[Run]:
        """Current runs."""
        self.advance_to_now()
        return list(self._run_by_task.values())

    @property
    def available(self) -> bool:
        """Whether commands reach the worker."""
        return not self.paused and not self.faults.unreachable

    def pause(self) -> None:
        """Suspend the worker, as SIGSTOP does."""
        self.advance_to_now()
        self.paused = True

    def resume(self) -> None:
        """Resume the worker; tasks whose lease expired meanwhile end."""
        self._advanced_at = self._reactor.seconds()
        self.paused = False
        self.advance_to_now()

    def command(self, call: str, body: dict[str, Any]) -> bool:
        """Execute a command; return whether it was accepted.

        Raises:
            LookupError: the command is unknown.
        """
        self.advance_to_now()
        if call in ("fence", "renew", "forget"):
            return bool(getattr(self, f"_{call}")(body))
        if call not in ("start", "stop", "throttle"):
            raise LookupError(call)
        if body["pool"] != self._pool or body["epoch"] < self._epoch:
            return False
        if call == "start":
            return self._start_task(body)
        run = self._run_by_task.get(body["task"])
        if run is not None and run.attempt == body["attempt"]:
            self._throttle_or_stop(run, call, body)
        return True

    def _throttle_or_stop(
        self, run: Run, call: str, body: dict[str, Any]
    ) -> None:
        if call == "throttle":
            run.throttle = body["part"]
        elif body["checkpoint"]:
            stops_at = self._advanced_at + self.faults.checkpoint_s
            run.stops_at = min(run.stops_at, stops_at)
        else:
            self._end_run(run, "cancelled")

    def _forget(self, body: dict[str, Any]) -> bool:
        for task_id, attempt in body["attempts"].items():
            ended = self._ended_by_task.get(task_id)
            if ended is not None and ended["attempt"] <= attempt:
                del self._ended_by_task[task_id]
        return True

    def _fence(self, body: dict[str, Any]) -> bool:
        assignment = body["assignment"]
        if assignment < self._assignment:
            return False
        if body["pool"] != self._pool:
            # A worker changes its pool only with a newer assignment.
            if self._pool and assignment == self._assignment:
                return False
            self._pool = body["pool"]
            self._epoch = body["epoch"]
        if body["epoch"] < self._epoch:
            return False
        self._epoch = body["epoch"]
        self._assignment = assignment
        return True

    def _start_task(self, body: dict[str, Any]) -> bool:
        if self._epoch == 0:
            return False
        task_id = body["task"]
        attempt = body["attempt"]
        if attempt <= self._highest_attempt_by_task.get(task_id, 0):
            return True
        self._highest_attempt_by_task[task_id] = attempt
        self.starts.append((task_id, attempt))
        self._ended_by_task.pop(task_id, None)
        actual = msgspec.json.decode(body.get("payload") or "{}")
        size = Resources(
            actual.get("cores", body["cores"]),
            actual.get("memory_gb", body["memory_gb"]),
            body["accelerators"],
        )
        run_s = actual.get("run_s", body["run_s"])
        if body["remaining_s"] >= 0:
            run_s = body["remaining_s"]
        run = Run(
            task_id,
            attempt,
            body["epoch"],
            size,
            run_s,
            self._advanced_at + body["lease_s"],
            self._advanced_at,
            self.faults.fail_all or actual.get("fails", False),
        )
        if run.fails:
            run.remaining_s = min(run.remaining_s, 0.05)
        self._run_by_task[task_id] = run
        self._evict_newest()
        return True

    def _evict_newest(self) -> None:
        while self._run_by_task:
            used = sum(r.used.memory_gb for r in self._run_by_task.values())
            if used <= self.capacity.memory_gb:
                return
            newest = max(
                self._run_by_task.values(), key=lambda r: r.started_at
            )
            self._end_run(newest, "checkpointed")

    def _renew(self, body: dict[str, Any]) -> bool:
        for task_id in body["tasks"]:
            run = self._run_by_task.get(task_id)
            if run is not None:
                expires_at = self._advanced_at + body["lease_s"]
                run.lease_expires_at = max(run.lease_expires_at, expires_at)
        return True

    def _end_run(self, run: Run, outcome: str) -> None:
        del self._run_by_task[run.task_id]
        self._ended_by_task[run.task_id] = {
            "task": run.task_id,
            "attempt": run.attempt,
            "outcome": outcome,
            "remaining_s": max(run.remaining_s, 0.0),
        }

    def _speed(self) -> float:
        used = sum(r.used.cores for r in self._run_by_task.values())
        return min(1.0, self.capacity.cores / used) if used else 1.0

    def advance_to_now(self) -> None:
        """Advance all runs to the current time and end those that are due."""
        if self.paused:
            return
        now = self._reactor.seconds()
        while self._advanced_at < now or any(
            r.remaining_s <= 0 or min(r.lease_expires_at, r.stops_at) <= now
            for r in self._run_by_task.values()
        ):
            speed = self._speed()
            step = now - self._advanced_at
            for run in self._run_by_task.values():
                ends_in = run.remaining_s / (speed * run.throttle)
                stop = (
                    min(run.lease_expires_at, run.stops_at) - self._advanced_at
                )
                step = min(step, max(ends_in, 0.0), max(stop, 0.0))
            self._advanced_at += step
            for run in list(self._run_by_task.values()):
                run.remaining_s -= step * speed * run.throttle
                if run.remaining_s <= 1e-9:
                    self._end_run(run, "failed" if run.fails else "finished")
                elif (
                    self._advanced_at
                    >= min(run.lease_expires_at, run.stops_at) - 1e-9
                ):
                    self._end_run(run, "checkpointed")

    def report(self) -> dict[str, Any]:
        """Return running and ended tasks; the last report if unreachable."""
        if not self.available:
            return self._last_report
        self.advance_to_now()
        self._sequence += 1
        lag_s = self.faults.usage_lag_s
        self._last_report = {
            "worker": self.name,
            "sequence": self._sequence,
            "epoch": self._epoch,
            "running": [
                {
                    "task_id": run.task_id,
                    "attempt": run.attempt,
                    "epoch": run.epoch,
                    "lease_left_s": run.lease_expires_at - self._advanced_at,
                    "used": dataclasses.asdict(run.used)
                    if self._advanced_at - run.started_at >= lag_s
                    else None,
                }
                for run in self._run_by_task.values()
            ],
            "ended": [
                {
                    "task_id": ended["task"],
                    "attempt": ended["attempt"],
                    "outcome": ended["outcome"],
                    "remaining_s": ended["remaining_s"],
                }
                for ended in self._ended_by_task.values()
            ],
        }
        return self._last_report
