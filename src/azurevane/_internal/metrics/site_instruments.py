"""OpenTelemetry instruments of the scheduler and of the job API."""

from azurevane._internal.events import crash_events
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.metrics import instruments


@instruments.instrument(
    "azurevane.job.accepted",
    "counter",
    "{job}",
    events.JobAccepted,
    ("queue", "team"),
)
def _job_accepted(event: events.JobAccepted) -> float:
    """Jobs stored and accepted."""
    return 1


@instruments.instrument(
    "azurevane.job.accept.duration",
    "histogram",
    "s",
    events.JobAccepted,
    ("queue",),
)
def _job_accept_duration(event: events.JobAccepted) -> float:
    """Time to store a submission."""
    return event.took_s


@instruments.instrument(
    "azurevane.call.refused",
    "counter",
    "{request}",
    events.CallRefused,
    ("status", "verdict"),
)
def _call_refused(event: events.CallRefused) -> float:
    """Callers' requests that were refused."""
    return 1


@instruments.instrument(
    "azurevane.job.refused",
    "counter",
    "{job}",
    events.JobRefused,
    ("queue", "team", "reason"),
)
def _job_refused(event: events.JobRefused) -> float:
    """Jobs refused because they would have been of no use."""
    return 1


@instruments.instrument(
    "azurevane.job.retry_after",
    "histogram",
    "s",
    events.JobRefused,
    ("queue", "return_reason"),
)
def _job_retry_after(event: events.JobRefused) -> float:
    """Time after which callers of refused jobs were told to come back."""
    return event.retry_after_s


@instruments.instrument(
    "azurevane.job.admitted",
    "counter",
    "{job}",
    events.JobAdmitted,
    ("queue", "reason"),
)
def _job_admitted(event: events.JobAdmitted) -> float:
    """Jobs accepted although their queue had a backlog."""
    return 1


@instruments.instrument(
    "azurevane.job.ended",
    "counter",
    "{job}",
    events.JobEnded,
    ("queue", "status"),
)
def _job_ended(event: events.JobEnded) -> float:
    """Jobs that reached a final state."""
    return 1


@instruments.instrument(
    "azurevane.job.duration",
    "histogram",
    "s",
    events.JobEnded,
    ("queue", "status"),
)
def _job_duration(event: events.JobEnded) -> float:
    """Time from a job's submission to its final state."""
    return event.took_s


@instruments.instrument(
    "azurevane.run.wait.duration",
    "histogram",
    "s",
    events.RunAssigned,
)
def _run_wait_duration(event: events.RunAssigned) -> float:
    """Time from a job's submission to the assignment of a task."""
    return event.waited_s


@instruments.instrument(
    "azurevane.run.rejected",
    "counter",
    "{run}",
    events.RunRejected,
    ("outcome",),
)
def _run_rejected(event: events.RunRejected) -> float:
    """Starts that a runner didn't take or didn't answer."""
    return 1


@instruments.instrument(
    "azurevane.run.ended",
    "counter",
    "{run}",
    events.RunEnded,
    ("reason",),
)
def _run_ended(event: events.RunEnded) -> float:
    """Runs that ended on their runner."""
    return 1


@instruments.instrument(
    "azurevane.run.lost",
    "counter",
    "{run}",
    events.RunLost,
    ("reason",),
)
def _run_lost(event: events.RunLost) -> float:
    """Runs given up without an end."""
    return 1


@instruments.instrument(
    "azurevane.runner.lost",
    "counter",
    "{runner}",
    events.RunnerLost,
)
def _runner_lost(event: events.RunnerLost) -> float:
    """Runners given up."""
    return 1


@instruments.instrument(
    "azurevane.runner.crashed",
    "counter",
    "{runner}",
    crash_events.RunnerCrashJudged,
    ("cause",),
)
def _runner_crashed(event: crash_events.RunnerCrashJudged) -> float:
    """Runners with runs that ended without an order to."""
    return 1


@instruments.instrument(
    "azurevane.task.suspected",
    "counter",
    "{task}",
    crash_events.TaskSuspected,
    ("cause", "given_up"),
)
def _task_suspected(event: crash_events.TaskSuspected) -> float:
    """Tasks that may have crashed the runner that had just started them."""
    return 1


@instruments.instrument(
    "azurevane.leadership.taken",
    "counter",
    "{takeover}",
    events.LeadershipTaken,
)
def _leadership_taken(event: events.LeadershipTaken) -> float:
    """Times that this host became the leader."""
    return 1


@instruments.instrument(
    "azurevane.store.write.failed",
    "counter",
    "{write}",
    events.WriteFailed,
    ("verdict",),
)
def _write_failed(event: events.WriteFailed) -> float:
    """Leader's writes that failed and were repeated."""
    return 1


@instruments.instrument(
    "azurevane.store.lost.duration",
    "histogram",
    "s",
    events.StoreRegained,
    ("call",),
)
def _store_lost_duration(event: events.StoreRegained) -> float:
    """Time during which the store didn't answer."""
    return event.lost_s


@instruments.instrument(
    "azurevane.host.ordered",
    "counter",
    "{order}",
    events.HostOrdered,
    ("order", "outcome"),
)
def _host_commanded(event: events.HostOrdered) -> float:
    """Hosts ordered to move or to have their maintenance."""
    return 1


@instruments.instrument(
    "azurevane.log.dropped",
    "counter",
    "{line}",
    events.LinesDropped,
)
def _lines_dropped(event: events.LinesDropped) -> float:
    """Log lines dropped because standard output was too slow."""
    return event.lines


@instruments.instrument(
    "azurevane.start.put_off.duration",
    "histogram",
    "s",
    events.StartsResumed,
)
def _starts_put_off_duration(event: events.StartsResumed) -> float:
    """Time for which starts waited for others to be answered."""
    return event.put_off_s


@instruments.instrument(
    "azurevane.advice.call.duration",
    "histogram",
    "s",
    events.AdviceCallEnded,
    ("outcome",),
)
def _advice_call_duration(event: events.AdviceCallEnded) -> float:
    """Time of a call to the advisor, until its response or its end."""
    return event.took_s
