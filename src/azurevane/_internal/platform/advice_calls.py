"""Client of the advisor: which runners a queue's policy allows for a step."""

from collections.abc import Sequence
import dataclasses
from typing import Any

import msgspec

from azurevane._internal.models import host_settings
from azurevane._internal.platform import http_client

# Limit of the platform's protocol for one request.
MAX_RUNNERS_PER_REQUEST = 100
# The advisor handles each host's requests one at a time, so a response may
# wait for those before it.
CALL_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """The runners allowed for a step.

    Attributes:
        ticket_by_runner: ticket that a start on the runner must carry.
        valid_s: time from the response until the tickets expire.
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
        self, step_name: str, runners: Sequence[str]
    ) -> Advice:
        """Return which of the runners may run a step.

        Only the first ``MAX_RUNNERS_PER_REQUEST`` runners are considered.

        Raises:
            CallFailed: no usable response.
        """
        response = await self._client.call(
            self._address,
            b"POST",
            "/azurevane/advise",
            {
                "step": step_name,
                "workers": list(runners[:MAX_RUNNERS_PER_REQUEST]),
            },
            timeout_s=CALL_TIMEOUT_S,
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
