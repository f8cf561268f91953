"""The platform's list of hosts, and orders to move or maintain them."""

import enum
from typing import Any
from urllib import parse

import msgspec

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import site
from azurevane._internal.models import verdict
from azurevane._internal.platform import capacity as wire_capacity
from azurevane._internal.platform import http_client

# An answer takes a few milliseconds; the platform may be slow.
CALL_TIMEOUT_S = 1.5


class OrderOutcome(enum.Enum):
    """What became of an order for a host."""

    TAKEN = "taken"
    FENCED = "fenced"
    BUSY = "host busy"
    NOT_DUE = "host not of that wave"
    INVALID = "order invalid"
    LATER = "rate exceeded"
    UNKNOWN = "no answer"


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: wire_capacity.WireCapacity = msgspec.field(
        default_factory=wire_capacity.WireCapacity
    )
    # The runner that lives on it, not the machine's own identity.
    id: str | None = None


class _Page(msgspec.Struct):
    machines: list[_Machine]
    next_token: str | None = msgspec.field(name="nextToken", default=None)


class MachineCalls:
    """Calls about hosts; every order carries holder and fencing token."""

    def __init__(
        self,
        client: http_client.HttpClient,
        address: host_settings.Address,
        holder: str,
        fencing_token: int,
    ) -> None:
        self._client = client
        self._address = address
        self._headers = {
            "X-Lease-Holder": holder,
            "X-Fencing-Token": str(fencing_token),
        }

    async def hosts(self) -> tuple[site.Host, ...]:
        """Return all hosts.

        Raises:
            CallFailed: no usable answer came.
        """
        hosts: list[site.Host] = []
        token: str | None = None
        while True:
            query = "" if token is None else f"?pageToken={parse.quote(token)}"
            answer = await self._client.call(
                self._address,
                b"GET",
                f"/azurevane/machines{query}",
                timeout_s=CALL_TIMEOUT_S,
            )
            page = http_client.decode_answer(answer, _Page, "list of hosts")
            hosts.extend(_host(machine) for machine in page.machines)
            token = page.next_token
            if not token:
                return tuple(hosts)

    async def move(self, host: str, pool: str) -> OrderOutcome:
        """Order a host into another pool; its tasks end at once."""
        return await self._order("machine-move", host, {"pool": pool})

    async def maintain(self, host: str, wave: int) -> OrderOutcome:
        """Begin a host's maintenance; its tasks end at once."""
        return await self._order("machine-upkeep", host, {"wave": wave})

    async def _order(
        self, name: str, host: str, fields: dict[str, Any]
    ) -> OrderOutcome:
        try:
            answer = await self._client.call(
                self._address,
                b"POST",
                f"/azurevane/{name}",
                {"machine": host, **fields},
                timeout_s=CALL_TIMEOUT_S,
                headers=self._headers,
            )
        except exceptions.CallFailed as failure:
            if failure.verdict is verdict.Verdict.NOT_RUN:
                return OrderOutcome.LATER
            return OrderOutcome.UNKNOWN
        if answer.status == 200:
            return OrderOutcome.TAKEN
        if answer.status == 409:
            return _conflict(answer.body)
        if answer.status == 400:
            return OrderOutcome.INVALID
        return OrderOutcome.LATER


def _conflict(body: bytes) -> OrderOutcome:
    outcome_by_reason = {
        "fence": OrderOutcome.FENCED,
        "wave": OrderOutcome.NOT_DUE,
    }
    try:
        reason = msgspec.json.decode(body, type=dict[str, Any]).get("reason")
    except msgspec.MsgspecError:
        return OrderOutcome.BUSY
    return outcome_by_reason.get(str(reason), OrderOutcome.BUSY)


_STATE_BY_WORD = {
    "up": site.HostState.UP,
    "moving": site.HostState.MOVING,
    "upkeep": site.HostState.IN_MAINTENANCE,
    "down": site.HostState.DOWN,
}


def _host(machine: _Machine) -> site.Host:
    return site.Host(
        name=machine.machine,
        pool=machine.pool,
        # A word that isn't known names no host to order.
        state=_STATE_BY_WORD.get(machine.state, site.HostState.DOWN),
        zone=machine.zone,
        runner_id=machine.id or "",
        labels=frozenset(machine.labels),
        capacity=machine.capacity.decode(),
    )
