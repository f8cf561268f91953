"""Commands to the platform's workers."""

import dataclasses
from typing import Any

from azurevane._internal.platform import transport


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says that it runs and has ended.

    Attributes:
        epoch_by_task: epochs of the starts of running tasks.
        outcome_by_task: ``finished``, ``failed`` or ``checkpointed``.
    """

    worker: str
    epoch_by_task: dict[str, int]
    outcome_by_task: dict[str, str]


class WorkerClient:
    """Starts, renews and stops tasks under a fencing epoch."""

    def __init__(self, calls: transport.JsonTransport) -> None:
        self._calls = calls

    async def reports(self) -> tuple[WorkerReport, ...]:
        """Return the latest report of every worker; it may lag.

        Raises:
            StoreUnavailable: the platform gave no usable answer.
        """
        _, body = await self._calls.call("GET", "/workers")
        return tuple(_report(item) for item in body)

    async def start(
        self,
        worker: str,
        task_id: str,
        *,
        epoch: int,
        lease_s: float,
        run_s: float,
    ) -> bool:
        """Start a task; False if the worker has seen a higher epoch.

        Raises:
            StoreUnavailable: no usable answer; it may have started.
        """
        status, _ = await self._calls.call(
            "POST",
            f"/workers/{worker}/start",
            {
                "task": task_id,
                "epoch": epoch,
                "lease_s": lease_s,
                "run_s": run_s,
            },
        )
        return status == 200


def _report(item: dict[str, Any]) -> WorkerReport:
    return WorkerReport(
        item["worker"],
        {task["task"]: task["epoch"] for task in item["running"]},
        {task["task"]: task["outcome"] for task in item["ended"]},
    )
