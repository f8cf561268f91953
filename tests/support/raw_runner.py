"""A runner that misbehaves on the socket in a scripted way."""

import re
import socket
import struct
import threading

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine"
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nAzurevane-Verdict: not-run\r\n"
    b"Content-Length: 0\r\n\r\n"
)
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def echo_tag(head, answer):
    """Return an answer that repeats the tag of its request."""
    tag = re.search(rb"(?i)\r\n(azurevane-request: \S+)\r\n", head)[1]
    first, _, rest = answer.partition(b"\r\n")
    return b"\r\n".join((first, tag, rest))


def read_head(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return data
        data += part
    return data


def reset(connection):
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class RawRunner:
    """Serves each connection with a function in a thread of its own."""

    def __init__(self, serve):
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.port = self.listening.getsockname()[1]
        self.requests = []
        self.connections = 0
        self.stopped = threading.Event()
        self._serve = serve
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listening.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._run, args=(connection,), daemon=True
            ).start()

    def _run(self, connection):
        try:
            self._serve(self, connection)
        except OSError:
            pass
        finally:
            connection.close()

    def next_request(self, connection):
        head = read_head(connection)
        if head:
            self.requests.append(head)
        return head

    def stop(self):
        self.stopped.set()
        self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
