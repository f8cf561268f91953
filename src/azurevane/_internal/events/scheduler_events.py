"""Events of the scheduler and of the job API: numbers 6000 to 6999."""

import dataclasses
import logging

from azurevane._internal.events import catalogue


@catalogue.event(6001)
@dataclasses.dataclass(frozen=True, slots=True)
class JobSeen(catalogue.Event):
    """Accepted job added to the state of the leader."""

    job_id: str
    queue: str
    team: str
    beyond_share: bool
    age_s: float


@catalogue.event(6002)
@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded(catalogue.Event):
    """Job reached its final state; lateness is against its objective."""

    job_id: str
    queue: str
    status: str
    reason: str
    took_s: float
    lateness_s: float


@catalogue.event(6003)
@dataclasses.dataclass(frozen=True, slots=True)
class RunAssigned(catalogue.Event):
    """Task assigned to a runner."""

    task: str
    attempt: int
    runner: str
    free_cpu: int
    waited_s: float


@catalogue.event(6004)
@dataclasses.dataclass(frozen=True, slots=True)
class RunRejected(catalogue.Event):
    """Runner refused a start command, or didn't answer it."""

    task: str
    attempt: int
    runner: str
    outcome: str


@catalogue.event(6005)
@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded(catalogue.Event):
    """Run ended on its runner."""

    task: str
    attempt: int
    runner: str
    reason: str
    ran_s: float
    current: bool
    number: int


@catalogue.event(6006)
@dataclasses.dataclass(frozen=True, slots=True)
class RunStopped(catalogue.Event):
    """Stop command for a run issued."""

    task: str
    attempt: int
    runner: str
    reason: str


@catalogue.event(6007, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class RunLost(catalogue.Event):
    """Run lost: no part of it can still be running.

    Attributes:
        begun_s: time since the runner confirmed the start, None if it didn't.
        heard_s: time from that confirmation to the runner's last response.
    """

    task: str
    attempt: int
    runner: str
    reason: str
    begun_s: float | None = None
    heard_s: float | None = None


@catalogue.event(6010)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSeen(catalogue.Event):
    """Runner registered."""

    runner: str
    service: str
    zone: str
    address: str


@catalogue.event(6011)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerDraining(catalogue.Event):
    """Runner is shutting down and gets no new tasks."""

    runner: str
    leaves_in_s: float


@catalogue.event(6012)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerUnlisted(catalogue.Event):
    """Runner's entry was removed from the store."""

    runner: str
    runs: int


@catalogue.event(6013)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReborn(catalogue.Event):
    """Runner restarted under the same id."""

    runner: str
    runs: int
    shown_by: str


@catalogue.event(6014, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLost(catalogue.Event):
    """Runner lost together with its runs."""

    runner: str
    reason: str
    runs: int
    lease_from: str
    expired_s: float
    silent_s: float
    fenced: bool


@catalogue.event(6015)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerFenced(catalogue.Event):
    """Runner confirmed this leader's fencing token."""

    runner: str
    running: int
    ended: int


@catalogue.event(6016, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerUnreachable(catalogue.Event):
    """Calls to a runner began to fail."""

    runner: str
    error: str
    runs: int


@catalogue.event(6017, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPaused(catalogue.Event):
    """Runner gets no new tasks for a time because its tasks don't succeed."""

    runner: str
    reason: str
    pause_s: float


@catalogue.event(6018)
@dataclasses.dataclass(frozen=True, slots=True)
class EndsStored(catalogue.Event):
    """Effects of ended runs are stored; their runner may forget the ends."""

    runner: str
    up_to_number: int


@catalogue.event(6020)
@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipTaken(catalogue.Event):
    """This host leads the site's scheduling."""

    token: int
    reason: str
    extends_leases: bool
    published_expiries: int
    commanded_hosts: int


@catalogue.event(6021, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipLost(catalogue.Event):
    """This host no longer leads the site's scheduling."""

    token: int
    reason: str


@catalogue.event(6022)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaderReady(catalogue.Event):
    """Leader has read the site's jobs and may send commands."""

    token: int
    jobs: int
    live_jobs: int
    runners: int
    took_s: float


@catalogue.event(6023)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaderAsked(catalogue.Event):
    """Unresponsive leader asked directly whether it still leads."""

    holder: str
    token: int
    silent_s: float
    answer: str


@catalogue.event(6030)
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce(catalogue.Event):
    """Operators' configuration put in force on this host."""

    version: int
    queues: int
    teams: int


@catalogue.event(6031, logging.ERROR)
@dataclasses.dataclass(frozen=True, slots=True)
class RowUnreadable(catalogue.Event):
    """Row of the store can't be decoded and is ignored."""

    table: str
    key: str
    error: str


@catalogue.event(6032)
@dataclasses.dataclass(frozen=True, slots=True)
class ZonesOut(catalogue.Event):
    """Set of availability zones that get no new tasks changed."""

    zones: tuple[str, ...]


@catalogue.event(6033, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost(catalogue.Event):
    """Calls to the store began to fail."""

    call: str
    error: str


@catalogue.event(6034)
@dataclasses.dataclass(frozen=True, slots=True)
class StoreRegained(catalogue.Event):
    """Calls to the store succeed again."""

    call: str
    lost_s: float


@catalogue.event(6035)
@dataclasses.dataclass(frozen=True, slots=True)
class TableReadAnew(catalogue.Event):
    """Whole table read, at the start or because its history was dropped."""

    table: str
    rows: int
    version: int


@catalogue.event(6036, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class WriteFailed(catalogue.Event):
    """Leader's write failed and will be retried."""

    rows: int
    verdict: str
    error: str


@catalogue.event(6040)
@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted(catalogue.Event):
    """Job stored and accepted."""

    job_id: str
    queue: str
    team: str
    config_version: int
    took_s: float


@catalogue.event(6041)
@dataclasses.dataclass(frozen=True, slots=True)
class CallRefused(catalogue.Event):
    """Caller's request refused or not answered with success."""

    request: str
    status: int
    reason: str
    config_version: int
    config_age_s: float
    verdict: str


@catalogue.event(6042)
@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelStored(catalogue.Event):
    """Cancellation of a job stored."""

    job_id: str
    took_s: float


@catalogue.event(6043)
@dataclasses.dataclass(frozen=True, slots=True)
class JobRefused(catalogue.Event):
    """Job refused and not stored, as it would have been of no use.

    Work is in thousandths of a core-second, by the jobs' estimates; the part
    is what this host might accept by the estimate of that number and age.
    """

    job_id: str
    queue: str
    team: str
    reason: str
    room: int
    accepted_work: int
    part_work: int
    estimate_number: int
    estimate_age_s: float
    refusals: int
    retry_after_s: int
    return_reason: str


@catalogue.event(6044)
@dataclasses.dataclass(frozen=True, slots=True)
class JobAdmitted(catalogue.Event):
    """Job stored although its queue has a backlog, or after a refusal.

    The fields are those of the event of a refused job.
    """

    job_id: str
    queue: str
    team: str
    reason: str
    room: int
    accepted_work: int
    part_work: int
    estimate_number: int
    estimate_age_s: float
    refusals: int


@catalogue.event(6050)
@dataclasses.dataclass(frozen=True, slots=True)
class HostOrdered(catalogue.Event):
    """Command sent to a host to move or to begin its maintenance."""

    host: str
    order: str
    target: str
    outcome: str
    reason: str
    token: int
    decided_at: float
    confirmed_s: float
    took_s: float


@catalogue.event(6051)
@dataclasses.dataclass(frozen=True, slots=True)
class WaveStatus(catalogue.Event):
    """Progress of a wave of maintenance."""

    wave: int
    status: str
    done: int
    hosts: int


@catalogue.event(6052)
@dataclasses.dataclass(frozen=True, slots=True)
class PoolSized(catalogue.Event):
    """Wanted or actual number of hosts of a pool changed."""

    pool: str
    wanted: int
    ready: int
    coming: int
    long_running_hosts: int
    busy_cpu: int
    waiting_cpu: int
    arriving_cpu: int
    used_memory: int
    arriving_memory: int


@catalogue.event(6053)
@dataclasses.dataclass(frozen=True, slots=True)
class HostChanged(catalogue.Event):
    """Host has another state or pool in the platform's list."""

    host: str
    pool: str
    state: str
    runner: str


@catalogue.event(6054)
@dataclasses.dataclass(frozen=True, slots=True)
class StartsPutOff(catalogue.Event):
    """More starts are in progress than the leader handles; others wait."""

    services: int
    limit: int
    in_progress: int
    lag_s: float


@catalogue.event(6055)
@dataclasses.dataclass(frozen=True, slots=True)
class StartsResumed(catalogue.Event):
    """No start waits for others to be answered any more."""

    put_off_s: float
    limit: int


@catalogue.event(6077)
@dataclasses.dataclass(frozen=True, slots=True)
class UnstoredStartsChanged(catalogue.Event):
    """Starts are sent before they are stored on named runners, or no more."""

    allowed: bool
    runners: int


@catalogue.event(6078)
@dataclasses.dataclass(frozen=True, slots=True)
class StartsHeld(catalogue.Event):
    """Starts wait for runners that may have runs no job's state tells of."""

    runners: int


@catalogue.event(6079)
@dataclasses.dataclass(frozen=True, slots=True)
class HeldStartsReleased(catalogue.Event):
    """Last runner that starts were held for has listed or lost its runs."""

    last_runner: str
    reason: str


@catalogue.event(6080)
@dataclasses.dataclass(frozen=True, slots=True)
class RunAdopted(catalogue.Event):
    """Run of a previous leader found on a runner, without a stored record."""

    task: str
    attempt: int
    runner: str


@catalogue.event(6075)
@dataclasses.dataclass(frozen=True, slots=True)
class BusyPeriodChanged(catalogue.Event):
    """Busy period of a service's jobs began or ended."""

    pool: str
    change: str
    ago_s: float
    jobs: int
    rate: float


@catalogue.event(6076)
@dataclasses.dataclass(frozen=True, slots=True)
class BusyPeriodForeseen(catalogue.Event):
    """Busy period is expected soon; hosts are fetched for it."""

    pool: str
    begins_in_s: float
    length_s: float
    rate: float


@catalogue.event(6093)
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceCallEnded(catalogue.Event):
    """Call to the advisor ended.

    Attributes:
        step: job, occurrence and index of the step.
        expected_s: time that the advisor should have worked on it.
        open_calls: other calls of this host that are still open.
    """

    step: str
    runners: int
    allowed: int
    outcome: str
    took_s: float
    expected_s: float
    open_calls: int


@catalogue.event(6090, logging.ERROR)
@dataclasses.dataclass(frozen=True, slots=True)
class StepFailed(catalogue.Event):
    """Unexpected error in a step of the program, which continues to run."""

    step: str
    error: str
    traceback: str


@catalogue.event(6092, logging.ERROR)
@dataclasses.dataclass(frozen=True, slots=True)
class JobSetAside(catalogue.Event):
    """Job that can't be planned is left out for a while."""

    job_id: str
    error: str


@catalogue.event(6091, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class LinesDropped(catalogue.Event):
    """Log lines dropped because standard output was too slow."""

    lines: int
