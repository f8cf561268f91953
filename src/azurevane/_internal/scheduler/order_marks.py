"""Which hosts a leader orders, as it tells later leaders.

Two senders must not order one host within a lease. So the hosts of an
order are named in the row that proves the leadership, which is stored
before the order is sent; a later leader leaves just these alone.
"""

from collections.abc import Iterable

import msgspec

# An order must follow the write that proves the leadership within this.
ORDER_WITHIN_S = 0.7
# Added to the lease between orders for a host by two leaders.
MARGIN_S = 0.5


class OrderMark(msgspec.Struct, array_like=True, frozen=True):
    """Orders for a host; the time is by the store's clock.

    Attributes:
        sent_until: time after which its holder sends no order of these.
    """

    sent_until: float
    holder: str


class OrderMarks:
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
        earlier: dict[str, OrderMark],
    ) -> None:
        self._holder = holder
        self._lease_s = lease_s
        self._mark_by_host = dict(earlier)

    def note(self, hosts: Iterable[str], store_now: float) -> None:
        """Note hosts that will be ordered once this is stored."""
        mark = OrderMark(store_now + ORDER_WITHIN_S, self._holder)
        self._mark_by_host.update(dict.fromkeys(hosts, mark))

    def current(self, store_now: float) -> dict[str, OrderMark]:
        """Return the marks that still matter, by host."""
        self._mark_by_host = {
            host: mark
            for host, mark in self._mark_by_host.items()
            if self._free_at(mark) > store_now
        }
        return self._mark_by_host

    def free_at_by_host(self) -> dict[str, float]:
        """Return when hosts that others ordered may be ordered again.

        Times are by the store's clock; all other hosts are free.
        """
        return {
            host: self._free_at(mark)
            for host, mark in self._mark_by_host.items()
            if mark.holder != self._holder
        }

    def _free_at(self, mark: OrderMark) -> float:
        return mark.sent_until + self._lease_s + MARGIN_S
