"""Workers that run tasks under leases, in memory."""

import dataclasses
from typing import Any

import msgspec
from twisted.internet import interfaces


@dataclasses.dataclass(frozen=True)
class Size:
    """Processors, memory and accelerators."""

    cores: float
    memory_gb: float
    accelerators: float = 0.0


@dataclasses.dataclass
class WorkerFaults:
    """What a worker does wrong, or slowly.

    Attributes:
        fail_all: every start fails at once.
        unreachable: refuses every command; its report stays the last.
        usage_lag_s: measured use appears this long after a start.
        checkpoint_s: time that a checkpoint takes.
    """

    fail_all: bool = False
    unreachable: bool = False
    usage_lag_s: float = 5.0
    checkpoint_s: float = 0.5


@dataclasses.dataclass
class Run:
    """An attempt of a task; ``left_s`` is work at full speed."""

    task_id: str
    attempt: int
    epoch: int
    used: Size
    left_s: float
    lease_until: float
    started_at: float
    fails: bool
    throttle: float = 1.0
    stops_at: float = float("inf")


class MemoryWorker:
    """One worker: refuses any command with an older epoch.

    Tasks slow down when they use more processors than there are. The
    newest is checkpointed when memory runs out.
    """

    def __init__(
        self,
        name: str,
        reactor: interfaces.IReactorTime,
        capacity: Size | None = None,
    ) -> None:
        self.name = name
        self.capacity = capacity or Size(30.0, 130.0)
        self.faults = WorkerFaults()
        self.paused = False
        self.starts: list[tuple[str, int]] = []
        self._reactor = reactor
        self._now = reactor.seconds()
        self._sequence = 0
        self._last_report: dict[str, Any] = {}
        self.restart()

    def restart(self) -> None:
        """Lose everything that isn't at the platform."""
        self._pool = ""
        self._assignment = 0
        self._epoch = 0
        self._run_by_task: dict[str, Run] = {}
        self._ended_by_task: dict[str, dict[str, Any]] = {}
        self._highest_attempt_by_task: dict[str, int] = {}

    @property
    def running(self) -> list[Run]:
        """Attempts that run now."""
        self.settle()
        return list(self._run_by_task.values())

    @property
    def available(self) -> bool:
        """Whether commands reach it."""
        return not self.paused and not self.faults.unreachable

    def pause(self) -> None:
        """Stop all progress, as a stopped process does."""
        self.settle()
        self.paused = True

    def resume(self) -> None:
        """Continue; leases that have lapsed meanwhile end their tasks."""
        self._now = self._reactor.seconds()
        self.paused = False
        self.settle()

    def command(self, call: str, body: dict[str, Any]) -> bool:
        """Carry out a command; return whether it was admitted.

        Raises:
            LookupError: there is no such command.
        """
        self.settle()
        if call in ("fence", "renew", "forget"):
            return bool(getattr(self, f"_{call}")(body))
        if call not in ("start", "stop", "throttle"):
            raise LookupError(call)
        if body["pool"] != self._pool or body["epoch"] < self._epoch:
            return False
        if call == "start":
            return self._start(body)
        run = self._run_by_task.get(body["task"])
        if run is not None and run.attempt == body["attempt"]:
            self._slow_or_stop(run, call, body)
        return True

    def _slow_or_stop(self, run: Run, call: str, body: dict[str, Any]) -> None:
        if call == "throttle":
            run.throttle = body["part"]
        elif body["checkpoint"]:
            stops_at = self._now + self.faults.checkpoint_s
            run.stops_at = min(run.stops_at, stops_at)
        else:
            self._end(run, "cancelled")

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
            # Only a newer host record moves a worker to another pool.
            if self._pool and assignment == self._assignment:
                return False
            self._pool = body["pool"]
            self._epoch = body["epoch"]
        if body["epoch"] < self._epoch:
            return False
        self._epoch = body["epoch"]
        self._assignment = assignment
        return True

    def _start(self, body: dict[str, Any]) -> bool:
        if self._epoch == 0:
            return False
        task_id = body["task"]
        attempt = body["attempt"]
        if attempt <= self._highest_attempt_by_task.get(task_id, 0):
            return True
        self._highest_attempt_by_task[task_id] = attempt
        self.starts.append((task_id, attempt))
        self._ended_by_task.pop(task_id, None)
        truth = msgspec.json.decode(body.get("payload") or "{}")
        size = Size(
            truth.get("cores", body["cores"]),
            truth.get("memory_gb", body["memory_gb"]),
            body["accelerators"],
        )
        run_s = truth.get("run_s", body["run_s"])
        if body["remaining_s"] >= 0:
            run_s = body["remaining_s"]
        run = Run(
            task_id,
            attempt,
            body["epoch"],
            size,
            run_s,
            self._now + body["lease_s"],
            self._now,
            self.faults.fail_all or truth.get("fails", False),
        )
        if run.fails:
            run.left_s = min(run.left_s, 0.05)
        self._run_by_task[task_id] = run
        self._evict()
        return True

    def _evict(self) -> None:
        while self._run_by_task:
            used = sum(r.used.memory_gb for r in self._run_by_task.values())
            if used <= self.capacity.memory_gb:
                return
            newest = max(
                self._run_by_task.values(), key=lambda r: r.started_at
            )
            self._end(newest, "checkpointed")

    def _renew(self, body: dict[str, Any]) -> bool:
        for task_id in body["tasks"]:
            run = self._run_by_task.get(task_id)
            if run is not None:
                until = self._now + body["lease_s"]
                run.lease_until = max(run.lease_until, until)
        return True

    def _end(self, run: Run, outcome: str) -> None:
        del self._run_by_task[run.task_id]
        self._ended_by_task[run.task_id] = {
            "task": run.task_id,
            "attempt": run.attempt,
            "outcome": outcome,
            "remaining_s": max(run.left_s, 0.0),
        }

    def _speed(self) -> float:
        used = sum(r.used.cores for r in self._run_by_task.values())
        return min(1.0, self.capacity.cores / used) if used else 1.0

    def settle(self) -> None:
        """Make the progress that is due, and end what is over."""
        if self.paused:
            return
        now = self._reactor.seconds()
        while self._now < now or any(
            r.left_s <= 0 or min(r.lease_until, r.stops_at) <= now
            for r in self._run_by_task.values()
        ):
            speed = self._speed()
            step = now - self._now
            for run in self._run_by_task.values():
                ends_in = run.left_s / (speed * run.throttle)
                stop = min(run.lease_until, run.stops_at) - self._now
                step = min(step, max(ends_in, 0.0), max(stop, 0.0))
            self._now += step
            for run in list(self._run_by_task.values()):
                run.left_s -= step * speed * run.throttle
                if run.left_s <= 1e-9:
                    self._end(run, "failed" if run.fails else "finished")
                elif self._now >= min(run.lease_until, run.stops_at) - 1e-9:
                    self._end(run, "checkpointed")

    def report(self) -> dict[str, Any]:
        """Return what runs and what has ended; the last one if cut off."""
        if not self.available:
            return self._last_report
        self.settle()
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
                    "lease_left_s": run.lease_until - self._now,
                    "used": dataclasses.asdict(run.used)
                    if self._now - run.started_at >= lag_s
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
