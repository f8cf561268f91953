"""Makes changes to the fleet state: prepare, compare-and-set, commit."""

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
# No new try of a write starts later. With the last try's time-outs the
# maker gives up before other hosts settle the change for it.
WRITE_RETRY_PERIOD_S = 3.0
# How long an answer to an operator waits for hosts to report the version.
REPORT_TIMEOUT_S = 1.0

_REPORT_POLL_S = 0.02
_MAX_ATTEMPTS = 5

Builder = Callable[[fleet.FleetState], fleet.FleetState]


class ChangeResult(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """What became of a change, and why.

    Attributes:
        version: accepted version, or the current one after a conflict.
        only_seats: after a conflict, whether nothing but seats changed.
    """

    result: ChangeResult
    token: str
    version: int
    reason: str = ""
    only_seats: bool = False


class ChangeMaker:
    """Makes one change at a time on this host.

    Args:
        apply: carries out the effects of the state keeper.
    """

    def __init__(
        self,
        reactor: Any,
        keeper: state_keeper.StateKeeper,
        store: state_store.StateStore,
        apply: Callable[[list[effects.Effect]], None],
        chance: random.Random,
    ) -> None:
        self._reactor = reactor
        self._keeper = keeper
        self._store = store
        self._apply = apply
        self._chance = chance
        self._lock = defer.DeferredLock()
        self._prepared_by_token: dict[str, defer.Deferred[None]] = {}

    def handle_prepared(self, token: str) -> None:
        """Note that a majority of seats obeys a change."""
        waiting = self._prepared_by_token.pop(token, None)
        if waiting is not None:
            waiting.callback(None)

    async def make_change(
        self, base_version: int | None, build: Builder
    ) -> ChangeOutcome:
        """Make a change of the current state.

        Args:
            base_version: version that the change was made from; None
                for a change that holds for any version.
            build: returns the next version; is called again if only
                seats have changed meanwhile.

        Raises:
            ManifestError: the change is invalid.
            StoreUnavailable: the store can't be read; nothing was done.
        """
        await self._lock.acquire()
        try:
            for _ in range(_MAX_ATTEMPTS):
                outcome = await self._attempt(base_version, build)
                if not outcome.only_seats:
                    break
            return outcome
        finally:
            self._lock.release()

    async def _attempt(
        self, base_version: int | None, build: Builder
    ) -> ChangeOutcome:
        stored = await self._current()
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
            return self._conflict(state.token, current)
        taken = restriction_policy.restrictions_between(current, state)
        if not await self._prepare(state, taken):
            if self._keeper.in_force.version >= state.version:
                # The peers don't obey a change of a version that another
                # maker has won meanwhile.
                self._abort(
                    state, ChangeResult.CONFLICT, current.version, "version"
                )
                return self._conflict(state.token, current)
            return self._refuse(state)
        return await self._decide(stored, state)

    async def _current(self) -> state_store.StoredState:
        known = state_store.StoredState(
            self._keeper.in_force, self._keeper.row_version
        )
        changed = await self._store.read_if_changed(known.row_version)
        if changed is None:
            return known
        self._offer(changed)
        return changed

    async def _prepare(
        self, state: fleet.FleetState, taken: fleet.Restrictions
    ) -> bool:
        waiting: defer.Deferred[None] = defer.Deferred()
        self._prepared_by_token[state.token] = waiting
        self._apply(
            self._keeper.prepare(self._reactor.seconds(), state, taken)
        )
        waiting.addTimeout(PREPARE_TIMEOUT_S, self._reactor)
        try:
            await waiting
        except defer.TimeoutError:
            return False
        finally:
            self._prepared_by_token.pop(state.token, None)
        return True

    def _refuse(self, state: fleet.FleetState) -> ChangeOutcome:
        reason = (
            f"{self._keeper.acknowledged(state.token)} of"
            f" {self._keeper.acknowledgements_needed} seats needed"
            f" acknowledged within {PREPARE_TIMEOUT_S} s; nothing is changed"
        )
        return self._abort(
            state, ChangeResult.REFUSED, state.version - 1, reason
        )

    def _abort(
        self,
        state: fleet.FleetState,
        result: ChangeResult,
        version: int,
        why: str,
    ) -> ChangeOutcome:
        now = self._reactor.seconds()
        self._apply(self._keeper.abort(now, state.token))
        catalogue.emit(
            logger,
            state_events.ChangeNotMade(
                state.version, state.token, result.value, why
            ),
        )
        return ChangeOutcome(result, state.token, version, why)

    async def _decide(
        self, stored: state_store.StoredState, state: fleet.FleetState
    ) -> ChangeOutcome:
        before = stored.state
        try:
            written = await self._write(stored, state)
        except exceptions.StoreNotCalled as error:
            return self._abort(
                state, ChangeResult.REFUSED, before.version, str(error)
            )
        except exceptions.StoreUnavailable as error:
            # The restrictions stay until the table settles the change.
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
            self._offer(written)
            self._abort(
                state, ChangeResult.CONFLICT, written.state.version, "version"
            )
            return self._conflict(state.token, before)
        self._apply(
            self._keeper.commit(
                self._reactor.seconds(), written.state, written.row_version
            )
        )
        return ChangeOutcome(ChangeResult.ACCEPTED, state.token, state.version)

    async def _write(
        self, stored: state_store.StoredState, state: fleet.FleetState
    ) -> state_store.StoredState:
        """Return the row as written, by this change or by another.

        A try without an answer may have been written, so the row is
        read back; trying again is harmless while the row is unchanged.

        Raises:
            StoreNotCalled: the write wasn't sent and never will be.
            StoreUnavailable: it isn't known whether it was written.
        """
        no_try_after = self._reactor.seconds() + WRITE_RETRY_PERIOD_S
        waits = backoff.Backoff(0.05, 0.5, self._chance)
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
            if self._reactor.seconds() >= no_try_after:
                if maybe_sent:
                    raise exceptions.StoreUnavailable(str(failure))
                raise exceptions.StoreNotCalled(str(failure))
            await self._sleep(waits.next_wait_s())

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, seconds)

    def _offer(self, stored: state_store.StoredState) -> None:
        self._apply(
            self._keeper.offer(
                self._reactor.seconds(),
                stored.state,
                stored.row_version,
                "store",
            )
        )

    def _conflict(self, token: str, before: fleet.FleetState) -> ChangeOutcome:
        current = self._keeper.in_force
        return ChangeOutcome(
            ChangeResult.CONFLICT,
            token,
            current.version,
            "version",
            only_seats=current.content_version <= before.version,
        )

    async def wait_until_in_force(self, version: int) -> tuple[int, int]:
        """Wait until the hosts in touch have a version in force.

        Returns:
            How many hosts have it, and how many hosts are known.
        """
        until = self._reactor.seconds() + REPORT_TIMEOUT_S
        while True:
            now = self._reactor.seconds()
            has, behind = self._keeper.count_version(now, version)
            if not behind or now >= until:
                known = len(self._keeper.version_by_peer()) + 1
                return has, known
            await self._sleep(_REPORT_POLL_S)

    async def read_current_state(self) -> fleet.FleetState:
        """Return the accepted state, from the table.

        Raises:
            StoreUnavailable: the table can't be read.
        """
        stored = await self._store.read()
        self._offer(stored)
        return stored.state

    async def settle_overdue_changes(self) -> None:
        """Settle a prepared change whose maker seems to be dead.

        Raises:
            StoreUnavailable: the table can't be read; the restrictions
                stay.
        """
        for change in self._keeper.overdue(self._reactor.seconds()):
            if change.message.token not in self._keeper.prepared:
                continue
            await self._lock.acquire()
            try:
                await self._settle(change.message.version)
            finally:
                self._lock.release()

    async def _settle(self, version: int) -> None:
        stored = await self._store.read()
        self._offer(stored)
        if stored.state.version >= version:
            return
        # A version without content takes the place of the change, so a
        # late write of its maker fails.
        empty = dataclasses.replace(
            stored.state,
            version=stored.state.version + 1,
            token=tokens.new_token(),
        )
        written = await self._store.replace(stored, empty)
        if written is not None:
            now = self._reactor.seconds()
            self._apply(
                self._keeper.commit(now, written.state, written.row_version)
            )
