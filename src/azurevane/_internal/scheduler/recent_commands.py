"""Which hosts a leader orders, as it tells later leaders.

Two senders must not order one host within a lease. So the hosts of an
order are named in the row that proves the leadership, which is stored
before the order is sent; a later leader leaves just these alone.
"""

from collections.abc import Iterable

import msgspec

# An order must follow the write that proves the leadership within this.
MAX_COMMAND_DELAY_S = 0.7
# Added to the lease between orders for a host by two leaders.
LEASE_MARGIN_S = 0.5


class RecentCommand(msgspec.Struct, array_like=True, frozen=True):
    """Orders for a host; the time is by the store's clock.

    Attributes:
        sent_until: time after which its holder sends no order of these.
    """

    sent_until: float
    holder: str


class RecentCommands:
    """Marks of one leader and of those before it.

    Args:
        holder: name under which this leader sends orders.
        lease_s: least time between two senders' orders for a host.
        earlier: marks of the leaders before.
    """

    def __init__(
        self,
        holder: str,
        lease_s: float,
        earlier: dict[str, RecentCommand],
    ) -> None:
        self._holder = holder
        self._lease_s = lease_s
        self._command_by_host = dict(earlier)

    def record_commands(self, hosts: Iterable[str], store_now: float) -> None:
        """Note hosts that will be ordered once this is stored."""
        mark = RecentCommand(store_now + MAX_COMMAND_DELAY_S, self._holder)
        self._command_by_host.update(dict.fromkeys(hosts, mark))

    def unexpired(self, store_now: float) -> dict[str, RecentCommand]:
        """Return the marks that still matter, by host."""
        self._command_by_host = {
            host: mark
            for host, mark in self._command_by_host.items()
            if self._available_at(mark) > store_now
        }
        return self._command_by_host

    def available_at_by_host(self) -> dict[str, float]:
        """Return when hosts that others ordered may be ordered again.

        Times are by the store's clock; all other hosts are free.
        """
        return {
            host: self._available_at(mark)
            for host, mark in self._command_by_host.items()
            if mark.holder != self._holder
        }

    def _available_at(self, mark: RecentCommand) -> float:
        return mark.sent_until + self._lease_s + LEASE_MARGIN_S
