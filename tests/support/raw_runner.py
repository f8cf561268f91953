"""A runner that sends scripted responses, also invalid ones."""

import re
import socket
import struct
import threading

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine"
NOT_RUN_RESPONSE = (
    b"HTTP/1.1 503 Busy\r\nAzurevane-Verdict: not-run\r\n"
    b"Content-Length: 0\r\n\r\n"
)
BUSY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def echo_request_tag(head, answer):
    """Return a response with the request tag of the request head."""
    tag = re.search(rb"(?i)\r\n(azurevane-request: \S+)\r\n", head)[1]
    status_line, _, rest = answer.partition(b"\r\n")
    return b"\r\n".join((status_line, tag, rest))


def read_request_head(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return data
        data += chunk
    return data


def reset_connection(connection):
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class RawRunner:
    """Serves each connection with a function in a separate thread."""

    def __init__(self, serve):
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.port = self.listening_socket.getsockname()[1]
        self.requests = []
        self.connections = 0
        self.stopped = threading.Event()
        self._serve = serve
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def _accept_connections(self):
        while True:
            try:
                connection, _ = self.listening_socket.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve_connection, args=(connection,), daemon=True
            ).start()

    def _serve_connection(self, connection):
        try:
            self._serve(self, connection)
        except OSError:
            pass
        finally:
            connection.close()

    def next_request(self, connection):
        head = read_request_head(connection)
        if head:
            self.requests.append(head)
        return head

    def stop(self):
        self.stopped.set()
        self.listening_socket.shutdown(socket.SHUT_RDWR)
        self.listening_socket.close()
