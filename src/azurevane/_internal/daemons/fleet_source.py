"""Provides the fleet state to a control daemon."""

import logging
from typing import Any, Protocol

from twisted.web import client

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import platform_events
from azurevane._internal.models import control as control_models
from azurevane._internal.models import fleet
from azurevane._internal.table_service import state_store

logger = logging.getLogger(__name__)

FRESHNESS_S = 2.0
VERSION_HEADER = "Azurevane-Fleet-Version"


class FleetSource(Protocol):
    """Source of the fleet state, which knows whether it is current."""

    @property
    def state(self) -> fleet.FleetState:
        """The latest fleet state known, with prepared restrictions."""

    @property
    def fresh_until(self) -> float:
        """Monotonic seconds until which work may start under the state."""

    async def refresh(self) -> None:
        """Read the state, or confirm that it is still current."""


class StoreFleetSource:
    """Reads the store; in its outages asks the entry process on the host.

    The readiness answer of the entry process names the version that a
    majority of seats has confirmed, so an equal version here is as fresh
    as there.
    """

    def __init__(
        self,
        reactor: Any,
        store: state_store.StateStore,
        readiness_url: str,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._url = readiness_url
        self._state = fleet.FleetState()
        self._confirmed_at = float("-inf")
        self._agent = client.Agent(reactor, connectTimeout=1.0)

    @property
    def state(self) -> fleet.FleetState:
        """The latest fleet state known."""
        return self._state

    @property
    def fresh_until(self) -> float:
        """Monotonic seconds until which work may start under the state."""
        return self._confirmed_at + FRESHNESS_S

    async def refresh(self) -> None:
        """Read the store; ask the entry process if the store is down."""
        requested_at = self._reactor.seconds()
        try:
            stored = await self._store.read()
        except exceptions.StoreUnavailable as error:
            catalogue.emit(
                logger, platform_events.StoreFailed("fleet", str(error))
            )
            await self._check_entry_host()
            return
        if stored.state.version > self._state.version:
            self._state = stored.state
        if stored.state.version == self._state.version:
            self._confirmed_at = max(self._confirmed_at, requested_at)

    async def _check_entry_host(self) -> None:
        requested_at = self._reactor.seconds()
        response_deferred = self._agent.request(b"GET", self._url.encode())
        response_deferred.addTimeout(1.0, self._reactor)
        try:
            response = await response_deferred
            await client.readBody(response)
        except Exception as error:
            logger.debug(
                "Readiness check of the entry process failed: %r", error
            )
            return
        versions = response.headers.getRawHeaders(VERSION_HEADER, [])
        if response.code == 200 and versions == [str(self._state.version)]:
            self._confirmed_at = max(self._confirmed_at, requested_at)


def build_pool_view(
    state: fleet.FleetState, pool: str
) -> control_models.PoolView:
    """Build the view of a pool from a fleet state."""
    manifest = state.manifest
    assert manifest is not None
    return control_models.PoolView(
        pool,
        tuple(host for host in manifest.hosts if host.pool == pool),
        manifest.teams,
        frozenset(state.zones_out),
        frozenset(state.draining),
    )
