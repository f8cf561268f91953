"""The control daemon: places tasks on workers."""

import dataclasses
import logging
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.daemons import program
from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.events import task_events
from azurevane._internal.models import task as task_models
from azurevane._internal.platform import state_store
from azurevane._internal.platform import table
from azurevane._internal.platform import transport
from azurevane._internal.settings import loader
from azurevane._internal.utils import tokens
from azurevane._internal.workers import client as worker_client

logger = logging.getLogger(__name__)

_PLACEMENT_INTERVAL_S = 0.6
_TASK_LEASE_S = 60.0


class ControlDaemon:
    """Places queued tasks and follows the reports of workers."""

    def __init__(self, reactor: Any, settings: loader.Settings) -> None:
        self._reactor = reactor
        calls = transport.JsonTransport(
            reactor,
            settings.text("platform", "url"),
            settings.number("platform", "timeout"),
        )
        self._table = table.TableClient(calls)
        self._store = state_store.StateStore(self._table)
        self._workers = worker_client.WorkerClient(calls)

    def start(self) -> None:
        """Start the periodic work."""
        loop = twisted_task.LoopingCall(self._step)
        loop.clock = self._reactor
        loop.start(_PLACEMENT_INTERVAL_S)

    def _step(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._place())

    async def _place(self) -> None:
        try:
            stored = await self._store.read()
            reports = await self._workers.reports()
            rows = await self._table.read_prefix("task/")
            for row in rows:
                await self._advance(stored, reports, row)
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("place", str(error))
            )

    async def _advance(
        self,
        stored: state_store.StoredState,
        reports: tuple[worker_client.WorkerReport, ...],
        row: table.Row,
    ) -> None:
        task = msgspec.convert(row.value, type=task_models.Task)
        if task.phase == "running":
            for report in reports:
                outcome = report.outcome_by_task.get(task.task_id)
                if outcome == "finished":
                    await self._write(row, task, phase="finished")
                    catalogue.emit(
                        logger,
                        task_events.TaskEnded(
                            task.task_id, report.worker, outcome
                        ),
                    )
            return
        if task.phase != "queued" or not reports:
            return
        report = min(reports, key=lambda item: len(item.epoch_by_task))
        if not await self._write(
            row, task, phase="running", worker=report.worker
        ):
            return
        epoch = stored.state.version
        await self._workers.start(
            report.worker,
            task.task_id,
            epoch=epoch,
            lease_s=_TASK_LEASE_S,
            run_s=task.run_s,
        )
        catalogue.emit(
            logger,
            task_events.TaskPlaced(
                task.task_id,
                task.team,
                report.worker,
                epoch,
                (f"running={len(report.epoch_by_task)}",),
            ),
        )

    async def _write(
        self, row: table.Row, task: task_models.Task, **changes: Any
    ) -> bool:
        changed = dataclasses.replace(task, **changes)
        applied = await self._table.transact(
            table.Transaction(
                tokens.new_token(),
                {row.name: row.version},
                {row.name: msgspec.to_builtins(changed)},
            )
        )
        return applied.applied


def main() -> None:
    """Run the control daemon."""
    program.run("azurevane-control", __doc__, ControlDaemon)
