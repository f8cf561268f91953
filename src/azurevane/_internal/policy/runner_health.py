"""Which runners get no tasks because what they start fails or stands still.

Answers runners that fail everything while others work, beside jobs that
fail wherever they run: only the first failure of a task speaks against its
runner, and only several jobs' failures in a row, without a task done
between them, keep the runner from new tasks. A task that stands still
speaks against its runner at once: tasks differ in speed, but all progress.
"""

# A runner that fails all has this many failures in a row soon; one that
# works has a done task between failures of jobs that can't be done.
PAUSE_AFTER_FAILURES = 3
PAUSE_AFTER_FAILED_JOBS = 2
# Such trouble lasts for seconds; a trial after it costs a few tasks.
FIRST_PAUSE_S = 2.0
MAX_PAUSE_S = 8.0
# Progress is told in hundredths. A task without any for this long, less than
# the time between two reports of a runner on which nothing ends, and for this
# share of its declared run time stands still, even where the declaration is
# half of the truth.
MIN_STALL_S = 1.2
STALL_ESTIMATE_RATIO = 0.1


def is_stalled(unchanged_s: float, estimate_s: float) -> bool:
    """Whether a task without progress for a time stands still."""
    return unchanged_s > max(MIN_STALL_S, STALL_ESTIMATE_RATIO * estimate_s)


class RunnerHealth:
    """What the ends of a runner's tasks say of it; steady seconds.

    Attributes:
        paused_until: time before which it gets no tasks.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._failed_jobs: set[str] = set()
        self._pause_s = FIRST_PAUSE_S
        self.paused_until = 0.0

    def record_success(self) -> None:
        """Take in a task that ended well."""
        self._failures = 0
        self._failed_jobs.clear()
        self._pause_s = FIRST_PAUSE_S

    def record_failure(self, job_id: str, now: float) -> bool:
        """Take in a task that failed here first; whether a pause begins."""
        self._failures += 1
        self._failed_jobs.add(job_id)
        # After a pause without a task done since, one failure is enough.
        on_trial = self._pause_s > FIRST_PAUSE_S
        limit_reached = (
            self._failures >= PAUSE_AFTER_FAILURES
            and len(self._failed_jobs) >= PAUSE_AFTER_FAILED_JOBS
        )
        if not (limit_reached or on_trial):
            return False
        return self._pause(now)

    def record_stall(self, now: float) -> bool:
        """Take in a task that stands still; whether a pause begins."""
        return self._pause(now)

    def _pause(self, now: float) -> bool:
        if now < self.paused_until:
            return False
        self.paused_until = now + self._pause_s
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
        return True
