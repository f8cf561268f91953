"""Makes changes to the fleet state in three steps.

A change is prepared on a majority of seats, written to the table by
compare-and-set, and committed on the peers. The host that makes a change is
called its maker.
"""

from collections.abc import Callable
import dataclasses
import enum
import logging
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import state_events
from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.policy import restrictions as restriction_policy
from azurevane._internal.table_service import state_store
from azurevane._internal.tasks import state_keeper
from azurevane._internal.utils import backoff
from azurevane._internal.utils import tokens

logger = logging.getLogger(__name__)

PREPARE_TIMEOUT_S = 1.0
# No new attempt of a write starts after this time. Including the timeouts of
# the last attempt, the maker gives up before other hosts settle the change.
WRITE_RETRY_PERIOD_S = 3.0
# Limit on the wait for hosts to report the version, before an operator is
# answered.
REPORT_TIMEOUT_S = 1.0

_REPORT_POLL_INTERVAL_S = 0.02
_MAX_CHANGE_ATTEMPTS = 5

StateBuilder = Callable[[fleet.FleetState], fleet.FleetState]


class ChangeResult(enum.Enum):
    """Result of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Result of a change, and the reason for it.

    Attributes:
        token: token of the attempt; empty if no attempt was started.
        version: accepted version, or the current one after a conflict.
        reason: why the change wasn't accepted.
        only_seats_changed: after a conflict, whether the conflicting
            versions changed only seats.
    """

    result: ChangeResult
    token: str
    version: int
    reason: str = ""
    only_seats_changed: bool = False


class ChangeMaker:
    """Makes changes on this host, one at a time.

    Args:
        apply_effects: carries out the effects of the state keeper.
        rng: source of the jitter between attempts.
    """

    def __init__(
        self,
        reactor: Any,
        keeper: state_keeper.StateKeeper,
        store: state_store.StateStore,
        apply_effects: Callable[[list[effects.Effect]], None],
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._keeper = keeper
        self._store = store
        self._apply_effects = apply_effects
        self._rng = rng
        self._lock = defer.DeferredLock()
        self._prepared_by_token: dict[str, defer.Deferred[None]] = {}

    def handle_prepared(self, token: str) -> None:
        """Continue a change that a majority of seats has acknowledged."""
        acknowledged = self._prepared_by_token.pop(token, None)
        if acknowledged is not None:
            acknowledged.callback(None)

    async def make_change(
        self, base_version: int | None, build: StateBuilder
    ) -> ChangeOutcome:
        """Make a change of the current state.

        Args:
            base_version: version on which the change is based; None for a
                change that is valid for any version.
            build: returns the next state; called again if only seats have
                changed meanwhile.

        Raises:
            ManifestError: the change is invalid.
            StoreUnavailable: the store can't be read; nothing was changed.
        """
        await self._lock.acquire()
        try:
            for _ in range(_MAX_CHANGE_ATTEMPTS):
                outcome = await self._attempt_change(base_version, build)
                if not outcome.only_seats_changed:
                    break
            return outcome
        finally:
            self._lock.release()

    async def _attempt_change(
        self, base_version: int | None, build: StateBuilder
    ) -> ChangeOutcome:
        stored = await self._read_latest()
        current = stored.state
        if base_version is not None and not (
            current.content_version <= base_version <= current.version
        ):
            return ChangeOutcome(
                ChangeResult.CONFLICT, "", current.version, "version"
            )
        state = build(current)
        if self._keeper.in_force.version != current.version:
            # A peer committed a version after the row was read.
            return self._build_conflict(state.token, current)
        restrictions = restriction_policy.restrictions_between(current, state)
        if not await self._prepare_change(state, restrictions):
            if self._keeper.in_force.version >= state.version:
                # The peers don't acknowledge the change because another
                # change of the same version was committed meanwhile.
                self._abort_change(
                    state, ChangeResult.CONFLICT, current.version, "version"
                )
                return self._build_conflict(state.token, current)
            return self._refuse_change(state)
        return await self._write_and_commit(stored, state)

    async def _read_latest(self) -> state_store.StoredState:
        known = state_store.StoredState(
            self._keeper.in_force, self._keeper.row_version
        )
        changed = await self._store.read_if_changed(known.row_version)
        if changed is None:
            return known
        self._offer_state(changed)
        return changed

    async def _prepare_change(
        self, state: fleet.FleetState, restrictions: fleet.Restrictions
    ) -> bool:
        acknowledged: defer.Deferred[None] = defer.Deferred()
        self._prepared_by_token[state.token] = acknowledged
        self._apply_effects(
            self._keeper.prepare(self._reactor.seconds(), state, restrictions)
        )
        acknowledged.addTimeout(PREPARE_TIMEOUT_S, self._reactor)
        try:
            await acknowledged
        except defer.TimeoutError:
            return False
        finally:
            self._prepared_by_token.pop(state.token, None)
        return True

    def _refuse_change(self, state: fleet.FleetState) -> ChangeOutcome:
        reason = (
            f"{self._keeper.acknowledged(state.token)} of"
            f" {self._keeper.acknowledgements_needed} seats needed"
            f" acknowledged within {PREPARE_TIMEOUT_S} s; nothing is changed"
        )
        return self._abort_change(
            state, ChangeResult.REFUSED, state.version - 1, reason
        )

    def _abort_change(
        self,
        state: fleet.FleetState,
        result: ChangeResult,
        version: int,
        reason: str,
    ) -> ChangeOutcome:
        now = self._reactor.seconds()
        self._apply_effects(self._keeper.abort(now, state.token))
        catalogue.emit(
            logger,
            state_events.ChangeNotMade(
                state.version, state.token, result.value, reason
            ),
        )
        return ChangeOutcome(result, state.token, version, reason)

    async def _write_and_commit(
        self, stored: state_store.StoredState, state: fleet.FleetState
    ) -> ChangeOutcome:
        before = stored.state
        try:
            written = await self._write_state(stored, state)
        except exceptions.StoreNotCalled as error:
            return self._abort_change(
                state, ChangeResult.REFUSED, before.version, str(error)
            )
        except exceptions.StoreUnavailable as error:
            # The restrictions stay in force until the table shows whether the
            # change was written.
            catalogue.emit(
                logger,
                state_events.ChangeNotMade(
                    state.version, state.token, "unknown", str(error)
                ),
            )
            return ChangeOutcome(
                ChangeResult.UNKNOWN, state.token, state.version, str(error)
            )
        if written.token_by_version.get(state.version) != state.token:
            self._offer_state(written)
            self._abort_change(
                state, ChangeResult.CONFLICT, written.state.version, "version"
            )
            return self._build_conflict(state.token, before)
        self._apply_effects(
            self._keeper.commit(
                self._reactor.seconds(), written.state, written.row_version
            )
        )
        return ChangeOutcome(ChangeResult.ACCEPTED, state.token, state.version)

    async def _write_state(
        self, stored: state_store.StoredState, state: fleet.FleetState
    ) -> state_store.StoredState:
        """Return the state as written, by this change or by another.

        An attempt without an answer may have been applied, so the row is
        read back. Another attempt is safe while the row is unchanged.

        Raises:
            StoreNotCalled: the write wasn't sent and never will be.
            StoreUnavailable: it isn't known whether it was written.
        """
        retry_deadline = self._reactor.seconds() + WRITE_RETRY_PERIOD_S
        delays = backoff.Backoff(0.05, 0.5, self._rng)
        maybe_sent = False
        while True:
            try:
                written = await self._store.replace(stored, state)
                if written is not None:
                    return written
                maybe_sent = True
                failure = exceptions.StoreUnavailable("Another version won")
            except exceptions.StoreNotCalled as error:
                failure = error
            except exceptions.StoreUnavailable as error:
                failure, maybe_sent = error, True
            try:
                current = await self._store.read()
                if current.row_version != stored.row_version:
                    return current
            except exceptions.StoreUnavailable as error:
                failure = error
            if self._reactor.seconds() >= retry_deadline:
                if maybe_sent:
                    raise exceptions.StoreUnavailable(str(failure))
                raise exceptions.StoreNotCalled(str(failure))
            await self._sleep(delays.next_wait_s())

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, seconds)

    def _offer_state(self, stored: state_store.StoredState) -> None:
        self._apply_effects(
            self._keeper.offer(
                self._reactor.seconds(),
                stored.state,
                stored.row_version,
                "store",
            )
        )

    def _build_conflict(
        self, token: str, before: fleet.FleetState
    ) -> ChangeOutcome:
        current = self._keeper.in_force
        return ChangeOutcome(
            ChangeResult.CONFLICT,
            token,
            current.version,
            "version",
            only_seats_changed=current.content_version <= before.version,
        )

    async def wait_until_in_force(self, version: int) -> tuple[int, int]:
        """Wait until all reachable hosts have a version in force.

        Returns:
            The number of hosts that have it, and of hosts that are known.
        """
        deadline = self._reactor.seconds() + REPORT_TIMEOUT_S
        while True:
            now = self._reactor.seconds()
            has_version, behind = self._keeper.count_version(now, version)
            if not behind or now >= deadline:
                known = len(self._keeper.version_by_peer()) + 1
                return has_version, known
            await self._sleep(_REPORT_POLL_INTERVAL_S)

    async def read_current_state(self) -> fleet.FleetState:
        """Return the accepted state as read from the table.

        Raises:
            StoreUnavailable: the table can't be read.
        """
        stored = await self._store.read()
        self._offer_state(stored)
        return stored.state

    async def settle_overdue_changes(self) -> None:
        """Settle prepared changes whose makers appear to have failed.

        Raises:
            StoreUnavailable: the table can't be read; the restrictions stay
                in force.
        """
        for change in self._keeper.overdue(self._reactor.seconds()):
            if change.message.token not in self._keeper.prepared:
                continue
            await self._lock.acquire()
            try:
                await self._settle_change(change.message.version)
            finally:
                self._lock.release()

    async def _settle_change(self, version: int) -> None:
        stored = await self._store.read()
        self._offer_state(stored)
        if stored.state.version >= version:
            return
        # An empty change is written as the next version, so that a late write
        # by the maker fails.
        empty = dataclasses.replace(
            stored.state,
            version=stored.state.version + 1,
            token=tokens.new_token(),
        )
        written = await self._store.replace(stored, empty)
        if written is not None:
            now = self._reactor.seconds()
            self._apply_effects(
                self._keeper.commit(now, written.state, written.row_version)
            )
