"""Reads the platform's list of hosts, at the pace of the hosts API."""

from collections.abc import Callable, Iterable
import logging

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.models import site
from azurevane._internal.platform import host_calls
from azurevane._internal.policy import serial_calls

logger = logging.getLogger(__name__)

# The list is read again after this time.
HOST_LIST_INTERVAL_S = 0.5
# Reading the list takes at most this share of the time, so that the list of a
# large fleet leaves room on the link for runners and the store. The pause has
# a maximum, as the platform may be slow rather than the link.
HOST_LIST_TIME_SHARE = 0.1
MAX_HOST_LIST_PAUSE_S = 5.0
# A read that takes twice as long, and a little more, is overdue, until the
# first one has shown how long they take. A long list mustn't be read several
# times at once over a narrow link.
EXPECTED_READ_S = 0.5
# Longest pause between two reads while the platform doesn't answer.
MAX_RETRY_PAUSE_S = 2.5


class HostListReader:
    """Reads the list again and again; times are monotonic seconds.

    A read that is overdue goes on, as the platform may be slow, and another
    one begins beside it.

    Args:
        seconds: returns the monotonic time.
        on_list: called with the hosts and the time at which the list was
            requested.
    """

    def __init__(
        self,
        calls: host_calls.HostCalls,
        seconds: Callable[[], float],
        on_list: Callable[[tuple[site.Host, ...], float], None],
    ) -> None:
        self._calls = calls
        self._seconds = seconds
        self._on_list = on_list
        self._pacer = serial_calls.SerialCalls(MAX_RETRY_PAUSE_S)
        self._due_at = float("-inf")
        self._read_by_number: dict[
            int, defer.Deferred[tuple[site.Host, ...]]
        ] = {}

    async def read_if_due(self) -> None:
        """Read the list unless it isn't due or a read is on its way."""
        asked_at = self._seconds()
        may_read_at = self._pacer.next_call_at()
        if asked_at < max(may_read_at, self._due_at):
            return
        self._give_up(self._pacer.take_surplus())
        repeated = self._pacer.open_count > 0
        number = self._pacer.begin(asked_at, EXPECTED_READ_S)
        read = defer.ensureDeferred(
            self._calls.list_hosts(new_connection=repeated)
        )
        self._read_by_number[number] = read
        try:
            hosts = await read
        except Exception as error:
            self._pacer.record_failure(number, self._seconds())
            if not isinstance(error, exceptions.CallFailed):
                raise
            logger.info("Reading the list of hosts failed: %s", error)
            return
        finally:
            self._read_by_number.pop(number, None)
        now = self._seconds()
        self._give_up(self._pacer.record_response(number, now))
        self._due_at = now + max(
            HOST_LIST_INTERVAL_S,
            min(
                (now - asked_at) / HOST_LIST_TIME_SHARE, MAX_HOST_LIST_PAUSE_S
            ),
        )
        self._on_list(hosts, asked_at)

    def _give_up(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self._read_by_number[number].cancel()

    def stop(self) -> None:
        """Give up the reads in progress."""
        self._give_up(list(self._read_by_number))
