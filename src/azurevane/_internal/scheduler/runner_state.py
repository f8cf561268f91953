"""What the scheduler knows of a runner."""

from azurevane._internal.models import job as job_models
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.models import site
from azurevane._internal.policy import runner_health
from azurevane._internal.scheduler import runs as runs_module

# Length of the lease on everything a runner runs. Shorter leases give up a
# silent runner's tasks sooner, and must outlast a change of the leader.
RUNNER_LEASE_S = 5.0
# Share by which a runner's clock may be slow, by the platform's protocol.
MAX_CLOCK_SLOWNESS = 0.02
# Time that a runner may take to end what a lease no longer covers.
LEASE_EXPIRY_MARGIN_S = 0.2
# A runner with tasks that hasn't answered for this long gets no new ones;
# its lists are asked for about every 1.5 s.
MAX_SILENCE_S = 3.0
# A runner that can't take orders is left alone, longer each time.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0


class RunnerState:
    """A runner's life: lease, lists, room and health.

    Attributes:
        entry: its newest entry in the store.
        listed: whether the store has its entry.
        fenced: whether it has confirmed this leader's fencing token.
        stored_end_number: highest number of an end whose effect is stored.
        unreachable: whether the last call to it failed.
        expiry_published: whether a later leader may rely on the end of
            its lease, so that the lease must not be extended.
        processed_end_number: highest number of an end that was taken in.
        health: what its tasks' ends say of it.
    """

    def __init__(
        self, entry: site.Runner, now: float, unreached_until: float
    ) -> None:
        self.entry = entry
        self.listed = True
        self.fenced = False
        self.stored_end_number = 0
        self.processed_end_number = 0
        self.run_by_task: dict[job_models.TaskName, runs_module.Run] = {}
        self.need_by_orphan: dict[
            tuple[job_models.TaskName, int], job_models.Capacity
        ] = {}
        self.not_before = 0.0
        self.health = runner_health.RunnerHealth()
        self.last_contact_at = now
        self.unreachable = False
        self.expiry_published = False
        self.drain_deadline: float | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._clock_s: float | None = None
        self._clock_read_at = now
        self._lease_until_s = 0.0
        self._unreached_until = unreached_until
        self.update(entry, now)

    @property
    def id(self) -> str:
        """Identity that the runner registered under."""
        return self.entry.id

    def update(self, entry: site.Runner, now: float) -> None:
        """Take in a newer entry of the same life."""
        self.entry = entry
        self.listed = True
        if entry.leaves_in_s is None:
            self.drain_deadline = None
        elif self.drain_deadline is None:
            self.drain_deadline = now + entry.leaves_in_s

    def is_reachable(self, now: float) -> bool:
        """Whether an order sent now is likely to arrive."""
        if not self.run_by_task:
            # Nothing asks an idle runner; its entry says that it lives.
            return not self.unreachable
        return (
            not self.unreachable and now - self.last_contact_at < MAX_SILENCE_S
        )

    # Clock and lease.

    def record_clock(self, clock_s: float, at: float) -> None:
        """Take in the runner's clock, which showed this by ``at``.

        A later time only makes leases shorter and their ends later.
        """
        self._clock_s = clock_s
        self._clock_read_at = at
        self.last_contact_at = at

    @property
    def lease_allowed(self) -> bool:
        """Whether a lease may be given."""
        return (
            self._clock_s is not None
            and not self.unreachable
            and not self.expiry_published
        )

    def extend_lease(self, now: float, length_s: float) -> float:
        """Return the end of a lease by the runner's clock, and note it."""
        assert self._clock_s is not None
        clock_s = self._clock_s + (now - self._clock_read_at)
        until_s = clock_s + length_s
        self._lease_until_s = max(self._lease_until_s, until_s)
        return until_s

    def lease_expires_at(self) -> float:
        """Return when nothing that was ordered here can run any more."""
        if self._clock_s is None:
            return self._unreached_until
        left_s = max(self._lease_until_s - self._clock_s, 0.0)
        expires_at = self._clock_read_at + left_s / (1 - MAX_CLOCK_SLOWNESS)
        if not self.fenced:
            expires_at = max(expires_at, self._unreached_until)
        return expires_at + LEASE_EXPIRY_MARGIN_S

    # Room.

    def free_capacity(self) -> job_models.Capacity:
        """Return the room that no task may take now."""
        cpu = self.entry.capacity.cpu
        memory = self.entry.capacity.memory
        gpu = self.entry.capacity.gpu
        for run in self.run_by_task.values():
            need = run.step.need
            cpu -= 0 if run.step.fills else need.cpu
            memory -= need.memory
            gpu -= need.gpu
        for need in self.need_by_orphan.values():
            cpu -= need.cpu
            memory -= need.memory
            gpu -= need.gpu
        return job_models.Capacity(cpu, memory, gpu)

    def record_refusal(self, now: float) -> None:
        """Leave the runner alone for a while that grows."""
        self.not_before = now + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def record_acceptance(self) -> None:
        """Forget earlier refusals."""
        self._backoff_s = INITIAL_BACKOFF_S

    def start_incarnation(self, entry: site.Runner, now: float) -> None:
        """Start anew after the runner's process did."""
        self.entry = entry
        self.fenced = False
        self.stored_end_number = 0
        self.processed_end_number = 0
        self.need_by_orphan.clear()
        self._clock_s = None
        self._lease_until_s = 0.0
        self._unreached_until = now
        self.expiry_published = False
        self.not_before = 0.0
        self.health = runner_health.RunnerHealth()
        self.unreachable = False
        self.drain_deadline = None
        self.update(entry, now)


def is_new_incarnation(entry: site.Runner, started_at: float | None) -> bool:
    """Whether a report comes from another life than the entry."""
    if not started_at or not entry.started_at:
        return False
    return started_at != entry.started_at


def find_orphaned_runs(
    runner: RunnerState, report: messages.RunnerReport
) -> list[messages.RunningTask]:
    """Return the runs that the runner lists and nobody assigned there."""
    unknown = []
    for running in report.running:
        run = runner.run_by_task.get(running.task)
        if run is None or run.attempt != running.attempt:
            unknown.append(running)
    return unknown
