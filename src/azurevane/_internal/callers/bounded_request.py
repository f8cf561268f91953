"""Requests whose bodies take a bounded amount of a host's memory."""

import io
from typing import Any

from twisted.web import server

# Bytes of a body that are kept, which is also the largest body that a
# configuration can allow. A job's row is a fraction of it.
MAX_KEPT_BYTES = 1 << 20
# A body over its limit is read to its end so that the caller gets the
# response; beyond this many bytes the connection is closed instead.
MAX_READ_BYTES = 8 << 20


class BoundedRequest(server.Request):
    """A request that keeps its body in memory up to a limit.

    Bodies of an unknown or a large length would otherwise be written to a
    temporary file, for which a host has no disk.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._body_bytes = 0
        self._refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for a body, whatever length its head declares."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, and one byte more than the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_READ_BYTES:
            if not self._refused:
                self._refuse()
            return
        room = MAX_KEPT_BYTES + 1 - self.content.tell()
        self.content.write(data[:room])

    def _refuse(self) -> None:
        self._refused = True
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        )
        self.channel.loseConnection()
