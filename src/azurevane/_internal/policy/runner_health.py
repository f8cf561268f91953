"""Pauses runners on which tasks fail or stall.

Distinguishes a runner that fails everything from jobs that fail wherever
they run. Only the first failure of a task counts against its runner, and
only consecutive failures of several jobs, without a successful task between
them, pause the runner. A stalled task pauses its runner at once, because
tasks differ in speed but all of them make progress.
"""

# Consecutive failures, and distinct jobs among them, that pause a runner. A
# broken runner reaches both soon; on a working one, successful tasks come
# between the failures of jobs that fail everywhere.
PAUSE_AFTER_FAILURES = 3
PAUSE_AFTER_FAILED_JOBS = 2
# Such faults last for seconds; each trial after a pause costs a few tasks.
FIRST_PAUSE_S = 2.0
MAX_PAUSE_S = 8.0
# A task is stalled if it reports no progress for longer than MIN_STALL_S and
# for longer than this fraction of its declared run time. MIN_STALL_S is less
# than the time between two reports of a runner on which no task ends. Progress
# is reported in hundredths, so the fraction also holds for a task that runs
# twice as long as declared.
MIN_STALL_S = 1.2
STALL_ESTIMATE_RATIO = 0.1


def is_stalled(unchanged_s: float, expected_s: float) -> bool:
    """Return whether a task without progress for this long is stalled.

    Args:
        expected_s: its expected run time, in seconds.
    """
    return unchanged_s > max(MIN_STALL_S, STALL_ESTIMATE_RATIO * expected_s)


class RunnerHealth:
    """Health of a runner, judged by the outcomes of its tasks.

    Times are in seconds of a monotonic clock.

    Attributes:
        paused_until: time before which the runner gets no tasks.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._failed_jobs: set[str] = set()
        self._pause_s = FIRST_PAUSE_S
        self.paused_until = 0.0

    def record_success(self) -> None:
        """Record a task that succeeded."""
        self._failures = 0
        self._failed_jobs.clear()
        self._pause_s = FIRST_PAUSE_S

    def record_failure(self, job_id: str, now: float) -> bool:
        """Record a task's first failure; return whether a pause begins."""
        self._failures += 1
        self._failed_jobs.add(job_id)
        # One failure is enough until a task succeeds after a pause.
        on_trial = self._pause_s > FIRST_PAUSE_S
        limit_reached = (
            self._failures >= PAUSE_AFTER_FAILURES
            and len(self._failed_jobs) >= PAUSE_AFTER_FAILED_JOBS
        )
        if not (limit_reached or on_trial):
            return False
        return self._pause(now)

    def record_stall(self, now: float) -> bool:
        """Record a stalled task; return whether a pause begins."""
        return self._pause(now)

    def _pause(self, now: float) -> bool:
        if now < self.paused_until:
            return False
        self.paused_until = now + self._pause_s
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
        return True
