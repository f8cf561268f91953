"""Placement advice: which runners a queue's policy allows for a step."""

from collections.abc import Sequence
import dataclasses

import msgspec

from azurevane._internal.models import host_settings
from azurevane._internal.platform import http_client

# Most runners of one question, by the platform's protocol.
MAX_RUNNERS = 100
# The advisor answers one question after the other for each host.
CALL_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Allowed runners with their tickets.

    Attributes:
        valid_s: time from the answer until the tickets expire.
    """

    ticket_by_runner: dict[str, str]
    valid_s: float


class _Answer(msgspec.Struct):
    # Pairs of runner and ticket.
    good: list[tuple[str, str]] = []
    valid_ms: float = msgspec.field(name="validMs", default=0.0)


class AdviceCalls:
    """Asks the advisor."""

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

        Raises:
            CallFailed: no usable answer came.
        """
        answer = await self._client.call(
            self._address,
            b"POST",
            "/azurevane/advise",
            {"step": step_name, "workers": list(runners[:MAX_RUNNERS])},
            timeout_s=CALL_TIMEOUT_S,
        )
        decoded = http_client.decode_response(
            answer, _Answer, f"advice on {step_name}"
        )
        return Advice(dict(decoded.good), decoded.valid_ms / 1000)
