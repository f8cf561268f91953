"""What the leader's renewals tell later leaders of leases on runners.

A later leader relies on what the renewal row shows, so it binds this leader
from the encoding of a renewal until one without it is stored.
"""

from collections.abc import Collection, Mapping

from azurevane._internal.scheduler import admission_estimate
from azurevane._internal.scheduler import late_starts
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import recent_commands
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import scheduler_state as state_module
from azurevane._internal.scheduler import store_clock

# Runners' leases are extended for this long without access to the store, so
# that tasks outlive its outages. A new leader waits this much longer before
# it treats the leases of a previous one as expired.
EXTEND_WITHOUT_STORE_S = 4.0
# The same for a leader that has released its row and got no response yet.
EXTEND_AFTER_RELEASE_S = 1.0
# Parts of the row that expiry times and the leases of restarted runners may
# take. The store rejects a larger row, and the leader would lose its lead.
EXPIRY_ROW_SHARE = 0.25
RESTART_ROW_SHARE = 0.2
# The same for the estimate by which hosts admit jobs.
ESTIMATE_ROW_SHARE = 0.1
# Bytes of an entry besides the runner's id.
_ENTRY_OVERHEAD_BYTES = 28


def find_previous_extend_until(
    previous: leadership.PreviousLeader,
    clock: store_clock.StoreClock,
    now: float,
) -> float:
    """Return until when previous leaders may be extending leases.

    Args:
        now: monotonic time in seconds, as is the result.
    """
    if previous.may_extend_leases:
        now += EXTEND_WITHOUT_STORE_S
    released_until = clock.certainly_passed_at(previous.extends_leases_until)
    return max(now, released_until)


def make_scheduler_state(
    previous: leadership.PreviousLeader,
    clock: store_clock.StoreClock,
    previous_extend_until: float,
    *,
    lease_s: float,
    lease_max_s: float,
    runner_stop_s: float,
) -> state_module.SchedulerState:
    """Return the state of a leader that knows only of previous leases.

    Args:
        previous_extend_until: until when previous leaders may be extending
            leases, in monotonic seconds.
        lease_s: length of the leases that leaders grant, in seconds.
        lease_max_s: longest lease that a runner grants, in seconds.
        runner_stop_s: longest time that a runner takes to stop a run.
    """
    state = state_module.SchedulerState(
        previous_extend_until + runner_state.longest_lease_s(lease_s),
        lease_s,
        lease_max_s,
        runner_stop_s,
    )
    # A published lease may be one that only the runner's maximum bounds.
    latest = previous_extend_until + runner_state.longest_lease_s(lease_max_s)
    for runner_id, expiry_s in previous.expiry_by_runner.items():
        state.unreached_until_by_runner[runner_id] = min(
            clock.certainly_passed_at(expiry_s), latest
        )
    # An extension of before a restart may arrive late.
    latest_restarted = latest + late_starts.MAX_LATENESS_S
    for runner_id, until_s in previous.restart_lease_by_runner.items():
        state.restart_lease_by_runner[runner_id] = min(
            clock.certainly_passed_at(until_s), latest_restarted
        )
    state.restart_leases_until = min(
        clock.certainly_passed_at(previous.restart_leases_until),
        latest_restarted,
    )
    # The takeover has kept them in the renewal row.
    state.publish_expiries(previous.expiry_by_runner)
    return state


class Renewals:
    """Encodes the renewals of one term.

    Args:
        previous_extend_until: until when previous leaders may be extending
            leases, in monotonic seconds.
        row_bytes: largest value of a row that the store accepts.
        estimator: makes the estimates by which hosts admit jobs, if they do.
    """

    def __init__(
        self,
        token: int,
        scheduler_state: state_module.SchedulerState,
        previous_extend_until: float,
        row_bytes: int,
        estimator: admission_estimate.AdmissionEstimator | None = None,
    ) -> None:
        self._token = token
        self._estimator = estimator
        self._max_expiry_bytes = row_bytes * EXPIRY_ROW_SHARE
        self._max_restart_bytes = row_bytes * RESTART_ROW_SHARE
        self._max_estimate_bytes = row_bytes * ESTIMATE_ROW_SHARE
        self._scheduler_state = scheduler_state
        self._previous_extend_until = previous_extend_until
        self._count = 0
        self._written_expiries: dict[str, float] = {}

    def encode(
        self,
        now: float,
        clock: store_clock.StoreClock,
        command_by_host: dict[str, recent_commands.RecentCommand],
        unstored_runners: Collection[str] = (),
        *,
        all_read: bool,
    ) -> bytes:
        """Return the value of the next renewal.

        Args:
            unstored_runners: ids of the runners that may have runs of which
                no job's state tells.
            all_read: whether all jobs and runners have been read.
        """
        state = self._scheduler_state
        self._count += 1
        state.restart_noticed = False
        # This also keeps what previous leaders published of runners that this
        # one hasn't reached, so that their tasks don't wait for another lease
        # if the leader changes again. Of the runners without an entry it
        # assumes that their leases were extended as late as possible.
        lease_ends = state.lease_ends_to_publish(now, all_read=all_read)
        self._written_expiries = {
            runner_id: clock.latest(expires_at)
            for runner_id, expires_at in _first_that_fit(
                lease_ends, self._max_expiry_bytes
            ).items()
        }
        state.publish_expiries(self._written_expiries)
        restart_leases = state.restart_leases(now)
        restart_leases_until = state.restart_leases_until
        if _entries_bytes(restart_leases) > self._max_restart_bytes:
            restart_leases_until = max(
                restart_leases_until, *restart_leases.values()
            )
            restart_leases = {}
        return leadership.encode_renewal(
            self._token,
            self._count,
            state.pending_by_queue() if all_read else None,
            self._written_expiries,
            command_by_host,
            extends_leases_until=clock.latest(self._previous_extend_until),
            restart_lease_by_runner={
                runner_id: clock.latest(until)
                for runner_id, until in restart_leases.items()
            },
            restart_leases_until=(
                clock.latest(restart_leases_until)
                if restart_leases_until > now
                else 0.0
            ),
            unstored_runners=unstored_runners,
            estimate=(
                self._estimator.estimate(now, self._max_estimate_bytes)
                if self._estimator is not None and all_read
                else None
            ),
        )

    def handle_stored(self) -> None:
        """Allow to extend the leases that the last renewal doesn't show."""
        self._scheduler_state.withdraw_expiries(self._written_expiries)

    def encode_release(
        self, extend_until: float, clock: store_clock.StoreClock
    ) -> bytes:
        """Return the value of the leader's row that releases it.

        Args:
            extend_until: until when this leader may extend leases if it gets
                no response, in monotonic seconds.
        """
        latest = max(extend_until, self._previous_extend_until)
        return leadership.encode_released_row(
            self._token, clock.latest(latest)
        )


def _entry_bytes(runner_id: str) -> int:
    return len(runner_id.encode()) + _ENTRY_OVERHEAD_BYTES


def _entries_bytes(time_by_runner: Mapping[str, float]) -> int:
    """Return the most bytes that an entry for each runner takes."""
    return sum(map(_entry_bytes, time_by_runner))


def _first_that_fit(
    time_by_runner: Mapping[str, float], max_bytes: float
) -> dict[str, float]:
    """Return the entries with the earliest times that fit into a row."""
    if _entries_bytes(time_by_runner) <= max_bytes:
        return dict(time_by_runner)
    fitting: dict[str, float] = {}
    left_bytes = max_bytes
    for runner_id, at in sorted(
        time_by_runner.items(), key=lambda item: item[1]
    ):
        left_bytes -= _entry_bytes(runner_id)
        if left_bytes < 0:
            break
        fitting[runner_id] = at
    return fitting
