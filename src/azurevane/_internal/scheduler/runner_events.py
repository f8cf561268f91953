"""Handles registrations, reports and command responses of runners."""

from collections.abc import Iterable, Mapping
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.models import site
from azurevane._internal.policy import pacing
from azurevane._internal.policy import runner_health
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import crash_judge
from azurevane._internal.scheduler import late_starts
from azurevane._internal.scheduler import run_ends
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

_Phase = runs.Phase
_Outcome = messages.StartOutcome
# Outcomes after which the runner gets no new tasks for a backoff time.
_RUNNER_FAULT_OUTCOMES = {
    _Outcome.UNHEALTHY,
    _Outcome.NOT_SENT,
    _Outcome.NO_CAPACITY,
    _Outcome.INVALID,
}


class RunnerEventHandler:
    """Updates state from what runners report; times are monotonic seconds."""

    def __init__(self, scheduler_state: state_module.SchedulerState) -> None:
        self._scheduler_state = scheduler_state
        self._crash_judge = crash_judge.CrashJudge(scheduler_state)
        self._run_end_handler = run_ends.RunEndHandler(
            scheduler_state, self._crash_judge
        )

    def replace_entries(
        self, entries: Iterable[site.Runner], now: float
    ) -> None:
        """Apply a complete read of the runners' entries in the store."""
        entry_by_id = {entry.id: entry for entry in entries}
        for runner_id in list(self._scheduler_state.runner_by_id):
            if runner_id not in entry_by_id:
                self.handle_runner_unlisted(runner_id, now)
        for entry in entry_by_id.values():
            self.handle_runner_listed(entry, now)

    def handle_runner_listed(self, entry: site.Runner, now: float) -> None:
        """Apply a runner's new or changed entry in the store."""
        runner = self._scheduler_state.runner_by_id.get(entry.id)
        if runner is None:
            self._add_runner(entry, now)
            return
        if runner_state.is_later_start(runner.started_at, entry.started_at):
            # A late write of a previous incarnation, or the host's time of
            # day was set back. The runner is asked.
            runner.contradicting_entry = entry
            return
        if runner_state.is_later_start(entry.started_at, runner.started_at):
            self._start_incarnation(runner, entry.started_at, "entry", now)
        if entry.draining and not runner.entry.draining:
            catalogue.emit(
                logger,
                events.RunnerDraining(entry.id, entry.leaves_in_s or 0.0),
            )
        runner.update_entry(entry, now)

    def _add_runner(self, entry: site.Runner, now: float) -> None:
        runner = runner_state.RunnerState(
            entry,
            now,
            self._scheduler_state.unreached_until_of(entry.id),
            self._scheduler_state.lease_max_s,
        )
        for until_by_runner in (
            self._scheduler_state.unreached_until_by_runner,
            self._scheduler_state.restart_lease_by_runner,
        ):
            if entry.id in until_by_runner:
                runner.keep_lease_until(until_by_runner[entry.id])
        runner.keep_lease_until(self._scheduler_state.restart_leases_until)
        runner.expiry_published = (
            entry.id in self._scheduler_state.published_runners
        )
        self._scheduler_state.runner_by_id[entry.id] = runner
        for job in self._scheduler_state.live_job_by_id.values():
            for run in job.runs_occupying_capacity():
                if run.runner_id == entry.id:
                    runner.add_run(run)
        self._scheduler_state.late_starts.begin_incarnation(entry.id, now)
        self._stop_late_starts(runner, now)
        catalogue.emit(
            logger,
            events.RunnerSeen(
                entry.id, entry.service, entry.zone, entry.address
            ),
        )

    def handle_runner_unlisted(self, runner_id: str, now: float) -> None:
        """Handle the removal of a runner's entry from the store."""
        runner = self._scheduler_state.runner_by_id.get(runner_id)
        if runner is None or not runner.listed:
            return
        runner.listed = False
        catalogue.emit(
            logger, events.RunnerUnlisted(runner_id, len(runner.run_by_task))
        )
        if not runner.run_by_task and not runner.need_by_orphan:
            del self._scheduler_state.runner_by_id[runner_id]

    @staticmethod
    def _settle_entry(runner: runner_state.RunnerState, now: float) -> None:
        """Apply or drop an entry once a report shows what runs."""
        entry, runner.contradicting_entry = runner.contradicting_entry, None
        if entry is not None and entry.started_at == runner.started_at:
            runner.update_entry(entry, now)

    def _start_incarnation(
        self,
        runner: runner_state.RunnerState,
        started_at: float,
        shown_by: str,
        now: float,
    ) -> None:
        catalogue.emit(
            logger,
            events.RunnerReborn(runner.id, len(runner.run_by_task), shown_by),
        )
        self._crash_judge.judge_runners((runner,), now)
        for run in runner.run_by_task.values():
            # The new incarnation may have accepted any of the runs before
            # its restart was known, but no stop. Its report shows which.
            run.stop_acknowledged_at = 0.0
            run.begun_clock_s = None
            if run.phase is _Phase.ASSIGNED and run.sent_at:
                # The start command may still reach the new incarnation.
                run.unconfirmed_since = run.unconfirmed_since or now
        runner.start_incarnation(started_at, now)
        self._scheduler_state.late_starts.begin_incarnation(runner.id, now)
        self._stop_late_starts(runner, now)
        self._scheduler_state.restart_noticed = True

    def _stop_late_starts(
        self, runner: runner_state.RunnerState, now: float
    ) -> None:
        """Stop runs whose starts may still arrive at a new incarnation."""
        late_starts = self._scheduler_state.late_starts
        for start in late_starts.take_due_stops(runner.id, now):
            self._queue_stop(
                runner, start.task, start.attempt, "its start may come late"
            )

    def handle_runner_gone(
        self, runner_id: str, reason: str, now: float
    ) -> None:
        """Remove a runner that has certainly stopped, and release its runs."""
        runner = self._scheduler_state.runner_by_id.get(runner_id)
        if runner is None:
            return
        self._release_lost_runner(runner, reason, now)
        del self._scheduler_state.runner_by_id[runner_id]
        self._scheduler_state.stop_awaiting_runner(runner_id, reason)

    def handle_runners_crashed(
        self, reason_by_runner: Mapping[str, str], now: float
    ) -> None:
        """Remove runners that ended without an order to, at the same time."""
        self._crash_judge.judge_runners(
            [
                self._scheduler_state.runner_by_id[runner_id]
                for runner_id in reason_by_runner
                if runner_id in self._scheduler_state.runner_by_id
            ],
            now,
        )
        for runner_id, reason in reason_by_runner.items():
            runner = self._scheduler_state.runner_by_id.get(runner_id)
            if runner is not None:
                # It may start again under its id.
                self._scheduler_state.note_late_lease(
                    runner_id, runner.late_lease_end()
                )
            self.handle_runner_gone(runner_id, reason, now)

    def handle_runner_silent(self, runner_id: str, now: float) -> None:
        """Release the runs of an unreachable runner once its lease expired."""
        runner = self._scheduler_state.runner_by_id.get(runner_id)
        if runner is None or now < runner.lease_end().at:
            return
        if runner.run_by_task:
            self._crash_judge.judge_runners((runner,), now)
        if not runner.listed:
            self.handle_runner_gone(runner_id, "silent past its lease", now)
            return
        if runner.run_by_task or runner.need_by_orphan:
            self._release_lost_runner(runner, "silent past its lease", now)
        runner.need_by_orphan.clear()
        runner.fenced = False

    def release_unregistered_runs(self, now: float) -> None:
        """Release runs whose runner has not registered with this leader.

        They are kept while the runner may execute the previous leader's
        commands.
        """
        lost_by_runner: dict[str, list[runs.Run]] = {}
        for job in self._scheduler_state.live_job_by_id.values():
            for run in job.runs_occupying_capacity():
                runner_id = run.runner_id
                if runner_id in self._scheduler_state.runner_by_id:
                    continue
                if now >= self._scheduler_state.unreached_until_of(runner_id):
                    lost_by_runner.setdefault(runner_id, []).append(run)
        if lost_by_runner:
            self._crash_judge.judge_unregistered(lost_by_runner, now)
        for lost in lost_by_runner.values():
            for run in lost:
                self._release_lost_run(run, "runner not registered", now)

    def _release_lost_runner(
        self, runner: runner_state.RunnerState, reason: str, now: float
    ) -> None:
        lease_end = runner.lease_end()
        catalogue.emit(
            logger,
            events.RunnerLost(
                runner.id,
                reason,
                len(runner.run_by_task),
                lease_end.granted_by.value,
                round(now - lease_end.at, 3),
                round(now - runner.last_contact_at, 3),
                runner.fenced,
            ),
        )
        for run in list(runner.run_by_task.values()):
            self._release_lost_run(run, reason, now)

    def _release_lost_run(
        self, run: runs.Run, reason: str, now: float
    ) -> None:
        runner = self._scheduler_state.runner_by_id.get(run.runner_id)
        begun_s = heard_s = None
        if run.acknowledged_at:
            begun_s = round(now - run.acknowledged_at, 3)
            if runner is not None:
                heard_s = runner.last_contact_at - run.acknowledged_at
                heard_s = round(heard_s, 3)
        catalogue.emit(
            logger,
            events.RunLost(
                str(run.name),
                run.attempt,
                run.runner_id,
                reason,
                begun_s,
                heard_s,
            ),
        )
        self._scheduler_state.release_run(run, now)

    def handle_start_outcome(
        self,
        run: runs.Run,
        attempt: int,
        runner_id: str,
        outcome: messages.StartOutcome,
        now: float,
    ) -> None:
        """Handle the outcome of a start command."""
        current = run.attempt == attempt and run.runner_id == runner_id
        if not current or not run.occupies_capacity:
            return
        if outcome is _Outcome.STARTED:
            run.acknowledged_at = now
            self._note_begun(run)
            self._scheduler_state.record_begun(run.job)
            if run.phase is _Phase.ASSIGNED:
                run.phase = _Phase.RUNNING
                run.unconfirmed_since = 0.0
            self._handle_start_accepted(runner_id)
            return
        catalogue.emit(
            logger,
            events.RunRejected(
                str(run.name), attempt, runner_id, outcome.value
            ),
        )
        if outcome is _Outcome.UNKNOWN:
            run.unconfirmed_since = now
            return
        if run.phase is _Phase.RUNNING:
            # A report already showed that the run is running.
            return
        # The runner has answered, so the start won't arrive later.
        run.sent_at = 0.0
        self._handle_start_rejected(run, runner_id, outcome, now)

    def _note_begun(self, run: runs.Run) -> None:
        if run.begun_clock_s is not None:
            return
        runner = self._scheduler_state.runner_by_id.get(run.runner_id)
        if runner is not None:
            run.begun_clock_s = runner.clock_s

    def _handle_start_accepted(self, runner_id: str) -> None:
        runner = self._scheduler_state.runner_by_id.get(runner_id)
        if runner is not None:
            runner.record_acceptance()

    def _handle_start_rejected(
        self,
        run: runs.Run,
        runner_id: str,
        outcome: messages.StartOutcome,
        now: float,
    ) -> None:
        if outcome is _Outcome.RUNNER_MISMATCH:
            self.handle_runners_crashed(
                {runner_id: "another runner at its address"}, now
            )
        else:
            runner = self._scheduler_state.runner_by_id.get(runner_id)
            if runner is not None and outcome in _RUNNER_FAULT_OUTCOMES:
                runner.record_rejection(now)
            if outcome is _Outcome.BAD_TICKET:
                self._scheduler_state.drop_ticket(run)
            self._scheduler_state.release_run(run, now)
        if run.step.gang:
            self._stop_gang_members(run, now)

    def _stop_gang_members(self, run: runs.Run, now: float) -> None:
        """Stop the other members of a gang of which one can't start."""
        key = run.name.occurrence, run.name.step
        for member in run.job.runs_by_step[key]:
            if (
                member.occupies_capacity
                and member.phase is not _Phase.STOPPING
            ):
                self._scheduler_state.stop_run(
                    member, "gang is incomplete", now
                )

    def handle_stop_accepted(
        self,
        runner_id: str,
        task: job_models.TaskName,
        attempt: int,
        now: float,
    ) -> None:
        """Record that a runner accepted a stop command."""
        self._scheduler_state.late_starts.record_stopped(
            runner_id, late_starts.LateStart(task, attempt)
        )
        runner = self._scheduler_state.runner_by_id.get(runner_id)
        run = None if runner is None else runner.run_by_task.get(task)
        if run is None or run.attempt != attempt:
            return
        run.stop_acknowledged_at = now

    def handle_report(
        self,
        runner_id: str,
        report: messages.RunnerReport,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Apply a runner's lists of running and ended tasks.

        Args:
            sent_at: time at which the call was sent that returned the report.

        Returns:
            Whether the report is of the newest known incarnation.
        """
        runner = self._scheduler_state.runner_by_id.get(runner_id)
        if runner is None:
            return False
        started_at = report.started_at
        if started_at and runner.is_later_incarnation(started_at, sent_at):
            # The entry of the new incarnation follows within a heartbeat, or
            # later if the store is down.
            self._start_incarnation(runner, started_at, "report", now)
        elif runner_state.starts_differ(started_at, runner.started_at):
            return False
        if sent_at >= runner.shown_at:
            self._settle_entry(runner, now)
        runner.record_clock(report.clock_s, now)
        if not runner.fenced:
            runner.confirm_fenced(now, self._scheduler_state.lease_s)
            self._scheduler_state.request_service_plan(runner.entry.service)
            catalogue.emit(
                logger,
                events.RunnerFenced(
                    runner_id, len(report.running), len(report.ended)
                ),
            )
        for ended in report.ended:
            if ended.number > runner.processed_end_number:
                self._run_end_handler.handle_run_end(runner, ended, now)
        runner.processed_end_number = max(
            runner.processed_end_number, report.last_number
        )
        self._reconcile_runs(runner, report, sent_at, now)
        return True

    def _reconcile_runs(
        self,
        runner: runner_state.RunnerState,
        report: messages.RunnerReport,
        sent_at: float,
        now: float,
    ) -> None:
        """Compare the runs assigned to a runner with those it reports."""
        if runner.id in self._scheduler_state.awaited_runners:
            self._adopt_runs(runner, report)
        running_by_task = {item.task: item for item in report.running}
        for run in list(runner.run_by_task.values()):
            running = running_by_task.get(run.name)
            if running is not None and running.attempt == run.attempt:
                self._update_running(run, running, now)
                self._crash_judge.clear_settled_run(runner, run)
                self._stop_if_stalled(runner, run, now)
            elif report.complete:
                self._handle_unreported_run(runner, run, sent_at, now)
        runner.need_by_orphan.clear()
        for running in runner_state.find_orphaned_runs(runner, report):
            self._stop_orphaned_run(runner, running)
        self._stop_late_starts(runner, now)
        self._adjust_paces(runner)

    def _adopt_runs(
        self, runner: runner_state.RunnerState, report: messages.RunnerReport
    ) -> None:
        """Take over runs that a previous leader started without a record."""
        for running in report.running:
            job = self._scheduler_state.live_job_by_id.get(running.task.job_id)
            run = None if job is None else job.find_run(running.task)
            if (
                run is not None
                and run.maybe_started
                and run.phase is _Phase.WAITING
                and running.attempt == runs.UNSTORED_ATTEMPT
                and not run.job.status.ended
            ):
                self._scheduler_state.adopt_run(run, runner)
        if report.complete:
            self._scheduler_state.stop_awaiting_runner(
                runner.id, "it has listed its runs"
            )

    def _adjust_paces(self, runner: runner_state.RunnerState) -> None:
        """Set the speed of the tasks that use spare processor time.

        It depends on how near the serving tasks of the same runner are to
        their latency targets.
        """
        running = [
            run
            for run in runner.run_by_task.values()
            if run.phase is _Phase.RUNNING
        ]
        latency_ratios = [
            run.load / 1000 / run.step.latency_target_s
            for run in running
            if run.step.latency_target_s
        ]
        worst_ratio = max(latency_ratios, default=0.0)
        for run in running:
            if not run.step.fills or run.step.long_running:
                continue
            pace = pacing.next_speed(run.pace, worst_ratio)
            if pace != run.pace:
                self._scheduler_state.queue_command(
                    commands.PaceCommand(runner.id, run, run.attempt, pace)
                )

    def _update_running(
        self, run: runs.Run, running: messages.RunningTask, now: float
    ) -> None:
        was_serving = run.serving
        self._note_begun(run)
        self._scheduler_state.record_begun(run.job)
        run.record_progress(running.percent, now)
        run.load = running.load
        if running.checkpoint:
            run.checkpoint = running.checkpoint
        if run.withdrawn and not run.stop_acknowledged_at:
            # It has begun after all, and nothing else speaks against it.
            run.withdrawn = False
            run.phase = _Phase.ASSIGNED
        if run.phase is _Phase.ASSIGNED:
            run.phase = _Phase.RUNNING
            if run.inherited:
                run.inherited = False
                # The runner lists a task as running until its stop ends.
                run.earlier_stop_until = (
                    now + self._scheduler_state.runner_stop_s
                )
            run.acknowledged_at = run.acknowledged_at or now
            run.unconfirmed_since = 0.0
            if run.job.status.ended:
                self._scheduler_state.stop_run(run, "job ended", now)
        if was_serving and not run.serving:
            run.not_serving_since = now
        if run.phase is _Phase.STOPPING:
            self._scheduler_state.resend_stop_if_due(run, now)

    def _stop_if_stalled(
        self, runner: runner_state.RunnerState, run: runs.Run, now: float
    ) -> None:
        """Stop a run without progress; its task restarts on another runner."""
        # Members of a gang wait for each other, and a task of reduced speed
        # may make no progress.
        exempt = run.step.long_running or run.step.gang or run.pace < 100
        if run.phase is not _Phase.RUNNING or exempt:
            return
        unchanged_s = now - run.progress_at
        expected_s = run.step.estimate_s
        if not runner_health.is_stalled(unchanged_s, expected_s):
            return
        run.failed_on.add(runner.id)
        self._scheduler_state.stop_run(run, "no progress", now)
        if runner.health.record_stall(now):
            run_ends.log_runner_pause(runner, "its tasks are stalled", now)

    def _handle_unreported_run(
        self,
        runner: runner_state.RunnerState,
        run: runs.Run,
        sent_at: float,
        now: float,
    ) -> None:
        """Handle a run that its runner lists neither as running nor ended."""
        if run.inherited:
            if runner.started_at > run.job.job.accepted_at:
                self._crash_judge.judge_missing_run(run)
            # The runner rejects the previous leader's commands by now.
            self._release_lost_run(run, "never begun", now)
        elif run.stop_acknowledged_at:
            if sent_at >= run.stop_acknowledged_at:
                self._release_lost_run(run, "stopped before it began", now)
        elif run.acknowledged_at:
            if sent_at > run.acknowledged_at:
                self._release_lost_run(run, "runner doesn't know it", now)
        elif run.phase is _Phase.STOPPING:
            self._scheduler_state.resend_stop_if_due(run, now)
        elif run.unconfirmed_since and sent_at >= run.unconfirmed_since:
            self._scheduler_state.stop_run(run, "start not confirmed", now)
            run.withdrawn = True

    def _stop_orphaned_run(
        self, runner: runner_state.RunnerState, running: messages.RunningTask
    ) -> None:
        job = self._scheduler_state.job_by_id.get(running.task.job_id)
        run = None if job is None else job.find_run(running.task)
        need = job_models.Capacity() if run is None else run.step.need
        runner.need_by_orphan[running.task, running.attempt] = need
        self._queue_stop(runner, running.task, running.attempt, "not assigned")

    def _queue_stop(
        self,
        runner: runner_state.RunnerState,
        task: job_models.TaskName,
        attempt: int,
        reason: str,
    ) -> None:
        """Stop a run that isn't assigned to its runner."""
        message = messages.StartTask(task, attempt, "", "")
        self._scheduler_state.queue_command(
            commands.StopCommand(runner.id, message)
        )
        catalogue.emit(
            logger, events.RunStopped(str(task), attempt, runner.id, reason)
        )
