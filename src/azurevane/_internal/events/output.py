"""Buffered log output to standard output that never blocks the program."""

import collections
from collections.abc import Callable
import logging
import os
import sys
from typing import Any

from azurevane._internal.events import catalogue
from azurevane._internal.events import formatting
from azurevane._internal.events import scheduler_events

logger = logging.getLogger(__name__)

# Limit of the lines that are buffered while standard output is slow; about
# 1 MB.
MAX_BUFFERED_LINES = 4000
FLUSH_INTERVAL_S = 0.05
_MAX_LINES_PER_WRITE = 200


class LineBuffer(logging.Handler):
    """Buffers formatted lines until the reactor writes them.

    Attributes:
        dropped: number of lines dropped because the buffer was full.
        on_buffered: called after each line that is buffered.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped = 0
        self.on_buffered: Callable[[], None] = lambda: None

    def fileno(self) -> int:
        """Return the descriptor that the lines are written to."""
        return self._descriptor

    @property
    def empty(self) -> bool:
        """Whether all lines have been written."""
        return not self._unwritten and not self._lines

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the line of a record; drop and count it if full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")
        self.on_buffered()

    def flush_lines(self) -> None:
        """Write as many lines as the descriptor accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                count = min(len(self._lines), _MAX_LINES_PER_WRITE)
                self._unwritten = b"".join(
                    self._lines.popleft() for _ in range(count)
                )
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            catalogue.emit(logger, scheduler_events.LinesDropped(dropped))


def configure_output(level: str) -> LineBuffer:
    """Write log records to standard output as JSON lines."""
    buffer = LineBuffer(sys.stdout.fileno())
    buffer.setFormatter(formatting.JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [buffer]
    root.setLevel(level)
    return buffer


class _Flusher:
    """Flushes a buffer some time after a line was buffered.

    Nothing is scheduled while the buffer is empty, since timers of idle
    processes cost processor time on every host.
    """

    def __init__(self, reactor: Any, buffer: LineBuffer) -> None:
        self._reactor = reactor
        self._buffer = buffer
        self._scheduled = False

    def schedule(self) -> None:
        """Flush the buffer after the flush interval, unless that is due."""
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._scheduled = False
        self._buffer.flush_lines()
        if not self._buffer.empty:
            # The descriptor accepts no more now.
            self.schedule()


def start_flushing(reactor: Any, buffer: LineBuffer) -> None:
    """Flush the buffer while the reactor runs and after its shutdown."""
    os.set_blocking(buffer.fileno(), False)
    flusher = _Flusher(reactor, buffer)
    buffer.on_buffered = flusher.schedule
    flusher.schedule()
    reactor.addSystemEventTrigger("after", "shutdown", buffer.flush_lines)
