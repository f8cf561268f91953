"""Communication with one runner: its lease, its reports and commands."""

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
from azurevane._internal.policy import crash_attribution
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import runner_events
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Longest time that a runner may delay its report while no run ends. The
# lease is extended with every poll, hence also at this interval.
MAX_POLL_WAIT_S = 1.5
# Interval of polls, and so of lease extensions, while the effects of ended
# runs or the withdrawal of a published expiry can't be stored.
UNSTORED_POLL_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.1
# A report about a suspected task is requested this much after it has settled,
# as the runner's clock may be slow.
SETTLED_REPORT_DELAY_S = 0.02


class Leader(Protocol):
    """Interface of the leader that a link needs."""

    scheduler_state: state_module.SchedulerState
    runner_events: runner_events.RunnerEventHandler

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def may_send_commands(self) -> bool:
        """Whether this host certainly leads."""

    def commands_valid_until(self) -> float:
        """Return until when a command that is decided now may be sent."""

    def may_extend_leases(self) -> bool:
        """Whether runners' leases may still be extended."""

    def confirm_leadership(self) -> "defer.Deferred[None]":
        """Store a renewal, which withdraws expiries of responding runners."""

    def verify_leadership(self, reason: str) -> None:
        """Write a renewal now; it fails if another host leads."""

    def request_planning(self) -> None:
        """Schedule a planning pass."""

    def store_changes(self) -> "defer.Deferred[None]":
        """Return a Deferred that fires once all changes are stored."""


class RunnerLink:
    """Sends commands to one runner and polls it for reports.

    Attributes:
        ended: whether polling has ended.
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
        self._runner_id = runner_id
        self._lease_s = lease_s
        self._wakeup: defer.Deferred[None] | None = None
        self._stopped = False
        self._requesting_report = False
        self._idle = False
        # Start time of the incarnation that the poll in progress was sent to.
        self._polled_incarnation: float | None = None
        self.ended = False

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        self.wake()

    def wake(self) -> None:
        """End a pause between polls at once."""
        if self._wakeup is not None:
            wakeup, self._wakeup = self._wakeup, None
            wakeup.callback(None)

    def wake_if_needed(self) -> None:
        """Request a report at once if there is a reason to."""
        runner = self._runner()
        if self._idle:
            if runner is None or not self._is_idle(runner):
                self.wake()
            return
        if runner is None:
            return
        if runner.contradicting_entry is not None:
            background.spawn(
                self._request_report_now(runner),
                f"report of runner {self._runner_id}",
            )
            return
        if runner.fenced:
            return
        if self._polled_incarnation not in (None, runner.started_at):
            # The poll in progress may wait for the previous incarnation
            # until it times out, and the runs are to be judged before.
            background.spawn(
                self._request_report_now(runner),
                f"report of runner {self._runner_id}",
            )

    def _runner(self) -> runner_state.RunnerState | None:
        if self._stopped:
            return None
        return self._leader.scheduler_state.runner_by_id.get(self._runner_id)

    async def run(self) -> None:
        """Poll the runner until it is removed or the link is stopped."""
        while (runner := self._runner()) is not None:
            if self._is_idle(runner):
                self._idle = True
                await self._wait_for_wakeup(None)
                self._idle = False
                continue
            if self._awaits_store(runner):
                await self._wait_for_wakeup(UNSTORED_POLL_INTERVAL_S)
                if self._runner() is not runner:
                    continue
            self._polled_incarnation = runner.started_at
            try:
                await self._poll_runner(runner)
            except Exception as error:
                background.log_step_failure(f"runner {self._runner_id}", error)
                await self._wait_for_wakeup(UNSTORED_POLL_INTERVAL_S)
            finally:
                self._polled_incarnation = None
        self.ended = True

    def _is_idle(self, runner: runner_state.RunnerState) -> bool:
        late_starts = self._leader.scheduler_state.late_starts
        return (
            runner.fenced
            and runner.contradicting_entry is None
            and not late_starts.awaits_stops(runner.id)
            and not runner.unreachable
            and not runner.run_by_task
            and not runner.need_by_orphan
            and runner.acknowledged_end_number >= runner.processed_end_number
        )

    @staticmethod
    def _awaits_store(runner: runner_state.RunnerState) -> bool:
        """Whether the next poll can do more once the store has responded."""
        return (
            runner.stored_end_number < runner.processed_end_number
            or runner.awaits_withdrawal
        )

    async def _wait_for_wakeup(self, timeout_s: float | None) -> None:
        self._wakeup = defer.Deferred()
        wakeup = self._wakeup
        if timeout_s is not None:
            wakeup.addTimeout(timeout_s, self._reactor)
            wakeup.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        await wakeup

    async def _poll_runner(self, runner: runner_state.RunnerState) -> None:
        leader = self._leader
        sent_at = leader.now()
        lease_until_s = None
        if runner.lease_allowed and leader.may_extend_leases():
            lease_until_s = runner.extend_lease(sent_at, self._lease_s)
        try:
            applied = await self._request_report(
                runner,
                last_seen=self._end_number_to_acknowledge(runner),
                sent_at=sent_at,
                lease_until_s=lease_until_s,
                wait_s=self._poll_wait_s(runner),
            )
        except runner_calls.RunnerFenced as failure:
            leader.verify_leadership(str(failure))
            await self._wait_for_wakeup(RETRY_DELAY_S)
            return
        except runner_calls.RunnerMismatch as failure:
            leader.runner_events.handle_runners_crashed(
                {self._runner_id: str(failure)}, leader.now()
            )
            leader.request_planning()
            return
        except exceptions.CallFailed as failure:
            if runner.started_at == self._polled_incarnation:
                await self._handle_call_failure(runner, failure)
            return
        if not applied:
            # An answer of an incarnation before, or of a runner that was
            # removed; the next poll mustn't follow without a pause.
            await self._wait_for_wakeup(RETRY_DELAY_S)
            return
        runner.unreachable = False
        if runner.awaits_withdrawal:
            leader.confirm_leadership().addCallbacks(
                lambda _: self.wake(), lambda _: None
            )
        if runner.processed_end_number > runner.stored_end_number:
            self._acknowledge_ends(runner, runner.processed_end_number)

    def _poll_wait_s(self, runner: runner_state.RunnerState) -> float:
        """Return for how long a poll may wait for the end of a run.

        A slow runner takes its time besides, and its lease is extended by the
        next poll only.
        """
        report_needed = runner.unreachable or not runner.fenced
        if report_needed or self._awaits_store(runner):
            return 0.0
        slow_s = runner.call_timeout_s() - runner_state.CALL_TIMEOUT_S
        return max(MAX_POLL_WAIT_S - slow_s, 0.0)

    @staticmethod
    def _end_number_to_acknowledge(runner: runner_state.RunnerState) -> int:
        """Return the highest number of stored ends that a poll acknowledges.

        A runner that has restarted numbers its ends anew, and would forget
        some that nobody has read. So nothing is acknowledged twice, nor after
        a failed call before a report has shown that the runner hasn't
        restarted. It is 0 if there is nothing to acknowledge.
        """
        if runner.unreachable:
            return 0
        if runner.stored_end_number <= runner.acknowledged_end_number:
            return 0
        return runner.stored_end_number

    async def _request_report(
        self,
        runner: runner_state.RunnerState,
        *,
        last_seen: int,
        sent_at: float,
        lease_until_s: float | None,
        wait_s: float,
    ) -> bool:
        """Request a report and apply it.

        Args:
            last_seen: highest number of the ends to acknowledge, or 0.

        Returns:
            False if the runner was removed, or has restarted and the report
            is of its previous incarnation.
        """
        incarnation = runner.started_at
        timeout_s = runner.call_timeout_s()
        try:
            report = await self._calls.poll(
                self._runner_id,
                runner.entry.address,
                last_seen=last_seen,
                lease_until_s=lease_until_s,
                wait_s=wait_s,
                timeout_s=timeout_s,
            )
        except exceptions.CallFailed as failure:
            if failure.timed_out:
                runner.response_time.record_timeout(timeout_s)
            raise
        took_s = self._leader.now() - sent_at
        if took_s >= wait_s:
            # Otherwise a run has ended during the wait.
            runner.response_time.record_response(took_s - wait_s)
        if took_s <= runner_state.FAST_RESPONSE_S:
            runner.command_window.lift(sent_at)
        if self._runner() is not runner:
            return False
        applied = self._leader.runner_events.handle_report(
            self._runner_id, report, sent_at=sent_at, now=self._leader.now()
        )
        if applied and runner.started_at == incarnation:
            runner.acknowledged_end_number = max(
                runner.acknowledged_end_number, last_seen
            )
        self._leader.request_planning()
        return applied

    async def _request_report_now(
        self, runner: runner_state.RunnerState
    ) -> None:
        """Request a report at once, in parallel to a poll that waits."""
        if self._requesting_report:
            return
        self._requesting_report = True
        try:
            await self._request_report(
                runner,
                last_seen=0,
                sent_at=self._leader.now(),
                lease_until_s=None,
                wait_s=0.0,
            )
        except (
            exceptions.CallFailed,
            runner_calls.RunnerMismatch,
            runner_calls.RunnerFenced,
        ) as failure:
            # The waiting poll fails in the same way and handles the failure.
            logger.debug(
                "Reading the report of runner %s failed: %s",
                self._runner_id,
                failure,
            )
        finally:
            self._requesting_report = False

    def _acknowledge_ends(
        self, runner: runner_state.RunnerState, number: int
    ) -> None:
        """Acknowledge the ends of runs once their effects are stored."""
        incarnation = runner.started_at

        def record_stored(_: None) -> None:
            if runner.started_at == incarnation:
                runner.stored_end_number = max(
                    runner.stored_end_number, number
                )
                catalogue.emit(
                    logger, events.EndsStored(self._runner_id, number)
                )
            self.wake()

        stored = self._leader.store_changes()
        # On a change of the leader, the next leader reads these ends again.
        stored.addCallbacks(record_stored, lambda _: None)

    async def _handle_call_failure(
        self, runner: runner_state.RunnerState, failure: exceptions.CallFailed
    ) -> None:
        if runner.record_call_failure(
            self._leader.now(), reset=not failure.timed_out
        ):
            catalogue.emit(
                logger,
                events.RunnerUnreachable(
                    self._runner_id, str(failure), len(runner.run_by_task)
                ),
            )
        self._leader.runner_events.handle_runner_silent(
            self._runner_id, self._leader.now()
        )
        self._leader.request_planning()
        await self._wait_for_wakeup(RETRY_DELAY_S)

    async def send_start(self, command: commands.StartCommand) -> None:
        """Send a start command whose assignment is stored."""
        runner = self._runner()
        run = command.run
        attempt = command.message.attempt
        leader = self._leader
        if run.attempt != attempt or run.runner_id != self._runner_id:
            return
        if run.phase is not runs.Phase.ASSIGNED or run.sent_at:
            return
        if (
            runner is None
            or not leader.may_send_commands()
            or not runner.lease_allowed
            or not runner.entry_current
        ):
            leader.scheduler_state.release_run(run, leader.now())
            leader.request_planning()
            return
        run.sent_at = sent_at = leader.now()
        incarnation = runner.started_at
        lease_until_s = runner.extend_lease(sent_at, self._lease_s)
        runner.command_window.begin()
        try:
            result = await self._calls.start_task(
                self._runner_id,
                runner.entry.address,
                command.message,
                lease_until_s,
                timeout_s=runner.call_timeout_s(),
                send_before=leader.commands_valid_until(),
            )
        except Exception as error:
            # Without an outcome the task would wait for ever.
            background.log_step_failure("start", error)
            result = runner_calls.StartResult(messages.StartOutcome.UNKNOWN)
        now = leader.now()
        self._record_start_time(runner, sent_at, result.outcome)
        if (
            result.clock_s is not None
            and self._runner() is runner
            and runner.started_at == incarnation
        ):
            runner.record_clock(result.clock_s, now)
        leader.runner_events.handle_start_outcome(
            run, attempt, self._runner_id, result.outcome, now
        )
        if result.outcome is messages.StartOutcome.FENCED:
            leader.verify_leadership(
                f"runner {self._runner_id} rejects this host's token"
            )
        self.wake()
        leader.request_planning()
        if result.outcome is messages.StartOutcome.UNKNOWN:
            await self._request_report_now(runner)
        elif run.job.crash_history(run).suspected:
            background.spawn(
                self._request_report_when_settled(runner),
                f"report of runner {self._runner_id}",
            )

    def _record_start_time(
        self,
        runner: runner_state.RunnerState,
        sent_at: float,
        outcome: messages.StartOutcome,
    ) -> None:
        """Record how long the runner took for a start."""
        window, now = runner.command_window, self._leader.now()
        if outcome is messages.StartOutcome.NOT_SENT:
            window.cancel()
            return
        answered = outcome is not messages.StartOutcome.UNKNOWN
        if answered:
            runner.response_time.record_response(now - sent_at)
        window.end(sent_at, now, answered=answered)

    async def _request_report_when_settled(
        self, runner: runner_state.RunnerState
    ) -> None:
        """Request the report that shows whether a suspected task goes on."""
        wait_s = crash_attribution.SETTLING_S + SETTLED_REPORT_DELAY_S
        await twisted_task.deferLater(self._reactor, wait_s, lambda: None)
        if self._runner() is runner:
            await self._request_report_now(runner)

    async def send_stop(self, command: commands.StopCommand) -> None:
        """Send a stop command; it is repeated if no response arrives."""
        runner = self._runner()
        if runner is None:
            return
        task, attempt = command.message.task, command.message.attempt
        incarnation = runner.started_at
        try:
            accepted = await self._calls.stop_task(
                self._runner_id,
                runner.entry.address,
                task,
                attempt,
                timeout_s=runner.call_timeout_s(),
                send_before=self._leader.commands_valid_until(),
            )
        except runner_calls.RunnerFenced as failure:
            self._leader.verify_leadership(str(failure))
            return
        except (exceptions.CallFailed, runner_calls.RunnerMismatch) as failure:
            logger.debug("Stopping task %s failed: %s", task, failure)
            return
        if accepted and runner.started_at == incarnation:
            self._leader.runner_events.handle_stop_accepted(
                self._runner_id, task, attempt, self._leader.now()
            )
            self.wake()
            run = runner.run_by_task.get(task)
            if run is not None and not run.acknowledged_at:
                # If the run never began, the runner reports no end of it.
                await self._request_report_now(runner)

    async def send_pace(self, command: commands.PaceCommand) -> None:
        """Set a run's speed; a failed command is sent again after a report."""
        runner = self._runner()
        run = command.run
        if runner is None or run.attempt != command.attempt:
            return
        try:
            accepted = await self._calls.pace_task(
                self._runner_id,
                runner.entry.address,
                run.name,
                command.attempt,
                command.percent,
                timeout_s=runner.call_timeout_s(),
                send_before=self._leader.commands_valid_until(),
            )
        except (exceptions.CallFailed, runner_calls.RunnerMismatch) as failure:
            logger.debug(
                "Setting the pace of task %s failed: %s", run.name, failure
            )
            return
        if accepted and run.attempt == command.attempt:
            run.pace = command.percent


Sleep = Callable[[float], Awaitable[None]]


def make_sleep(reactor: Any) -> Sleep:
    """Return a function that waits a number of seconds."""

    async def sleep(pause_s: float) -> None:
        await twisted_task.deferLater(reactor, pause_s, lambda: None)

    return sleep
