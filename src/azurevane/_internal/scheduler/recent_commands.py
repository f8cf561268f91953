"""Recent commands for hosts, stored so that later leaders respect them.

Two senders must not send commands for one host within a host lease. So the
hosts of a command are named in the leader's renewal row, which is stored
before the command is sent. A later leader sends no command for these hosts
until the lease has passed, and may send commands for all others at once.
"""

from collections.abc import Iterable

import msgspec

# Bytes of an announced command besides the names of its host and sender.
_COMMAND_OVERHEAD_BYTES = 32

# A command must be sent within this time of its announcement, which later
# leaders read. Covers the retry of a write of which the response was lost.
ANNOUNCED_WINDOW_S = 1.5
# Added to the lease between the commands of two leaders for one host.
LEASE_MARGIN_S = 0.5


class RecentCommand(msgspec.Struct, array_like=True, frozen=True):
    """Recent command for a host; the time is by the store's clock.

    Attributes:
        sent_until: time after which its sender doesn't send it any more.
        holder: host name of the sender, as in the leader's row.
    """

    sent_until: float
    holder: str


class RecentCommands:
    """Recent commands of one leader and of previous leaders.

    Args:
        holder: host name under which this leader sends commands.
        host_lease_s: least time between the commands of two senders for one
            host.
        previous: recent commands of previous leaders, by host.
    """

    def __init__(
        self,
        holder: str,
        host_lease_s: float,
        previous: dict[str, RecentCommand],
    ) -> None:
        self._holder = holder
        self._host_lease_s = host_lease_s
        self._command_by_host = dict(previous)

    def record_commands(self, hosts: Iterable[str], sent_until: float) -> None:
        """Record hosts that get a command once this is stored.

        Args:
            sent_until: time by the store's clock after which the commands
                aren't sent any more.
        """
        command = RecentCommand(sent_until, self._holder)
        self._command_by_host.update(dict.fromkeys(hosts, command))

    def announced_bytes(self, store_now: float) -> int:
        """Return the most bytes that unexpired commands take in a row."""
        return sum(
            announcement_bytes(host, command.holder)
            for host, command in self.unexpired(store_now).items()
        )

    def unexpired(self, store_now: float) -> dict[str, RecentCommand]:
        """Drop commands whose lease has passed; return the others by host."""
        self._command_by_host = {
            host: command
            for host, command in self._command_by_host.items()
            if self._available_at(command) > store_now
        }
        return self._command_by_host

    def available_at_by_host(self) -> dict[str, float]:
        """Return when hosts that another leader commanded may get a command.

        Times are by the store's clock; all other hosts may get one now.
        """
        return {
            host: self._available_at(command)
            for host, command in self._command_by_host.items()
            if command.holder != self._holder
        }

    def _available_at(self, command: RecentCommand) -> float:
        return command.sent_until + self._host_lease_s + LEASE_MARGIN_S


def announcement_bytes(host: str, holder: str) -> int:
    """Return the most bytes that a command takes in a row."""
    return len(host.encode()) + len(holder.encode()) + _COMMAND_OVERHEAD_BYTES
