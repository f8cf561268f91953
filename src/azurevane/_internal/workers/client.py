"""Client that sends commands to the platform's workers."""

import msgspec

from azurevane._internal.models import worker as worker_models
from azurevane._internal.table_service import transport


class WorkerClient:
    """Sends commands to workers under a fencing epoch.

    Every method except ``list_reports`` returns False if the worker refused
    the command because of its epoch. It raises StoreUnavailable if there
    was no usable answer; the command may have taken effect.
    """

    def __init__(self, json_transport: transport.JsonTransport) -> None:
        self._transport = json_transport

    async def list_reports(self) -> tuple[worker_models.WorkerReport, ...]:
        """Return the latest report of every worker; it may be stale.

        Raises:
            StoreUnavailable: the platform gave no usable answer.
        """
        _, body = await self._transport.call("GET", "/workers")
        return msgspec.convert(
            body, type=tuple[worker_models.WorkerReport, ...]
        )

    async def fence_worker(
        self, worker: str, pool: str, epoch: int, assignment: int
    ) -> bool:
        """Make a worker refuse commands of lower epochs and of other pools.

        Args:
            assignment: number of the host record that assigns the pool.
        """
        return await self._send_command(
            worker,
            "fence",
            {"pool": pool, "epoch": epoch, "assignment": assignment},
        )

    async def start_task(self, command: worker_models.StartTask) -> bool:
        """Start an attempt of a task."""
        task = command.task
        return await self._send_command(
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
        return await self._send_command(
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
        self, command: worker_models.StopTask, speed_ratio: float
    ) -> bool:
        """Slow an attempt down to a fraction of its full speed."""
        return await self._send_command(
            command.worker,
            "throttle",
            {
                "pool": command.pool,
                "epoch": command.epoch,
                "task": command.task_id,
                "attempt": command.attempt,
                "part": speed_ratio,
            },
        )

    async def renew_leases(
        self, worker: str, task_ids: tuple[str, ...], lease_s: float
    ) -> bool:
        """Extend the leases of tasks that run on a worker."""
        return await self._send_command(
            worker, "renew", {"tasks": task_ids, "lease_s": lease_s}
        )

    async def forget_ended_attempts(
        self, command: worker_models.ForgetEnded
    ) -> bool:
        """Let a worker discard ended attempts whose outcome is recorded."""
        return await self._send_command(
            command.worker, "forget", {"attempts": command.attempt_by_task}
        )

    async def _send_command(
        self, worker: str, command_name: str, body: object
    ) -> bool:
        status, _ = await self._transport.call(
            "POST", f"/workers/{worker}/{command_name}", body
        )
        return status == 200
