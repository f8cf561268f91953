"""State of a site's jobs, runners and runs, and its transitions."""

from collections.abc import Iterable
import logging
import operator

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.models import site
from azurevane._internal.policy import job_order
from azurevane._internal.scheduler import advice_book
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import late_starts
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import superseded_runs

logger = logging.getLogger(__name__)

# Least time between two stop commands for the same run.
STOP_RESEND_INTERVAL_S = 0.5
# A task is given up for crashes of at least this many hosts; a single one may
# be at fault itself.
MIN_CRASHED_HOSTS = 2
# Pause of a task that would be given up if its crashes weren't of one host.
ONE_HOST_PAUSE_S = 1.0


class SchedulerState:
    """State shared by the leader's components; times are monotonic seconds.

    A change that must be stored before the commands that depend on it are
    sent adds its job to the result of ``take_changed_jobs``.

    Attributes:
        live_job_by_id: jobs that have not ended or still occupy capacity.
        draining_runners: ids of runners that get no new tasks because their
            host is about to be moved or maintained.
        lease_s: length of the leases that leaders grant, in seconds.
        lease_max_s: longest lease that a runner grants, in seconds.
        runner_stop_s: longest time that a runner takes to stop a run.
        unreached_until: time until which a runner that this leader has not
            reached yet may execute commands of the previous leader.
        unreached_until_by_runner: the same for runners whose lease expiry
            the previous leader published.
        restart_lease_by_runner: until when a runner may hold a lease that it
            got before its restart was known to a previous leader.
        restart_leases_until: the same for any runner, where there were too
            many to name them.
        restart_noticed: whether a restart was noticed that the renewal row
            doesn't tell of yet.
        published_runners: ids of runners whose lease expiry the renewal row
            may show, so that a later leader relies on it.
        write_overdue_since: when the write was sent that the slow store
            hasn't answered yet, or None. Jobs of since then may not be known.
        awaited_runners: ids of the runners that may have runs of previous
            leaders of which no job's state tells, and haven't listed them.
        late_starts: starts without a response that may still arrive.
        advice: what the advisor answered about steps that wait.
    """

    def __init__(
        self,
        unreached_until: float,
        lease_s: float = runner_state.RUNNER_LEASE_S,
        lease_max_s: float = runner_state.RUNNER_LEASE_S,
        runner_stop_s: float = 0.0,
    ) -> None:
        self.config: site.SiteConfig | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.job_by_id: dict[str, runs.JobState] = {}
        self.live_job_by_id: dict[str, runs.JobState] = {}
        self.runner_by_id: dict[str, runner_state.RunnerState] = {}
        self.draining_runners: set[str] = set()
        self.lease_s = lease_s
        self.lease_max_s = lease_max_s
        self.runner_stop_s = runner_stop_s
        self.unreached_until = unreached_until
        self.unreached_until_by_runner: dict[str, float] = {}
        self.restart_lease_by_runner: dict[str, float] = {}
        self.restart_leases_until = 0.0
        self.restart_noticed = False
        self.published_runners: set[str] = set()
        self.write_overdue_since: float | None = None
        self.awaited_runners: set[str] = set()
        self.late_starts = late_starts.LateStarts()
        self.advice = advice_book.AdviceBook()
        self._team_rate_meter = job_order.TeamRateMeter()
        self._used_by_team: dict[str, list[int]] = {}
        self._changed_job_by_id: dict[str, runs.JobState] = {}
        self._commands: list[commands.Command] = []
        self._services_to_plan: set[str] = set()
        self._all_services_to_plan = True

    def unreached_until_of(self, runner_id: str) -> float:
        """Return the ``unreached_until`` time of one runner."""
        return max(
            self.unreached_until_by_runner.get(
                runner_id, self.unreached_until
            ),
            self.restart_lease_by_runner.get(runner_id, 0.0),
            self.restart_leases_until,
        )

    def note_late_lease(self, runner_id: str, until: float) -> None:
        """Note until when a runner may hold a lease of before its crash."""
        leases = self.restart_lease_by_runner
        leases[runner_id] = max(leases.get(runner_id, 0.0), until)

    def lease_ends_to_publish(
        self, now: float, *, all_read: bool
    ) -> dict[str, float]:
        """Return the ends of leases that this leader can't extend.

        Args:
            all_read: whether all jobs and runners have been read.
        """
        lease_ends = {
            runner_id: runner.lease_end().at
            for runner_id, runner in self.runner_by_id.items()
            if runner.run_by_task
            and (
                runner.unreachable
                or (runner.expiry_published and not runner.reached)
            )
        }
        for runner_id in self.published_runners:
            if runner_id in self.runner_by_id:
                continue
            expires_at = self.unreached_until_of(runner_id)
            if now < expires_at or not all_read:
                lease_ends[runner_id] = expires_at
        return lease_ends

    def restart_leases(self, now: float) -> dict[str, float]:
        """Return until when runners may hold leases of before a restart.

        Only leases that may last longer than until now are included.
        """
        self.restart_lease_by_runner = {
            runner_id: until
            for runner_id, until in self.restart_lease_by_runner.items()
            if until > now
        }
        until_by_runner = {
            # Of runners that aren't registered with this leader as well.
            **self.restart_lease_by_runner,
            **{
                runner_id: max(
                    runner.kept_lease_until,
                    self.restart_lease_by_runner.get(runner_id, 0.0),
                )
                for runner_id, runner in self.runner_by_id.items()
            },
        }
        return {
            runner_id: until
            for runner_id, until in until_by_runner.items()
            if until > now
        }

    def publish_expiries(self, runner_ids: Iterable[str]) -> None:
        """Extend no lease of these runners from now on."""
        self.published_runners.update(runner_ids)
        for runner_id in self.published_runners:
            runner = self.runner_by_id.get(runner_id)
            if runner is not None:
                runner.expiry_published = True

    def withdraw_expiries(self, published_runners: Iterable[str]) -> None:
        """Allow to extend the leases of all runners but these."""
        self.published_runners = set(published_runners)
        for runner_id, runner in self.runner_by_id.items():
            runner.expiry_published = runner_id in self.published_runners

    def take_changed_jobs(self) -> list[runs.JobState]:
        """Return the jobs whose state must be stored, and clear the list."""
        changed = list(self._changed_job_by_id.values())
        self._changed_job_by_id.clear()
        return changed

    def take_commands(self) -> list[commands.Command]:
        """Return the queued commands, and clear the queue."""
        queued, self._commands = self._commands, []
        return queued

    def queue_command(self, command: commands.Command) -> None:
        """Queue a command to be sent after the next planning pass."""
        self._commands.append(command)

    def mark_job_changed(self, state: runs.JobState) -> None:
        """Mark a job's state to be stored."""
        self._changed_job_by_id[state.job.id] = state

    def add_job(
        self,
        job: job_models.Job,
        *,
        now: float,
        unix_now: float,
        stored_state: bytes | None = None,
    ) -> None:
        """Add a submitted job, unless it was added before.

        Args:
            unix_now: current Unix time in seconds.
            stored_state: value of the job's state row, if there is one.
        """
        if job.id in self.job_by_id:
            return
        age_s = max(unix_now - job.accepted_at, 0.0)
        arrived_at = now - age_s
        state = runs.JobState(
            job,
            now=now,
            arrived_at=arrived_at,
            objective_at=arrived_at + job.objective_s,
        )
        self.job_by_id[job.id] = state
        state.beyond_share = self._count_against_share(job, arrived_at)
        if stored_state is not None:
            records.restore_state(state, stored_state)
        if state.status.ended:
            # The end time isn't stored, so the retention of the job's rows
            # starts again now.
            state.ended_at = now
        if state.status.ended and not state.runs_occupying_capacity():
            return
        self.live_job_by_id[job.id] = state
        for run in state.runs_occupying_capacity():
            self._count_usage(run, 1)
            runner = self.runner_by_id.get(run.runner_id)
            if runner is not None:
                runner.add_run(run)
        self.request_service_plan(self.service_of(job))
        catalogue.emit(
            logger,
            events.JobSeen(
                job.id,
                job.queue,
                job.team,
                state.beyond_share,
                round(age_s, 3),
            ),
        )

    def _count_against_share(
        self, job: job_models.Job, arrived_at: float
    ) -> bool:
        """Count a job against its team's share; True if it exceeds it."""
        team = None
        if self.config is not None:
            team = self.config.team_by_name.get(job.team)
        if team is None:
            return False
        return self._team_rate_meter.count_job(
            team.name, team.weight, arrived_at
        )

    def has_suspected_tasks(self) -> bool:
        """Whether any task is suspected of crashing runners."""
        return any(
            job.crash_history_by_task for job in self.live_job_by_id.values()
        )

    def request_service_plan(self, service: str) -> None:
        """Let the next planning pass consider a service."""
        self._services_to_plan.add(service)

    def request_full_plan(self) -> None:
        """Let the next planning pass consider all services."""
        self._all_services_to_plan = True

    def take_services_to_plan(self) -> frozenset[str] | None:
        """Return the services to plan, or None for all; clear the list."""
        services = frozenset(self._services_to_plan)
        everything = self._all_services_to_plan
        self._services_to_plan.clear()
        self._all_services_to_plan = False
        return None if everything else services

    def service_of(self, job: job_models.Job) -> str:
        """Return the service whose runners run a job's tasks."""
        if self.config is None:
            return job.service
        queue = self.config.queue_by_name.get(job.queue)
        return job.service if queue is None else queue.service

    def advisor_times_of(self, job: job_models.Job) -> site.AdvisorTimes:
        """Return how long the advisor takes for a job's queue."""
        if self.config is None or job.queue not in self.config.queue_by_name:
            return site.AdvisorTimes()
        return self.config.queue_by_name[job.queue].advisor_times

    def drop_ticket(self, run: runs.Run) -> None:
        """Forget the advisor's ticket of a start that was rejected for it."""
        self.advice.drop_ticket(
            self.service_of(run.job.job), run.name.step_name, run.runner_id
        )

    def forget_job(self, job_id: str) -> None:
        """Remove a job whose rows were deleted."""
        self.job_by_id.pop(job_id, None)
        self.live_job_by_id.pop(job_id, None)

    def cancel_job(self, job_id: str, now: float) -> None:
        """Cancel a job: stop its runs and start no more."""
        state = self.job_by_id.get(job_id)
        if state is None or state.status.ended:
            return
        self.end_job(state, runs.JobStatus.CANCELLED, "cancelled", now)

    def end_job(
        self,
        state: runs.JobState,
        status: runs.JobStatus,
        reason: str,
        now: float,
    ) -> None:
        """Set a job's final status and stop its remaining runs."""
        state.status = status
        state.ended_at = now
        self.mark_job_changed(state)
        catalogue.emit(
            logger,
            events.JobEnded(
                state.job.id,
                state.job.queue,
                status.value,
                reason,
                round(now - state.arrived_at, 3),
                round(now - state.objective_at, 3),
            ),
        )
        for run in state.runs_occupying_capacity():
            if run.phase is not runs.Phase.STOPPING:
                self.stop_run(run, reason, now)
        self._drop_job_if_inactive(state)

    def _drop_job_if_inactive(self, state: runs.JobState) -> None:
        if state.status.ended and not state.runs_occupying_capacity():
            self.live_job_by_id.pop(state.job.id, None)

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs of which no task has begun, by queue."""
        count_by_queue: dict[str, int] = {}
        for state in self.live_job_by_id.values():
            if not state.begun and not state.status.ended:
                name = state.job.queue
                count_by_queue[name] = count_by_queue.get(name, 0) + 1
        return count_by_queue

    def is_open_for_tasks(self, runner: runner_state.RunnerState) -> bool:
        """Whether a runner stays and its zone isn't taken out."""
        return (
            runner.listed
            and not runner.entry.draining
            and runner.id not in self.draining_runners
            and runner.entry.zone not in self.zones_out
        )

    def assign_run(
        self, run: runs.Run, runner: runner_state.RunnerState, attempt: int
    ) -> None:
        """Assign a task's next run to a runner."""
        run.assign(runner.id, attempt)
        runner.add_run(run)
        self._count_usage(run, 1)
        state = run.job
        if state.status is runs.JobStatus.QUEUED:
            state.status = runs.JobStatus.RUNNING
        self.mark_job_changed(state)

    def record_begun(self, state: runs.JobState) -> None:
        """Record that a runner has begun a task of a job."""
        if state.begun or state.status.ended:
            return
        state.begun = True
        # Stored with the next write, as callers read the stored state.
        self.mark_job_changed(state)

    def await_runners(self, runner_ids: Iterable[str]) -> None:
        """Hold starts until runners have listed the runs of previous leaders.

        To be called when all jobs that those leaders knew have been read.
        """
        self.awaited_runners = set(runner_ids)
        if not self.awaited_runners:
            return
        for state in self.job_by_id.values():
            if not state.status.ended:
                state.note_unstored_starts()
        catalogue.emit(logger, events.StartsHeld(len(self.awaited_runners)))

    def adopt_run(
        self, run: runs.Run, runner: runner_state.RunnerState
    ) -> None:
        """Take over a run that a previous leader started without a record."""
        self.assign_run(run, runner, runs.UNSTORED_ATTEMPT)
        run.inherited = True
        catalogue.emit(
            logger, events.RunAdopted(str(run.name), run.attempt, runner.id)
        )

    def stop_awaiting_runner(self, runner_id: str, reason: str) -> None:
        """Note that a runner's runs of previous leaders are known or lost.

        Tasks that no runner runs may start once that holds for all.
        """
        if runner_id not in self.awaited_runners:
            return
        self.awaited_runners.discard(runner_id)
        if self.awaited_runners:
            return
        catalogue.emit(logger, events.HeldStartsReleased(runner_id, reason))
        for state in self.job_by_id.values():
            if state.settle_unstored_starts():
                self.mark_job_changed(state)
        self.request_full_plan()

    def maybe_has_runs(self, runner: runner_state.RunnerState) -> bool:
        """Whether a runner has runs, or hasn't shown that it has none."""
        return bool(
            runner.run_by_task
            or runner.need_by_orphan
            or runner.id in self.awaited_runners
        )

    def release_run(
        self, run: runs.Run, now: float, not_before: float = 0.0
    ) -> None:
        """Take a run off its runner; its task waits for another run."""
        if not run.occupies_capacity:
            # Its job ended as another run of the same runner was released.
            return
        if run.sent_at and not run.acknowledged_at:
            # Its call may be without a response yet.
            self.late_starts.record_released(
                run.runner_id,
                late_starts.LateStart(run.name, run.attempt),
                run.sent_at,
            )
        self._remove_from_runner(run)
        run.release(now, not_before)
        self._end_job_if_exhausted(run, now)
        self.mark_job_changed(run.job)
        self._drop_job_if_inactive(run.job)

    def _end_job_if_exhausted(self, run: runs.Run, now: float) -> None:
        """End the job of a task that may not start again."""
        history = run.job.crash_history(run)
        if history.exhausted and not self._crashed_hosts_differ(run):
            run.not_before = max(run.not_before, now + ONE_HOST_PAUSE_S)
        elif history.exhausted and not run.job.status.ended:
            crash_count = len(history.all_attempts)
            self.end_job(
                run.job,
                runs.JobStatus.FAILED,
                f"{crash_count} runners crashed under task {run.name}",
                now,
            )
            return
        exhausted = len(run.failed_attempts) >= run.job.job.attempts
        if run.step.long_running or run.step.gang or not exhausted:
            return
        if not run.job.status.ended:
            self.end_job(
                run.job,
                runs.JobStatus.FAILED,
                f"no attempt of task {run.name} is left",
                now,
            )

    @staticmethod
    def _crashed_hosts_differ(run: runs.Run) -> bool:
        """Whether several hosts are known to have crashed under a task."""
        members = [run]
        if run.step.gang:
            key = run.name.occurrence, run.name.step
            members = run.job.runs_by_step[key]
        hosts = set().union(*(member.crashed_at for member in members))
        return len(hosts) >= MIN_CRASHED_HOSTS

    def task_count_by_runner(
        self, job: runs.JobState, key: tuple[int, int]
    ) -> dict[str, int]:
        """Return how many runs of a step each runner has.

        Runs that are being stopped as superseded count.
        """
        count_by_runner = job.task_count_by_runner(key)
        if not job.job.steps[key[1]].max_per_runner:
            return count_by_runner
        superseded = superseded_runs.count_by_runner(
            self.runner_by_id.values(), job.job.id, key
        )
        for runner_id, count in superseded.items():
            count_by_runner[runner_id] = (
                count_by_runner.get(runner_id, 0) + count
            )
        return count_by_runner

    def finish_run(self, run: runs.Run, attempt: int, now: float) -> None:
        """Mark a task as done; its job completes with its last task.

        Args:
            attempt: attempt that ended so. A later one may still run.
        """
        state = run.job
        members = [run]
        if run.step.gang:
            members = state.runs_by_step[run.name.occurrence, run.name.step]
        for member in members:
            if not member.occupies_capacity:
                continue
            if member.attempt != attempt and member.maybe_begun:
                self._stop_superseded_run(member, now)
            self._remove_from_runner(member)
        state.mark_task_done(run)
        self.mark_job_changed(state)
        if state.complete and not state.status.ended:
            self.end_job(
                state, runs.JobStatus.COMPLETED, "all tasks done", now
            )
        self._drop_job_if_inactive(state)

    def _stop_superseded_run(self, run: runs.Run, now: float) -> None:
        """Stop a run whose task is done.

        It occupies capacity until its runner no longer reports it.
        """
        runner = self.runner_by_id.get(run.runner_id)
        if runner is not None:
            orphan = run.name, run.attempt
            runner.need_by_orphan[orphan] = run.step.need
        self._send_stop(run, "an earlier attempt is done", now)

    def _remove_from_runner(self, run: runs.Run) -> None:
        runner = self.runner_by_id.get(run.runner_id)
        if runner is not None:
            runner.remove_run(run)
            self.request_service_plan(runner.entry.service)
        self._count_usage(run, -1)
        self.request_service_plan(self.service_of(run.job.job))

    def stop_run(self, run: runs.Run, reason: str, now: float) -> None:
        """Stop a run; it occupies capacity until its end is confirmed.

        A run whose start command was certainly not sent is released at once.
        """
        if not run.maybe_begun:
            self.release_run(run, now)
            return
        if run.serving:
            run.not_serving_since = now
        run.withdrawn = False
        run.phase = runs.Phase.STOPPING
        self._send_stop(run, reason, now)

    def resend_stop_if_due(self, run: runs.Run, now: float) -> None:
        """Repeat a stop command that may have been lost."""
        if now - run.stop_sent_at >= STOP_RESEND_INTERVAL_S:
            self._send_stop(run, "repeated", now)

    def _send_stop(self, run: runs.Run, reason: str, now: float) -> None:
        run.stop_sent_at = now
        message = messages.StartTask(run.name, run.attempt, "", "")
        self.queue_command(commands.StopCommand(run.runner_id, message))
        catalogue.emit(
            logger,
            events.RunStopped(
                str(run.name), run.attempt, run.runner_id, reason
            ),
        )

    def _count_usage(self, run: runs.Run, sign: int) -> None:
        """Add a run's needs to its team's usage, or subtract them."""
        used = self._used_by_team.setdefault(run.job.job.team, [0, 0, 0])
        need = run.step.need
        used[0] += sign * need.cpu
        used[1] += sign * need.memory
        used[2] += sign * need.gpu

    def free_capacity_by_team(self) -> dict[str, job_models.Capacity]:
        """Return the capacity left to each team that has an upper limit."""
        if self.config is None:
            return {}
        free: dict[str, job_models.Capacity] = {}
        further_needs = [
            superseded_runs.needs_by_team(
                self.runner_by_id.values(), self.job_by_id
            )
        ]
        if self.awaited_runners:
            further_needs.append(
                superseded_runs.maybe_started_needs_by_team(
                    self.live_job_by_id.values()
                )
            )
        for team in self.config.team_by_name.values():
            used = self._used_by_team.get(team.name, [0, 0, 0])
            for needs_by_team in further_needs:
                if team.name in needs_by_team:
                    used = list(
                        map(operator.add, used, needs_by_team[team.name])
                    )
            limits = (team.cap.cpu, team.cap.memory, team.cap.gpu)
            if any(limits):
                free[team.name] = job_models.Capacity(
                    *(
                        limit - amount if limit else _UNLIMITED
                        for limit, amount in zip(limits, used, strict=True)
                    )
                )
        return free


# Capacity that stands for no upper limit, in the units of each resource.
_UNLIMITED = 1 << 40
