"""Commands to the platform's workers."""

import msgspec

from azurevane._internal.models import worker as worker_models
from azurevane._internal.table_service import transport


class WorkerClient:
    """Starts, renews and stops tasks under a fencing epoch.

    Every method but ``reports`` returns False if the worker refused the
    command because of its epoch, and raises StoreUnavailable if no
    usable answer came; the command may have taken effect then.
    """

    def __init__(self, calls: transport.JsonTransport) -> None:
        self._calls = calls

    async def list_reports(self) -> tuple[worker_models.WorkerReport, ...]:
        """Return the latest report of every worker; it may lag.

        Raises:
            StoreUnavailable: the platform gave no usable answer.
        """
        _, body = await self._calls.call("GET", "/workers")
        return msgspec.convert(
            body, type=tuple[worker_models.WorkerReport, ...]
        )

    async def fence_worker(
        self, worker: str, pool: str, epoch: int, assignment: int
    ) -> bool:
        """Make a worker refuse lower epochs, and other pools.

        Args:
            assignment: number of the host record that names the pool.
        """
        return await self._command(
            worker,
            "fence",
            {"pool": pool, "epoch": epoch, "assignment": assignment},
        )

    async def start_task(self, command: worker_models.StartTask) -> bool:
        """Start an attempt of a task."""
        task = command.task
        return await self._command(
            command.worker,
            "start",
            {
                "pool": command.pool,
                "epoch": command.epoch,
                "task": task.task_id,
                "attempt": task.attempts,
                "lease_s": command.lease_s,
                "run_s": task.run_s,
                "remaining_s": task.remaining_s,
                "cores": task.cores,
                "memory_gb": task.memory_gb,
                "accelerators": task.accelerators,
                "payload": task.payload,
            },
        )

    async def stop_task(self, command: worker_models.StopTask) -> bool:
        """Stop an attempt, at a checkpoint or for good."""
        return await self._command(
            command.worker,
            "stop",
            {
                "pool": command.pool,
                "epoch": command.epoch,
                "task": command.task_id,
                "attempt": command.attempt,
                "checkpoint": command.checkpoint,
            },
        )

    async def throttle_task(
        self, command: worker_models.StopTask, part: float
    ) -> bool:
        """Slow an attempt down to a part of its speed."""
        return await self._command(
            command.worker,
            "throttle",
            {
                "pool": command.pool,
                "epoch": command.epoch,
                "task": command.task_id,
                "attempt": command.attempt,
                "part": part,
            },
        )

    async def renew_leases(
        self, worker: str, task_ids: tuple[str, ...], lease_s: float
    ) -> bool:
        """Extend the leases of tasks that run on a worker."""
        return await self._command(
            worker, "renew", {"tasks": task_ids, "lease_s": lease_s}
        )

    async def forget_ended_attempts(
        self, command: worker_models.ForgetEnded
    ) -> bool:
        """Let a worker drop ended attempts whose outcome is recorded."""
        return await self._command(
            command.worker, "forget", {"attempts": command.attempt_by_task}
        )

    async def _command(self, worker: str, call: str, body: object) -> bool:
        status, _ = await self._calls.call(
            "POST", f"/workers/{worker}/{call}", body
        )
        return status == 200
