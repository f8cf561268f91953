"""Runs the controllers of the pools whose leases this daemon holds."""

from collections.abc import Awaitable, Callable, Coroutine
import logging
from typing import Any, Protocol

from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.daemons import fleet_source
from azurevane._internal.daemons import inbox
from azurevane._internal.daemons import lease_service
from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.events import task_events
from azurevane._internal.models import rows as row_models
from azurevane._internal.models import worker as worker_models
from azurevane._internal.policy import lease_renewal
from azurevane._internal.tasks import controller_lease
from azurevane._internal.tasks import placer as placer_module
from azurevane._internal.tasks import task_control
from azurevane._internal.tasks import task_ledger

logger = logging.getLogger(__name__)

LEASE_TICK_INTERVAL_S = 0.05
PLACEMENT_INTERVAL_S = 0.1
FLEET_REFRESH_INTERVAL_S = 0.6
REPORT_READ_INTERVAL_S = 0.6
INBOX_READ_INTERVAL_S = 0.6
# Lets a timer that fires this much early still start the next read.
_TIMER_SLACK_S = 0.05


class WorkerClient(Protocol):
    """Calls of the workers' client that the control service needs."""

    async def list_reports(self) -> tuple[worker_models.WorkerReport, ...]:
        """Return the latest report of every worker."""

    async def fence_worker(
        self, worker: str, pool: str, epoch: int, assignment: int
    ) -> bool:
        """Make a worker refuse lower epochs."""

    async def start_task(self, command: worker_models.StartTask) -> bool:
        """Start an attempt."""

    async def stop_task(self, command: worker_models.StopTask) -> bool:
        """Stop an attempt."""

    async def renew_leases(
        self, worker: str, task_ids: tuple[str, ...], lease_s: float
    ) -> bool:
        """Extend the leases of tasks on a worker."""

    async def forget_ended_attempts(
        self, command: worker_models.ForgetEnded
    ) -> bool:
        """Make a worker drop its records of ended attempts."""


class ControlService:
    """A control daemon without its sockets and settings."""

    def __init__(
        self,
        reactor: Any,
        table: lease_service.Table,
        workers: WorkerClient,
        source: fleet_source.FleetSource,
        holder: str,
        new_token: Callable[[], str],
    ) -> None:
        self._reactor = reactor
        self._table = table
        self._workers = workers
        self._source = source
        self._new_token = new_token
        self.leases = controller_lease.ControllerLeases(
            holder, new_token(), new_token
        )
        self._lease_service = lease_service.LeaseService(
            reactor, table, self.leases
        )
        self._ledger = task_ledger.TaskLedger()
        self.placer_by_pool: dict[str, placer_module.Placer] = {}
        self._loading_pools: set[str] = set()
        self._reports_requested_at = float("-inf")
        self._renewed_sequence_by_worker: dict[str, int] = {}
        self._view_key_by_pool: dict[str, object] = {}

    def start(self) -> None:
        """Start the periodic work."""
        for call, interval_s in (
            (self._lease_service.tick, LEASE_TICK_INTERVAL_S),
            (self._run_placers, PLACEMENT_INTERVAL_S),
            (
                lambda: self._spawn(self._source.refresh()),
                FLEET_REFRESH_INTERVAL_S,
            ),
            (lambda: self._spawn(self._read_reports()), PLACEMENT_INTERVAL_S),
            (lambda: self._spawn(self._read_inbox()), INBOX_READ_INTERVAL_S),
        ):
            loop = twisted_task.LoopingCall(call)
            loop.clock = self._reactor
            loop.start(interval_s)

    def _spawn(
        self, coroutine: Coroutine[Any, Any, Any]
    ) -> "defer.Deferred[Any]":
        operation_deferred = defer.ensureDeferred(coroutine)
        operation_deferred.addErrback(
            lambda reason: logger.error(
                "Operation of the control daemon failed: %s",
                reason.getTraceback(),
            )
        )
        return operation_deferred

    def _run_placers(self) -> None:
        now = self._reactor.seconds()
        manifest = self._source.state.manifest
        if manifest is None:
            return
        pools = [pool.name for pool in manifest.pools]
        self.leases.configure(pools)
        for pool in pools:
            epoch = self.leases.epoch(pool)
            placer = self.placer_by_pool.get(pool)
            if placer is not None and placer.epoch != epoch:
                self._drop_placer(pool, "another holder or a new epoch")
                placer = None
            held = self.leases.active_lease(now, pool)
            if held is None:
                continue
            if placer is None:
                self._start_loading(pool, held)
                continue
            self._configure_placer(now, pool, placer)
            self._apply_effects(
                placer, pool, placer.tick(now, self.leases.store_down)
            )
            if held.uncertain and placer.are_starts_known(now):
                self.leases.record_starts_known(pool)

    def _drop_placer(self, pool: str, reason: str) -> None:
        placer = self.placer_by_pool.pop(pool, None)
        self._view_key_by_pool.pop(pool, None)
        if placer is not None:
            placer.close()
            catalogue.emit(logger, task_events.PoolLost(pool, reason))

    def _start_loading(
        self, pool: str, held: controller_lease.HeldLease
    ) -> None:
        if pool not in self._loading_pools:
            self._loading_pools.add(pool)
            self._spawn(self._load_placer(pool, held))

    async def _load_placer(
        self, pool: str, held: controller_lease.HeldLease
    ) -> None:
        try:
            rows: list[row_models.StoredRow] = []
            for queue in self._queue_names(pool):
                rows += lease_service.to_stored_rows(
                    await self._table.read_prefix(f"task/{queue}/")
                )
            estimates = await self._table.read(task_control.sizes_row(pool))
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("load", str(error))
            )
            return
        finally:
            self._loading_pools.discard(pool)
        if self.leases.epoch(pool) != held.epoch:
            return
        now = self._reactor.seconds()
        placer = placer_module.Placer(
            pool, held, self._ledger, self._new_token
        )
        self.placer_by_pool[pool] = placer
        catalogue.emit(logger, task_events.PoolTaken(pool, held.epoch))
        self._configure_placer(now, pool, placer)
        self._apply_effects(
            placer,
            pool,
            placer.load_records(now, rows, estimates.value, held.uncertain),
        )

    def _queue_names(self, pool: str) -> list[str]:
        manifest = self._source.state.manifest
        assert manifest is not None
        return [q.name for q in manifest.queues if q.pool == pool]

    def _configure_placer(
        self, now: float, pool: str, placer: placer_module.Placer
    ) -> None:
        state = self._source.state
        placer.set_fresh_until(self._source.fresh_until)
        key = (state.version, state.zones_out, state.draining)
        if self._view_key_by_pool.get(pool) == key:
            return
        self._view_key_by_pool[pool] = key
        view = fleet_source.build_pool_view(state, pool)
        self._apply_effects(placer, pool, placer.configure(now, view))

    async def _read_reports(self) -> None:
        now = self._reactor.seconds()
        # Starts depend on the next reports while tasks are stopped to free
        # capacity for urgent ones, and just after a pool was taken over.
        awaited = any(
            placer.awaits_reports for placer in self.placer_by_pool.values()
        )
        if (
            now - self._reports_requested_at < REPORT_READ_INTERVAL_S
            and not awaited
        ):
            return
        self._reports_requested_at = now - _TIMER_SLACK_S
        try:
            reports = await self._workers.list_reports()
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("reports", str(error))
            )
            return
        now = self._reactor.seconds()
        for pool, placer in list(self.placer_by_pool.items()):
            self._apply_effects(
                placer, pool, placer.merge_reports(now, reports)
            )
        if awaited:
            self._run_placers()
        holds_pools = bool(self.placer_by_pool)
        for report in reports:
            due = lease_renewal.tasks_to_renew(
                report,
                self._renewed_sequence_by_worker.get(report.worker, -1),
                holds_pools,
            )
            if due:
                self._renewed_sequence_by_worker[report.worker] = (
                    report.sequence
                )
                self._spawn(
                    self._call_worker(
                        self._workers.renew_leases(
                            report.worker, due, task_control.TASK_LEASE_S
                        )
                    )
                )

    async def _read_inbox(self) -> None:
        if not self.placer_by_pool:
            return
        try:
            rows = await self._table.read_prefix("inbox/")
            for pool, placer in list(self.placer_by_pool.items()):
                await self._process_inbox(pool, placer, rows)
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("inbox", str(error))
            )

    async def _process_inbox(
        self, pool: str, placer: placer_module.Placer, rows: Any
    ) -> None:
        entries = inbox.list_new_entries(
            pool, rows, placer.control.tasks.processed_inbox_rows
        )
        stored = await inbox.read_submitted_tasks(self._table, entries)
        now = self._reactor.seconds()
        for entry in entries:
            if entry.kind == "submit" and entry.task_id in stored:
                row = stored[entry.task_id]
                effects = placer.handle_submission(now, row, entry.row_name)
                self._apply_effects(placer, pool, effects)
            elif entry.kind == "submit":
                placer.control.tasks.processed_inbox_rows.add(entry.row_name)
        cancelled = {
            entry.task_id: entry.row_name
            for entry in entries
            if entry.kind == "cancel"
        }
        if cancelled:
            self._apply_effects(
                placer, pool, placer.cancel_tasks(now, cancelled)
            )
        if self.leases.active_lease(now, pool) is not None:
            self._apply_effects(
                placer, pool, placer.tick(now, self.leases.store_down)
            )

    def _apply_effects(
        self,
        placer: placer_module.Placer,
        pool: str,
        effects: list[task_control.Effect],
    ) -> None:
        if self.placer_by_pool.get(pool) is not placer:
            return
        for effect in effects:
            if isinstance(effect, task_control.EmitEvent):
                catalogue.emit(logger, effect.event)
            elif isinstance(effect, task_control.Superseded):
                self.leases.handle_superseded(pool, effect.epoch)
                self._drop_placer(
                    pool, f"a worker has seen epoch {effect.epoch}"
                )
                return
            elif isinstance(effect, task_control.ReloadRecords):
                self._drop_placer(pool, "records changed; they are read again")
                return
            else:
                self._spawn(self._carry_out_effect(placer, pool, effect))

    async def _carry_out_effect(
        self,
        placer: placer_module.Placer,
        pool: str,
        effect: task_control.Effect,
    ) -> None:
        if isinstance(effect, row_models.WriteBatch):
            await self._write_batch(placer, pool, effect)
        elif isinstance(effect, row_models.ReadRows):
            await self._read_rows(placer, pool, effect)
        elif isinstance(effect, worker_models.StartTask):
            await self._start_task(placer, pool, effect)
        elif isinstance(effect, worker_models.StopTask):
            await self._call_worker(self._workers.stop_task(effect))
        elif isinstance(effect, worker_models.ForgetEnded):
            await self._call_worker(
                self._workers.forget_ended_attempts(effect)
            )
        elif isinstance(effect, worker_models.FenceWorker):
            await self._call_worker(
                self._workers.fence_worker(
                    effect.worker, pool, effect.epoch, effect.assignment
                )
            )

    async def _call_worker(self, call: Awaitable[bool]) -> bool | None:
        try:
            return await call
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("worker", str(error))
            )
            return None

    async def _write_batch(
        self,
        placer: placer_module.Placer,
        pool: str,
        batch: row_models.WriteBatch,
    ) -> None:
        try:
            answer = await self._table.transact(
                lease_service.to_transaction(batch)
            )
            applied: bool | None = answer.applied
            versions = answer.version_by_row
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("tasks", str(error))
            )
            applied, versions = None, {}
        now = self._reactor.seconds()
        self._apply_effects(
            placer,
            pool,
            placer.handle_write_result(now, batch.number, applied, versions),
        )

    async def _read_rows(
        self,
        placer: placer_module.Placer,
        pool: str,
        wanted: row_models.ReadRows,
    ) -> None:
        rows: list[row_models.StoredRow] | None
        try:
            read = [await self._table.read(name) for name in wanted.names]
            rows = lease_service.to_stored_rows(tuple(read))
        except exceptions.StoreUnavailable:
            rows = None
        now = self._reactor.seconds()
        self._apply_effects(
            placer, pool, placer.handle_rows_read(now, wanted.number, rows)
        )

    async def _start_task(
        self,
        placer: placer_module.Placer,
        pool: str,
        command: worker_models.StartTask,
    ) -> None:
        task = command.task
        admitted: bool | None = False
        held = self.leases.active_lease(self._reactor.seconds(), pool)
        if held is not None and held.epoch == command.epoch:
            catalogue.emit(
                logger,
                task_events.TaskPlaced(
                    task.task_id,
                    task.team,
                    command.worker,
                    command.epoch,
                    command.reasons,
                ),
            )
            admitted = await self._call_worker(
                self._workers.start_task(command)
            )
        now = self._reactor.seconds()
        self._apply_effects(
            placer,
            pool,
            placer.handle_start_result(
                now, task.task_id, task.attempts, admitted
            ),
        )
