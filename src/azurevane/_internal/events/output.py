"""Log lines on standard output that never block the program."""

import collections
import logging
import os
import sys
from typing import Any

from azurevane._internal.events import catalogue
from azurevane._internal.events import formatting
from azurevane._internal.events import scheduler_events

logger = logging.getLogger(__name__)

# Lines kept while standard output is slow; about 1 MB.
MAX_LINES = 4000
FLUSH_S = 0.05
_CHUNK_LINES = 200


class LineBuffer(logging.Handler):
    """Keeps formatted lines until the reactor writes them.

    Attributes:
        dropped: lines lost because the buffer was full.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record's line, or count it as dropped."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    def flush_lines(self) -> None:
        """Write what the descriptor takes at once."""
        while self._rest or self._lines:
            if not self._rest:
                count = min(len(self._lines), _CHUNK_LINES)
                self._rest = b"".join(
                    self._lines.popleft() for _ in range(count)
                )
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            catalogue.emit(logger, scheduler_events.LinesDropped(dropped))


def configure_output(level: str) -> LineBuffer:
    """Send log records to standard output as JSON lines."""
    buffer = LineBuffer(sys.stdout.fileno())
    buffer.setFormatter(formatting.JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [buffer]
    root.setLevel(level)
    return buffer


def start_output(reactor: Any, buffer: LineBuffer) -> None:
    """Write lines while the reactor runs, and what is left at its end."""
    os.set_blocking(sys.stdout.fileno(), False)

    def flush() -> None:
        buffer.flush_lines()
        reactor.callLater(FLUSH_S, flush)

    reactor.callWhenRunning(flush)
    reactor.addSystemEventTrigger("after", "shutdown", buffer.flush_lines)
