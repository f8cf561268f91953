"""State of a runner: its entry, lease, capacity and health."""

import dataclasses
import enum

from azurevane._internal.models import job as job_models
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.models import site
from azurevane._internal.policy import command_window
from azurevane._internal.policy import runner_health
from azurevane._internal.scheduler import late_starts
from azurevane._internal.scheduler import runs as runs_module
from azurevane._internal.utils import latency

# Length of the lease that covers all runs on a runner. A shorter lease
# releases the runs of a silent runner sooner, but it must outlast a change of
# the leader.
RUNNER_LEASE_S = 5.0
# Largest share by which the platform's protocol lets a runner's clock be slow.
MAX_CLOCK_SLOWNESS = 0.02
# Time that a runner may take to end its runs after its lease expired.
LEASE_EXPIRY_MARGIN_S = 0.2
# A runner with tasks gets no new ones after this long without a response. It
# is polled about every 1.5 s.
MAX_SILENCE_S = 3.0
# Time without new tasks after a runner rejected a start. It doubles with each
# rejection up to the maximum.
INITIAL_BACKOFF_S = 0.25
# A runner answers within a round trip, which takes at most a few milliseconds.
TYPICAL_RESPONSE_S = 0.01
# A runner that answers a poll within this time has turned fast again.
FAST_RESPONSE_S = 0.1
# Least time after which a call without a response is given up, and the longest
# for a runner that has turned slow. Its lease outlasts that.
CALL_TIMEOUT_S = 1.0
MAX_CALL_TIMEOUT_S = 3.0
# A broken connection is noticed within this time.
RESET_DELAY_S = 0.02
MAX_BACKOFF_S = 4.0


def longest_lease_s(lease_s: float) -> float:
    """Return after which time a lease granted now has certainly expired.

    Args:
        lease_s: length of the lease by the runner's clock, in seconds.
    """
    return lease_s / (1 - MAX_CLOCK_SLOWNESS) + LEASE_EXPIRY_MARGIN_S


class LeaseGrantor(enum.Enum):
    """Leader whose lease on a runner lasts longest; the values are logged."""

    THIS_LEADER = "this leader"
    PREVIOUS_LEADER = "previous leader"
    # A command of this or the previous leader that was sent to a runner
    # whose restart wasn't known.
    BEFORE_RESTART_KNOWN = "before its restart was known"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEnd:
    """Time from which no run can be left on a runner, and whose lease it is.

    Attributes:
        at: monotonic time in seconds.
    """

    at: float
    granted_by: LeaseGrantor


class RunnerState:
    """State of one incarnation of a runner; times are monotonic seconds.

    Attributes:
        entry: newest entry of the runner in the store.
        started_at: Unix time in seconds of the start of the newest
            incarnation that an entry or a report has shown, or 0. It tells
            incarnations apart, but the host's time of day may be set back
            from one to the next.
        shown_at: when an entry or a report first showed that incarnation.
        contradicting_entry: newest entry that seems to be of an earlier
            incarnation, until a report has shown which one runs.
        listed: whether the store has an entry of the runner.
        fenced: whether the runner has confirmed this leader's fencing token.
        stored_end_number: highest number of a run's end whose effect is
            stored.
        processed_end_number: highest number of a run's end that was
            processed.
        acknowledged_end_number: highest number of a run's end that the
            runner knows to be stored.
        run_by_task: runs that occupy capacity of the runner.
        need_by_orphan: capacity used by runs that the runner reports and
            that aren't assigned to it, by (task, attempt).
        not_before: earliest time of the next start.
        health: record of failures and stalls of the runner's tasks.
        last_contact_at: when the runner last responded.
        unreachable: whether the last call to the runner failed.
        reserved_until: until when it starts only tasks that start alone.
        expiry_published: whether the next leader may rely on the published
            end of the lease, so that it must not be extended.
        kept_lease_until: until when a lease may last that was granted before
            the runner's restart was known, or published.
        drain_deadline: when the draining runner leaves, or None.
        response_time: how long its responses take.
        command_window: commands in progress; few if it has turned slow.
    """

    def __init__(
        self,
        entry: site.Runner,
        now: float,
        previous_lease_until: float,
        lease_max_s: float = RUNNER_LEASE_S,
    ) -> None:
        self.entry = entry
        self.started_at = entry.started_at
        self.shown_at = now
        self.contradicting_entry: site.Runner | None = None
        self.listed = True
        self.fenced = False
        self.stored_end_number = 0
        self.processed_end_number = 0
        self.acknowledged_end_number = 0
        self.run_by_task: dict[job_models.TaskName, runs_module.Run] = {}
        self.need_by_orphan: dict[
            tuple[job_models.TaskName, int], job_models.Capacity
        ] = {}
        self.not_before = 0.0
        self.health = runner_health.RunnerHealth()
        self.last_contact_at = now
        self.unreachable = False
        self._unreachable_since = 0.0
        self._connection_reset = False
        self.reserved_until = 0.0
        self.expiry_published = False
        self.drain_deadline: float | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._clock_s: float | None = None
        self._clock_read_at = now
        self._lease_until_s = 0.0
        self._lease_granted_at = now
        self._previous_lease_until = previous_lease_until
        self.kept_lease_until = 0.0
        self._lease_max_s = lease_max_s
        self.response_time = latency.LatencyEstimate(TYPICAL_RESPONSE_S)
        self.command_window = command_window.CommandWindow(CALL_TIMEOUT_S)
        self._used_cpu = 0
        self._used_memory = 0
        self._used_gpu = 0
        self.update_entry(entry, now)

    @property
    def id(self) -> str:
        """Identity that the runner registered under."""
        return self.entry.id

    @property
    def entry_current(self) -> bool:
        """Whether the entry describes the incarnation that runs now."""
        return not starts_differ(self.started_at, self.entry.started_at)

    def is_later_incarnation(
        self, started_at: float | None, sent_at: float
    ) -> bool:
        """Whether a report is of an incarnation after the newest known one.

        A runner has one incarnation at a time. So another one than was known
        when the call was sent has started since.

        Args:
            started_at: Unix time in seconds of its start that it reports.
            sent_at: when the call was sent.
        """
        if not starts_differ(started_at, self.started_at):
            return False
        return sent_at >= self.shown_at or is_later_start(
            started_at, self.started_at
        )

    def update_entry(self, entry: site.Runner, now: float) -> None:
        """Apply a newer entry of the same incarnation."""
        self.entry = entry
        self.started_at = self.started_at or entry.started_at
        self.listed = True
        self._record_entry_clock(entry.clock_s, now)
        if entry.leaves_in_s is None:
            self.drain_deadline = None
        elif self.drain_deadline is None:
            self.drain_deadline = now + entry.leaves_in_s

    def is_reachable(self, now: float) -> bool:
        """Whether a command sent now is likely to arrive."""
        if not self.run_by_task:
            # An idle runner isn't polled; its entry shows that it is alive.
            return not self.unreachable
        return (
            not self.unreachable and now - self.last_contact_at < MAX_SILENCE_S
        )

    def _record_entry_clock(self, clock_s: float, now: float) -> None:
        """Use an entry's reading of the clock if it is the better one.

        An idle runner isn't polled, so its last report may be old. An entry
        may have been written long before it is read.
        """
        if self._clock_s is None or clock_s < self._least_clock_s(now):
            return
        self._clock_s = clock_s
        self._clock_read_at = now

    def _least_clock_s(self, now: float) -> float:
        """Return the least that the runner's clock can show."""
        assert self._clock_s is not None
        read_s_ago = now - self._clock_read_at
        return self._clock_s + read_s_ago * (1 - MAX_CLOCK_SLOWNESS)

    def record_clock(self, clock_s: float, at: float) -> None:
        """Record a reading of the runner's clock.

        Args:
            clock_s: time shown by the runner's clock, in seconds.
            at: latest time at which the clock can have shown it. A later
                value is safe: it only makes leases shorter and the assumed
                ends of leases later.
        """
        self._clock_s = clock_s
        self._clock_read_at = at
        self.last_contact_at = at

    def call_timeout_s(self) -> float:
        """Return after which time a call without a response is given up."""
        timeout_s = self.response_time.timeout_s(MAX_CALL_TIMEOUT_S)
        return max(CALL_TIMEOUT_S, timeout_s)

    def record_call_failure(self, now: float, *, reset: bool) -> bool:
        """Record that a call failed; return whether the last one hadn't.

        Args:
            reset: whether the connection was reset or refused, so that no
                process of the runner listens any more.
        """
        if self.unreachable:
            return False
        self.unreachable = True
        self._unreachable_since = now
        self._connection_reset = reset
        return True

    def was_reset_before(self, at: float) -> bool:
        """Whether no process of the runner has listened since some time."""
        return (
            self.unreachable
            and self._connection_reset
            and self._unreachable_since < at
        )

    def crash_interval(self, now: float) -> tuple[float, float]:
        """Return the times between which a runner that is lost crashed."""
        latest = self._unreachable_since if self.unreachable else now
        if not self.reached:
            return 0.0, latest
        if self.unreachable and self._connection_reset:
            # A poll is nearly always in progress, and breaks at once.
            return max(self.last_contact_at, latest - RESET_DELAY_S), latest
        return min(self.last_contact_at, latest), latest

    def heard_s(self, run: runs_module.Run) -> float | None:
        """Return for how long after a run's start the runner was heard from.

        It is measured by the runner's clock, so that it doesn't depend on
        when this process read the responses; None if the runner hasn't
        confirmed the start.
        """
        if run.begun_clock_s is None or self._clock_s is None:
            return None
        return max(self._clock_s - run.begun_clock_s, 0.0)

    @property
    def clock_s(self) -> float | None:
        """Last known reading of the runner's clock, in seconds."""
        return self._clock_s

    @property
    def reached(self) -> bool:
        """Whether this incarnation has responded to this leader."""
        return self._clock_s is not None

    @property
    def awaits_withdrawal(self) -> bool:
        """Whether only its published expiry forbids to extend the lease."""
        return self.reached and not self.unreachable and self.expiry_published

    @property
    def lease_allowed(self) -> bool:
        """Whether the runner's lease may be extended."""
        return (
            self._clock_s is not None
            and not self.unreachable
            and not self.expiry_published
        )

    def extend_lease(self, now: float, length_s: float) -> float:
        """Extend the lease; return its end by the runner's clock.

        A slow clock is allowed for, so that the lease isn't longer than
        another leader assumes, however old the reading of the clock is.
        """
        until_s = self._least_clock_s(now) + length_s
        self._lease_until_s = max(self._lease_until_s, until_s)
        self._lease_granted_at = now
        return until_s

    def lease_end(self) -> LeaseEnd:
        """Return when the last lease on the runner has certainly expired."""
        ends = [
            LeaseEnd(self._previous_lease_until, LeaseGrantor.PREVIOUS_LEADER),
            LeaseEnd(self.kept_lease_until, LeaseGrantor.BEFORE_RESTART_KNOWN),
        ]
        if self._clock_s is not None:
            left_s = max(self._lease_until_s - self._clock_s, 0.0)
            expires_at = (
                self._clock_read_at
                + left_s / (1 - MAX_CLOCK_SLOWNESS)
                + LEASE_EXPIRY_MARGIN_S
            )
            # After a restart that isn't known the clock may have been read
            # from another incarnation than that which the lease was for.
            latest = self._lease_granted_at + longest_lease_s(
                self._lease_max_s
            )
            own_end = min(expires_at, latest)
            ends.insert(0, LeaseEnd(own_end, LeaseGrantor.THIS_LEADER))
        return max(ends, key=lambda end: end.at)

    def late_lease_end(self) -> float:
        """Return until when a lease granted to this incarnation may last.

        The next incarnation may get the last extension late, and by its clock
        only the runner's own maximum bounds it. 0 if none was sent.
        """
        if not self._lease_until_s:
            return 0.0
        arrives_until = self._lease_granted_at + late_starts.MAX_LATENESS_S
        return arrives_until + longest_lease_s(self._lease_max_s)

    def keep_lease_until(self, at: float) -> None:
        """Assume that a lease lasts until a time, whoever is fenced."""
        self.kept_lease_until = max(self.kept_lease_until, at)

    def confirm_fenced(self, now: float, lease_s: float) -> None:
        """Record that the runner rejects the commands of previous leaders.

        A lease that one of them granted goes on.

        Args:
            lease_s: length of the leases that leaders grant, in seconds.
        """
        self.fenced = True
        self._previous_lease_until = min(
            self._previous_lease_until, now + longest_lease_s(lease_s)
        )

    def add_run(self, run: runs_module.Run) -> None:
        """Record that a run occupies capacity."""
        if run.name in self.run_by_task:
            self.remove_run(run)
        self.run_by_task[run.name] = run
        self._count_need(run, 1)

    def remove_run(self, run: runs_module.Run) -> None:
        """Record that a run no longer occupies capacity."""
        if self.run_by_task.pop(run.name, None) is not None:
            self._count_need(run, -1)

    def _count_need(self, run: runs_module.Run, sign: int) -> None:
        need = run.step.need
        self._used_cpu += 0 if run.step.fills else sign * need.cpu
        self._used_memory += sign * need.memory
        self._used_gpu += sign * need.gpu

    def free_capacity(self) -> job_models.Capacity:
        """Return the capacity that no run occupies."""
        capacity = self.entry.capacity
        cpu = capacity.cpu - self._used_cpu
        memory = capacity.memory - self._used_memory
        gpu = capacity.gpu - self._used_gpu
        for need in self.need_by_orphan.values():
            cpu -= need.cpu
            memory -= need.memory
            gpu -= need.gpu
        return job_models.Capacity(cpu, memory, gpu)

    def record_rejection(self, now: float) -> None:
        """Start no tasks on the runner for a backoff time that grows."""
        self.not_before = now + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def record_acceptance(self) -> None:
        """Reset the backoff time."""
        self._backoff_s = INITIAL_BACKOFF_S

    def start_incarnation(self, started_at: float, now: float) -> None:
        """Reset the state after the runner's process restarted.

        Its runs stay until the new incarnation's report shows whether it
        accepted them before the restart was known, or until the lease that
        came with such a start has expired. That lease was computed by
        another clock, so only the runner's own maximum bounds it.
        """
        self.keep_lease_until(self.late_lease_end())
        self.shown_at = now
        self.started_at = started_at
        self.fenced = False
        self.stored_end_number = 0
        self.processed_end_number = 0
        self.acknowledged_end_number = 0
        self.need_by_orphan.clear()
        self._clock_s = None
        self._lease_until_s = 0.0
        self.keep_lease_until(now + longest_lease_s(self._lease_max_s))
        self.not_before = 0.0
        self.health = runner_health.RunnerHealth()
        self.unreachable = False
        self.reserved_until = 0.0
        self.drain_deadline = None


def starts_differ(
    started_at: float | None, other_started_at: float | None
) -> bool:
    """Whether two start times are of different incarnations of a runner.

    Args:
        started_at: Unix time in seconds of a start; None or 0 is unknown.
    """
    if not started_at or not other_started_at:
        return False
    return started_at != other_started_at


def is_later_start(
    started_at: float | None, known_started_at: float | None
) -> bool:
    """Whether the first start time is later than that of another incarnation.

    Where the host's time of day was set back, the incarnation isn't.

    Args:
        started_at: Unix time in seconds of a start; None or 0 is unknown.
    """
    if not started_at or not known_started_at:
        return False
    return started_at > known_started_at


def find_orphaned_runs(
    runner: RunnerState, report: messages.RunnerReport
) -> list[messages.RunningTask]:
    """Return the runs that a runner reports but that aren't assigned to it."""
    orphaned = []
    for running in report.running:
        run = runner.run_by_task.get(running.task)
        if run is None or run.attempt != running.attempt:
            orphaned.append(running)
    return orphaned
