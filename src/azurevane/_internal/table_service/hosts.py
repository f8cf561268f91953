"""Client of the platform's host list, which may be stale or wrong."""

import dataclasses

import msgspec

from azurevane import exceptions
from azurevane._internal.table_service import transport


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the host list.

    Attributes:
        leaving: whether the platform is about to stop the host.
    """

    name: str
    zone: str = ""
    leaving: bool = False


class HostList:
    """Reads the host list."""

    def __init__(self, json_transport: transport.JsonTransport) -> None:
        self._transport = json_transport

    async def read(self) -> tuple[ListedHost, ...]:
        """Return the hosts that the platform considers live.

        Raises:
            StoreUnavailable: the platform gave no usable answer.
        """
        _, body = await self._transport.call("GET", "/hosts")
        try:
            return msgspec.convert(body, type=tuple[ListedHost, ...])
        except msgspec.ValidationError as error:
            raise exceptions.StoreUnavailable(
                f"Host list can't be read: {error}"
            ) from error
