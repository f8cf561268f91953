"""Client of the advisor: which runners a queue's policy allows for a step."""

from collections.abc import Sequence
import dataclasses
from typing import Any

import msgspec

from azurevane._internal.models import host_settings
from azurevane._internal.platform import http_client

# Limit of the platform's protocol for one request.
MAX_RUNNERS_PER_REQUEST = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """The runners allowed for a step.

    Attributes:
        ticket_by_runner: ticket that a start on the runner must carry.
        valid_s: time from the response until the tickets expire, in seconds;
            0 if the response doesn't say.
    """

    ticket_by_runner: dict[str, str]
    valid_s: float


class _Answer(msgspec.Struct):
    # Pairs of runner id and ticket; a malformed one allows no runner.
    good: list[Any] = []
    valid_ms: float = msgspec.field(name="validMs", default=0.0)


class AdviceCalls:
    """Sends requests to the placement advisor."""

    def __init__(
        self,
        client: http_client.HttpClient,
        address: host_settings.Address,
    ) -> None:
        self._client = client
        self._address = address

    async def request_advice(
        self,
        step_name: str,
        runners: Sequence[str],
        *,
        timeout_s: float,
        new_connection: bool = False,
    ) -> Advice:
        """Return which of the runners may run a step.

        Args:
            runners: ids of at most ``MAX_RUNNERS_PER_REQUEST`` runners.
            timeout_s: time from the call to the end of the response. The
                advisor handles each host's requests one at a time.
            new_connection: whether to use no connection that is open.

        Raises:
            CallFailed: no usable response.
        """
        response = await self._client.call(
            self._address,
            b"POST",
            "/azurevane/advise",
            {
                "step": step_name,
                "workers": list(runners),
            },
            timeout_s=timeout_s,
            new_connection=new_connection,
        )
        decoded = http_client.decode_response(
            response, _Answer, f"advice on {step_name}"
        )
        tickets = dict(
            row for row in map(_decode_ticket, decoded.good) if row is not None
        )
        return Advice(tickets, decoded.valid_ms / 1000)


def _decode_ticket(row: Any) -> tuple[str, str] | None:
    try:
        return msgspec.convert(row, tuple[str, str])
    except msgspec.ValidationError:
        return None
