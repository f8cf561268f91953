"""The task that talks to one runner: leases, lists and orders."""

from collections.abc import Awaitable, Callable
import logging
from typing import Any, Protocol

from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.platform import runner_calls
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# How long a runner may hold back its lists while nothing ends; also how
# often its lease is extended.
HOLD_WAIT_S = 1.5
# How often a lease is extended while ends can't be stored.
UNSTORED_PAUSE_S = 1.0
RETRY_S = 0.25


class Leader(Protocol):
    """What a link needs of the leader."""

    scheduler_state: state_module.SchedulerState
    runner_events: runner_events.RunnerEventHandler

    def now(self) -> float:
        """Return the steady time in seconds."""

    def may_order(self) -> bool:
        """Whether this host certainly leads."""

    def may_extend(self) -> bool:
        """Whether leases may still be extended."""

    def doubt(self, reason: str) -> None:
        """Note a sign that another host leads."""

    def pump(self) -> None:
        """Plan again soon."""

    def stored(self) -> "defer.Deferred[None]":
        """Store all that changed."""


class RunnerLink:
    """Carries orders to one runner and its lists back.

    Attributes:
        ended: whether it has stopped asking the runner.
    """

    def __init__(
        self,
        reactor: Any,
        leader: Leader,
        calls: runner_calls.RunnerCalls,
        runner_id: str,
        lease_s: float,
    ) -> None:
        self._reactor = reactor
        self._leader = leader
        self._calls = calls
        self._id = runner_id
        self._lease_s = lease_s
        self._wake: defer.Deferred[None] | None = None
        self._stopped = False
        self._looking = False
        self.ended = False

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        self.wake()

    def wake(self) -> None:
        """Look at once whether there is something to ask."""
        if self._wake is not None:
            wake, self._wake = self._wake, None
            wake.callback(None)

    def _runner(self) -> runner_state.RunnerState | None:
        if self._stopped:
            return None
        return self._leader.scheduler_state.runner_by_id.get(self._id)

    async def run(self) -> None:
        """Extend the lease and read the lists until the runner is gone."""
        while (runner := self._runner()) is not None:
            if self._idle(runner):
                await self._pause(None)
                continue
            if runner.stored_end_number < runner.processed_end_number:
                await self._pause(UNSTORED_PAUSE_S)
                if self._runner() is not runner:
                    continue
            try:
                await self._hold(runner)
            except Exception as error:
                background.note_failure(f"runner {self._id}", error)
                await self._pause(UNSTORED_PAUSE_S)
        self.ended = True

    @staticmethod
    def _idle(runner: runner_state.RunnerState) -> bool:
        return (
            runner.fenced
            and not runner.unreachable
            and not runner.run_by_task
            and not runner.need_by_orphan
            and runner.stored_end_number >= runner.processed_end_number
        )

    async def _pause(self, most_s: float | None) -> None:
        self._wake = defer.Deferred()
        wake = self._wake
        if most_s is not None:
            wake.addTimeout(most_s, self._reactor)
            wake.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        await wake

    async def _hold(self, runner: runner_state.RunnerState) -> None:
        leader = self._leader
        sent_at = leader.now()
        lease_until_s = None
        if runner.lease_allowed and leader.may_extend():
            lease_until_s = runner.extend_lease(sent_at, self._lease_s)
        wait_s = HOLD_WAIT_S
        unsure = runner.unreachable or not runner.fenced
        if unsure or runner.stored_end_number < runner.processed_end_number:
            # An answer at once is worth more than the next end.
            wait_s = 0.0
        try:
            await self._read_lists(
                runner,
                sent_at=sent_at,
                lease_until_s=lease_until_s,
                wait_s=wait_s,
            )
        except runner_calls.RunnerFenced as failure:
            leader.doubt(str(failure))
            await self._pause(RETRY_S)
            return
        except runner_calls.OtherRunner as failure:
            leader.runner_events.handle_runner_gone(
                self._id, str(failure), leader.now()
            )
            leader.pump()
            return
        except exceptions.CallFailed as failure:
            await self._note_silence(runner, failure)
            return
        if self._runner() is not runner:
            return
        runner.unreachable = False
        if runner.processed_end_number > runner.stored_end_number:
            self._acknowledge(runner, runner.processed_end_number)

    async def _read_lists(
        self,
        runner: runner_state.RunnerState,
        *,
        sent_at: float,
        lease_until_s: float | None,
        wait_s: float,
    ) -> None:
        """Read the runner's lists and take them in, unless it is gone."""
        report = await self._calls.hold(
            self._id,
            runner.entry.address,
            last_seen=runner.stored_end_number,
            lease_until_s=lease_until_s,
            wait_s=wait_s,
        )
        if self._runner() is not runner:
            return
        self._leader.runner_events.handle_report(
            self._id, report, sent_at=sent_at, now=self._leader.now()
        )
        self._leader.pump()

    async def _look(self, runner: runner_state.RunnerState) -> None:
        """Read the lists at once, beside a call that is held back."""
        if self._looking:
            return
        self._looking = True
        try:
            await self._read_lists(
                runner,
                sent_at=self._leader.now(),
                lease_until_s=None,
                wait_s=0.0,
            )
        except (
            exceptions.CallFailed,
            runner_calls.OtherRunner,
            runner_calls.RunnerFenced,
        ) as failure:
            # The call that is held back meets the same.
            logger.debug("Look at runner %s: %s", self._id, failure)
        finally:
            self._looking = False

    def _acknowledge(
        self, runner: runner_state.RunnerState, number: int
    ) -> None:
        """Acknowledge ends once what follows from them is stored."""
        life = runner.entry.started_at

        def note_stored(_: None) -> None:
            if runner.entry.started_at == life:
                runner.stored_end_number = max(
                    runner.stored_end_number, number
                )
            self.wake()

        stored = self._leader.stored()
        # Deposed: the next leader reads these ends again.
        stored.addCallbacks(note_stored, lambda _: None)

    async def _note_silence(
        self,
        runner: runner_state.RunnerState,
        failure: exceptions.CallFailed,
    ) -> None:
        if not runner.unreachable:
            runner.unreachable = True
            catalogue.emit(
                logger,
                events.RunnerUnreachable(
                    self._id, str(failure), len(runner.run_by_task)
                ),
            )
        self._leader.runner_events.handle_runner_silent(
            self._id, self._leader.now()
        )
        self._leader.pump()
        await self._pause(RETRY_S)

    # Orders.

    async def send_start(self, command: commands.StartCommand) -> None:
        """Send an order to start whose assignment is stored."""
        runner = self._runner()
        run = command.run
        attempt = command.message.attempt
        leader = self._leader
        if run.attempt != attempt or run.runner_id != self._id:
            return
        if run.phase is not runs.Phase.ASSIGNED or run.sent_at:
            return
        if (
            runner is None
            or not leader.may_order()
            or not runner.lease_allowed
        ):
            leader.scheduler_state.release_run(run, leader.now())
            leader.pump()
            return
        run.sent_at = leader.now()
        lease_until_s = runner.extend_lease(run.sent_at, self._lease_s)
        started = await self._calls.start(
            self._id, runner.entry.address, command.message, lease_until_s
        )
        now = leader.now()
        if started.clock_s is not None and self._runner() is runner:
            runner.record_clock(started.clock_s, now)
        leader.runner_events.handle_start_reply(
            run, attempt, self._id, started.outcome, now
        )
        if started.outcome is messages.StartOutcome.FENCED:
            leader.doubt(f"runner {self._id} rejects this host's token")
        self.wake()
        leader.pump()
        if started.outcome is messages.StartOutcome.UNKNOWN:
            await self._look(runner)

    async def send_stop(self, command: commands.StopCommand) -> None:
        """Send an order to stop; without an answer it is repeated."""
        runner = self._runner()
        if runner is None:
            return
        task, attempt = command.message.task, command.message.attempt
        try:
            taken = await self._calls.stop(
                self._id, runner.entry.address, task, attempt
            )
        except runner_calls.RunnerFenced as failure:
            self._leader.doubt(str(failure))
            return
        except (exceptions.CallFailed, runner_calls.OtherRunner) as failure:
            logger.debug("Stop of %s: %s", task, failure)
            return
        if taken:
            self._leader.runner_events.handle_stop_accepted(
                self._id, task, attempt, self._leader.now()
            )
            self.wake()
            run = runner.run_by_task.get(task)
            if run is not None and not run.acknowledged_at:
                # It may never have begun; then no end will be listed.
                await self._look(runner)

    async def send_pace(self, command: commands.PaceCommand) -> None:
        """Set a run's speed; the next report shows whether it was taken."""
        runner = self._runner()
        run = command.run
        if runner is None or run.attempt != command.attempt:
            return
        try:
            taken = await self._calls.pace(
                self._id,
                runner.entry.address,
                run.name,
                command.attempt,
                command.percent,
            )
        except (exceptions.CallFailed, runner_calls.OtherRunner) as failure:
            logger.debug("Pace of %s: %s", run.name, failure)
            return
        if taken and run.attempt == command.attempt:
            run.pace = command.percent


Sleep = Callable[[float], Awaitable[None]]


def make_sleep(reactor: Any) -> Sleep:
    """Return a function that waits a number of seconds."""

    async def sleep(pause_s: float) -> None:
        await twisted_task.deferLater(reactor, pause_s, lambda: None)

    return sleep
