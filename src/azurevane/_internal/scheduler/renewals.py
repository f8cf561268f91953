"""What the leader's renewals tell later leaders of leases on runners.

A later leader relies on what the renewal row shows, so it binds this leader
from the encoding of a renewal until one without it is stored.
"""

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
) -> state_module.SchedulerState:
    """Return the state of a leader that knows only of previous leases.

    Args:
        previous_extend_until: until when previous leaders may be extending
            leases, in monotonic seconds.
        lease_s: length of the leases that leaders grant, in seconds.
        lease_max_s: longest lease that a runner grants, in seconds.
    """
    state = state_module.SchedulerState(
        previous_extend_until + runner_state.longest_lease_s(lease_s),
        lease_s,
        lease_max_s,
    )
    # A published lease may be one that only the runner's maximum bounds.
    latest = previous_extend_until + runner_state.longest_lease_s(lease_max_s)
    for runner_id, expiry_s in previous.expiry_by_runner.items():
        state.unreached_until_by_runner[runner_id] = min(
            clock.certainly_passed_at(expiry_s), latest
        )
    for runner_id, until_s in previous.restart_lease_by_runner.items():
        state.restart_lease_by_runner[runner_id] = min(
            clock.certainly_passed_at(until_s), latest
        )
    # The takeover has kept them in the renewal row.
    state.publish_expiries(previous.expiry_by_runner)
    return state


class Renewals:
    """Encodes the renewals of one term.

    Args:
        previous_extend_until: until when previous leaders may be extending
            leases, in monotonic seconds.
    """

    def __init__(
        self,
        token: int,
        scheduler_state: state_module.SchedulerState,
        previous_extend_until: float,
    ) -> None:
        self._token = token
        self._scheduler_state = scheduler_state
        self._previous_extend_until = previous_extend_until
        self._count = 0
        self._written_expiries: dict[str, float] = {}

    def encode(
        self,
        now: float,
        clock: store_clock.StoreClock,
        command_by_host: dict[str, recent_commands.RecentCommand],
        *,
        all_read: bool,
    ) -> bytes:
        """Return the value of the next renewal.

        Args:
            all_read: whether all jobs and runners have been read.
        """
        state = self._scheduler_state
        self._count += 1
        state.restart_noticed = False
        # This also keeps what previous leaders published of runners that this
        # one hasn't reached, so that their tasks don't wait for another lease
        # if the leader changes again.
        self._written_expiries = {
            runner_id: clock.latest(expires_at)
            for runner_id, expires_at in state.lease_ends_to_publish(
                now, all_read=all_read
            ).items()
        }
        state.publish_expiries(self._written_expiries)
        return leadership.encode_renewal(
            self._token,
            self._count,
            state.pending_by_queue() if all_read else None,
            self._written_expiries,
            command_by_host,
            extends_leases_until=clock.latest(self._previous_extend_until),
            restart_lease_by_runner={
                runner_id: clock.latest(until)
                for runner_id, until in state.restart_leases(now).items()
            },
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
