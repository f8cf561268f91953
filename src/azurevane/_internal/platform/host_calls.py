"""Calls to the platform's hosts API: list, move and maintain hosts.

The protocol calls a host a machine and its maintenance upkeep.
"""

from collections.abc import Iterator
import enum
import logging
from typing import Any
from urllib import parse

import msgspec
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import site
from azurevane._internal.models import verdict
from azurevane._internal.platform import capacity as wire_capacity
from azurevane._internal.platform import http_client
from azurevane._internal.utils import json_decoding

logger = logging.getLogger(__name__)

# A call without a response is given up after this time. The caller doesn't
# wait for it that long.
CALL_TIMEOUT_S = 60.0
# A page after the first that was rejected for the rate of calls is read again
# after this time, so often.
PAGE_RETRY_DELAY_S = 0.25
MAX_PAGE_RETRIES = 8


class CommandOutcome(enum.Enum):
    """Outcome of a command for a host.

    The values are logged and label a metric, so they don't change.
    """

    ACCEPTED = "taken"
    FENCED = "fenced"
    BUSY = "host busy"
    NOT_DUE = "host not of that wave"
    INVALID = "order invalid"
    RETRY_LATER = "rate exceeded"
    NOT_SENT = "not sent"
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
    # Id of the runner on it, not of the machine itself.
    id: str | None = None


class _Page(msgspec.Struct):
    # Decoded one by one, so that a malformed one doesn't hide the others.
    machines: list[Any]
    next_token: str | None = msgspec.field(name="nextToken", default=None)


class HostCalls:
    """Sends calls about hosts.

    Args:
        holder: lease holder to name in each command.
        fencing_token: token to send with each command.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: host_settings.Address,
        holder: str,
        fencing_token: int,
        reactor: Any,
    ) -> None:
        self._client = client
        self._address = address
        self._reactor = reactor
        self.fencing_token = fencing_token
        self._headers = {
            "X-Lease-Holder": holder,
            "X-Fencing-Token": str(fencing_token),
        }

    async def list_hosts(
        self, *, new_connection: bool = False
    ) -> tuple[site.Host, ...]:
        """Return all hosts.

        Args:
            new_connection: whether to begin on a new connection, as those
                that are open may have gone silent.

        Raises:
            CallFailed: no usable response.
        """
        host_by_name: dict[str, site.Host] = {}
        token: str | None = None
        read_tokens: set[str] = set()
        while True:
            page = await self._read_page(token, new_connection)
            new_connection = False
            # A host that changes while the pages are read may be on two.
            for host in _decode_hosts(page.machines):
                host_by_name[host.name] = host
            token = page.next_token
            if not token:
                return tuple(host_by_name.values())
            if token in read_tokens:
                raise exceptions.CallFailed(
                    "listing hosts: a page refers to an earlier one",
                    verdict.Verdict.RAN,
                )
            read_tokens.add(token)

    async def _read_page(
        self, token: str | None, new_connection: bool
    ) -> _Page:
        query = "" if token is None else f"?pageToken={parse.quote(token)}"
        retries = 0
        while True:
            try:
                response = await self._client.call(
                    self._address,
                    b"GET",
                    f"/azurevane/machines{query}",
                    timeout_s=CALL_TIMEOUT_S,
                    new_connection=new_connection,
                )
                return http_client.decode_response(
                    response, _Page, "listing hosts"
                )
            except exceptions.CallFailed as failure:
                # The pages before would have to be read again.
                not_run = failure.verdict is verdict.Verdict.NOT_RUN
                if not token or not not_run or retries >= MAX_PAGE_RETRIES:
                    raise
            retries += 1
            await twisted_task.deferLater(
                self._reactor, PAGE_RETRY_DELAY_S, lambda: None
            )

    async def move_host(
        self, host: str, pool: str, *, send_before: float
    ) -> CommandOutcome:
        """Move a host to another pool, which ends its tasks at once.

        Args:
            send_before: monotonic time from which the command isn't sent.
        """
        return await self._send_command(
            "machine-move", host, {"pool": pool}, send_before
        )

    async def start_maintenance(
        self, host: str, wave: int, *, send_before: float
    ) -> CommandOutcome:
        """Start a host's maintenance, which ends its tasks at once.

        Args:
            send_before: monotonic time from which the command isn't sent.
        """
        return await self._send_command(
            "machine-upkeep", host, {"wave": wave}, send_before
        )

    async def _send_command(
        self,
        name: str,
        host: str,
        fields: dict[str, Any],
        send_before: float,
    ) -> CommandOutcome:
        try:
            response = await self._client.call(
                self._address,
                b"POST",
                f"/azurevane/{name}",
                {"machine": host, **fields},
                timeout_s=CALL_TIMEOUT_S,
                headers=self._headers,
                send_before=send_before,
            )
        except exceptions.CallFailed as failure:
            if failure.verdict is verdict.Verdict.NOT_RUN:
                return CommandOutcome.NOT_SENT
            return CommandOutcome.UNKNOWN
        if response.status == 200:
            return CommandOutcome.ACCEPTED
        if response.status == 409:
            return _conflict_outcome(response.body)
        if response.status == 400:
            return CommandOutcome.INVALID
        return CommandOutcome.RETRY_LATER


def _conflict_outcome(body: bytes) -> CommandOutcome:
    outcome_by_reason = {
        "fence": CommandOutcome.FENCED,
        "wave": CommandOutcome.NOT_DUE,
    }
    try:
        reason = json_decoding.decode(body, dict[str, Any]).get("reason")
    except msgspec.MsgspecError:
        return CommandOutcome.BUSY
    return outcome_by_reason.get(str(reason), CommandOutcome.BUSY)


_STATE_BY_WIRE_VALUE = {
    "up": site.HostState.UP,
    "moving": site.HostState.MOVING,
    "upkeep": site.HostState.IN_MAINTENANCE,
    "down": site.HostState.DOWN,
}


def _decode_hosts(rows: list[Any]) -> Iterator[site.Host]:
    for row in rows:
        try:
            yield _decode_host(msgspec.convert(row, _Machine))
        except msgspec.ValidationError as error:
            logger.warning("Malformed row in the list of hosts: %s", error)
            name = row.get("machine") if isinstance(row, dict) else None
            if isinstance(name, str):
                # Its waves wait for it.
                yield site.Host(name, "", site.HostState.UNKNOWN, "", "")


def _decode_host(machine: _Machine) -> site.Host:
    return site.Host(
        name=machine.machine,
        pool=machine.pool,
        state=_STATE_BY_WIRE_VALUE.get(machine.state, site.HostState.UNKNOWN),
        zone=machine.zone,
        runner_id=machine.id or "",
        labels=frozenset(machine.labels),
        capacity=machine.capacity.decode(),
    )
