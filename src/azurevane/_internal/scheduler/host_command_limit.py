"""Limits the commands for hosts that a leader sends.

Designed for fleets in which many hosts move at once. The platform accepts a
number of commands a second from all entry hosts and rejects the others. Each
command is announced in the leader's renewal row, and the store rejects a row
that is too large, with which the leader would lose its lead. A platform that
has turned slow gets few commands at a time, as each is carried out in the end,
however late.
"""

from collections.abc import Sequence

from azurevane._internal.policy import command_window
from azurevane._internal.scheduler import host_commands
from azurevane._internal.scheduler import recent_commands

# Part of the renewal row that announced commands may take.
ANNOUNCED_ROW_SHARE = 0.3
# A platform that answers within this time isn't slow.
PROMPT_RESPONSE_S = 1.5


class HostCommandLimit:
    """Token bucket of commands; times are monotonic seconds.

    The bucket holds the commands of one second.

    Args:
        commands_per_s: commands that the platform accepts in a second.
        row_bytes: largest value of a row that the store accepts.
        holder: host name under which this leader sends commands.

    Attributes:
        window: commands in progress at the platform.
    """

    def __init__(
        self, commands_per_s: float, row_bytes: int, holder: str
    ) -> None:
        self._commands_per_s = commands_per_s
        self._tokens = commands_per_s
        self._refilled_at = 0.0
        self._max_bytes = int(row_bytes * ANNOUNCED_ROW_SHARE)
        self._holder = holder
        self.window = command_window.CommandWindow(PROMPT_RESPONSE_S)

    def admit(
        self,
        commands: Sequence[host_commands.HostCommand],
        announced_bytes: int,
        now: float,
    ) -> list[host_commands.HostCommand]:
        """Return the first commands that may be sent now, as in progress.

        Args:
            commands: in the order of their importance.
            announced_bytes: bytes of the commands announced before.
        """
        refill = (now - self._refilled_at) * self._commands_per_s
        self._tokens = min(self._tokens + refill, self._commands_per_s)
        self._refilled_at = now
        admitted: list[host_commands.HostCommand] = []
        for command in commands[: self.window.available(len(commands), now)]:
            announced_bytes += recent_commands.announcement_bytes(
                command.host.name, self._holder
            )
            if self._tokens < 1.0 or announced_bytes > self._max_bytes:
                break
            self._tokens -= 1.0
            self.window.begin()
            admitted.append(command)
        return admitted
