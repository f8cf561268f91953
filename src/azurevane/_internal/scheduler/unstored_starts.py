"""Starts that are sent while the store still writes their assignments.

A slow store would keep a slot empty from the end of a task until the next
assignment is stored. So while writes are slow the leader sends the first start
of a task at once. A later leader can't read of such a run in the job's state:
it reads the names of the runners that may have one in the renewal row, and
starts no task that may run there until each of them has listed its runs.
"""

from collections.abc import Iterable, Iterator, Sequence
import logging

from twisted.internet import defer

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Writes count as slow for this long after the last slow one.
SLOW_STORE_MEMORY_S = 3.0
# Part of the renewal row that the names of runners may take.
NAMES_ROW_SHARE = 0.1
# Bytes of a name besides the runner's id.
_NAME_OVERHEAD_BYTES = 3


class UnstoredStarts:
    """Decides which starts don't wait; times are monotonic seconds.

    Args:
        previous_runners: ids of the runners that may have runs of previous
            leaders of which no job's state tells.
        row_bytes: largest value of a row that the store accepts.
    """

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        previous_runners: Iterable[str],
        row_bytes: int,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._previous_runners = frozenset(previous_runners)
        self._max_bytes = row_bytes * NAMES_ROW_SHARE
        self._slow_until = 0.0
        self._renewal_requested = False
        self._awaits_previous = False
        self._allowed = False
        # Named by the last stored renewal, and by the last encoded one.
        self._stored_names: frozenset[str] = self._previous_runners
        self._encoded_names: frozenset[str] = self._previous_runners
        self._unstored_count_by_runner: dict[str, int] = {}

    def record_slow_write(self, now: float) -> None:
        """Record that a slow write was stored now, or isn't stored yet."""
        self._slow_until = now + SLOW_STORE_MEMORY_S

    def store_slow(self, now: float) -> bool:
        """Whether writes take so long that starts don't wait for them."""
        return now < self._slow_until

    def renewal_due(self, now: float) -> bool:
        """Whether a renewal is to name runners; true once a slow period."""
        if not self.store_slow(now):
            self._renewal_requested = False
            return False
        if self._renewal_requested:
            return False
        nameable = self._further_names(self._encoded_names, now)
        self._renewal_requested = any(nameable)
        return self._renewal_requested

    def names_to_store(self, now: float) -> frozenset[str]:
        """Return the ids of runners that the renewal encoded now names."""
        # Both were named before, so that they fit into the row.
        names = self._previous_runners.union(self._unstored_count_by_runner)
        if self.store_slow(now):
            names = names.union(self._further_names(names, now))
        self._encoded_names = names
        return names

    def _further_names(
        self, names: frozenset[str], now: float
    ) -> Iterator[str]:
        """Iterate over the runners that may get tasks, while they fit."""
        left_bytes = self._max_bytes - sum(map(_name_bytes, names))
        for runner_id, runner in self._scheduler_state.runner_by_id.items():
            if runner_id in names or not runner.fenced:
                continue
            if not self._scheduler_state.is_open_for_tasks(runner):
                continue
            if not runner.is_reachable(now):
                continue
            left_bytes -= _name_bytes(runner_id)
            if left_bytes < 0:
                return
            yield runner_id

    def handle_names_stored(self) -> None:
        """Rely on the names of the last encoded renewal, which is stored."""
        self._stored_names = self._encoded_names
        allowed = len(self._stored_names) > len(self._previous_runners)
        if allowed != self._allowed:
            self._allowed = allowed
            catalogue.emit(
                logger,
                events.UnstoredStartsChanged(allowed, len(self._stored_names)),
            )

    def allows(self, command: commands.StartCommand, now: float) -> bool:
        """Whether a start needn't wait until its assignment is stored.

        Later attempts of a task wait, so that at most one run of it isn't
        stored. Members of a gang and tasks that last have rules that the
        next leader can apply only if it knows of all of them.
        """
        step, job = command.run.step, command.run.job
        return (
            command.first_attempt
            and self.store_slow(now)
            and command.runner_id in self._stored_names
            and command.runner_id in self._encoded_names
            and not step.gang
            and not step.long_running
            and not job.crash_history_by_task
        )

    def track(
        self,
        starts: Sequence[commands.StartCommand],
        stored: "defer.Deferred[None]",
    ) -> None:
        """Keep runners named until the assignments of starts are stored."""
        count_by_runner = self._unstored_count_by_runner
        for command in starts:
            count = count_by_runner.get(command.runner_id, 0)
            count_by_runner[command.runner_id] = count + 1

        def record_stored(_: None) -> None:
            for command in starts:
                count_by_runner[command.runner_id] -= 1
                if not count_by_runner[command.runner_id]:
                    del count_by_runner[command.runner_id]

        # On a change of the leader, the next one waits for the runners.
        stored.addCallbacks(record_stored, lambda _: None)

    # Runs of previous leaders.

    def handle_jobs_loaded(self) -> None:
        """Hold the starts that a previous leader may have sent."""
        self._scheduler_state.await_runners(self._previous_runners)
        self._awaits_previous = bool(self._previous_runners)

    def settle_previous_runners(self, now: float) -> bool:
        """Give up waiting for runners that have certainly lost their runs.

        Returns:
            True once when no runner is waited for any more. The states of
            jobs are then to be stored.
        """
        state = self._scheduler_state
        for runner_id in list(state.awaited_runners):
            runner = state.runner_by_id.get(runner_id)
            if now >= self._runs_lost_at(runner_id, runner):
                state.stop_awaiting_runner(runner_id, "its lease expired")
        settled = self._awaits_previous and not state.awaited_runners
        if settled:
            self._awaits_previous = False
        return settled

    def _runs_lost_at(
        self, runner_id: str, runner: runner_state.RunnerState | None
    ) -> float:
        if runner is None:
            return self._scheduler_state.unreached_until_of(runner_id)
        return runner.lease_end().at

    def forget_previous_runners(self, stored: "defer.Deferred[None]") -> None:
        """Name those runners no more once all that ran there is stored."""

        def forget(_: None) -> None:
            self._previous_runners = frozenset()

        stored.addCallbacks(forget, lambda _: None)


def _name_bytes(runner_id: str) -> int:
    return len(runner_id.encode()) + _NAME_OVERHEAD_BYTES
