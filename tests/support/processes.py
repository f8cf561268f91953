"""Runs the project's programs on loopback for tests."""

import hashlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

PROGRAMS = pathlib.Path(sys.executable).parent
OPERATORS_TOKEN = "operators-secret"


def free_ports(count):
    """Return consecutive free ports.

    They are below the kernel's range of ephemeral ports, so no outgoing
    connection takes one before its program listens.
    """
    while True:
        first = random.SystemRandom().randrange(12000, 32000 - count)
        ports = list(range(first, first + count))
        sockets = []
        try:
            for port in ports:
                sockets.append(socket.create_server(("127.0.0.1", port)))
            return ports
        except OSError:
            continue
        finally:
            for listener in sockets:
                listener.close()


def http_call(method, url, body=None, headers=None, timeout=15):
    """Return the status, headers and body of a response."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


def wait_until(condition, timeout=10.0):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError("condition not reached in time")


class SiteProcesses:
    """Processes of one small site; stop() ends only those it started."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.process_by_name = {}
        self.port_by_name = {}

    def start_program(self, name, program, *arguments):
        log = (self.directory / f"{name}.log").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            [str(PROGRAMS / program), *map(str, arguments)],
            stdout=log,
            stderr=log,
        )

    def send_signal(self, name, number):
        self.process_by_name[name].send_signal(number)

    def stop(self):
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait(timeout=10)

    def start_platform(self):
        (port,) = free_ports(1)
        self.port_by_name["platform"] = port
        self.start_program(
            "platform", "azurevane-platform-standin", "--port", port
        )
        wait_until(lambda: self.call_platform("GET", "/hosts")[0] == 200)

    def call_platform(self, method, path, body=None):
        port = self.port_by_name["platform"]
        status, _, answer = http_call(
            method,
            f"http://127.0.0.1:{port}{path}",
            None if body is None else json.dumps(body).encode(),
        )
        return status, json.loads(answer) if answer else None

    def start_runners(self, names):
        first = free_ports(len(names))[0]
        for index, name in enumerate(names):
            self.port_by_name[name] = first + index
        self.start_program(
            "runners",
            "azurevane-upstream-standin",
            "--first-port",
            first,
            "--names",
            ",".join(names),
        )
        last = self.port_by_name[names[-1]]
        wait_until(
            lambda: (
                http_call("GET", f"http://127.0.0.1:{last}/record")[0] == 200
            )
        )

    def call_runner(self, name, method, path, body=None):
        port = self.port_by_name[name]
        _, _, answer = http_call(
            method,
            f"http://127.0.0.1:{port}{path}",
            None if body is None else json.dumps(body).encode(),
        )
        return json.loads(answer)

    def assign_entry_ports(self, zone_by_name):
        """Choose the ports of all entry hosts before any of them starts."""
        for name in zone_by_name:
            callers, operators, peers = free_ports(3)
            self.port_by_name[name] = callers
            self.port_by_name[f"{name}-operators"] = operators
            self.port_by_name[f"{name}-peers"] = peers
        self.zone_by_entry = dict(zone_by_name)

    def write_settings(self, name, **extra_sections):
        digest = hashlib.sha256(OPERATORS_TOKEN.encode()).hexdigest()
        members = ",".join(
            f"{other}=127.0.0.1:{self.port_by_name[f'{other}-peers']}"
            for other in self.zone_by_entry
            if other != name
        )
        lines = [
            "[host]",
            f"name = {name}",
            f"zone = {self.zone_by_entry[name]}",
            "[callers]",
            f"port = {self.port_by_name[name]}",
            "[operators]",
            f"port = {self.port_by_name[f'{name}-operators']}",
            f"token_digest = {digest}",
            "[peers]",
            f"port = {self.port_by_name[f'{name}-peers']}",
            f"members = {members}",
            "[platform]",
            f"url = http://127.0.0.1:{self.port_by_name['platform']}",
            "[invariants]",
            "check = yes",
        ]
        for section, options in extra_sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in options.items())
        path = self.directory / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_entry(self, name, **extra_sections):
        path = self.write_settings(name, **extra_sections)
        self.start_program(name, "azurevane-entry", "--settings", path)
        wait_until(lambda: self.call_entry(name, "GET", "/healthz")[0] == 200)

    def start_entries(self, names):
        """Start several entry hosts in parallel."""
        for name in names:
            path = self.write_settings(name)
            self.start_program(name, "azurevane-entry", "--settings", path)
        wait_until(
            lambda: all(
                self.call_entry(name, "GET", "/healthz")[0] == 200
                for name in names
            )
        )

    def status(self, name):
        """Return the fleet status from an entry host's operator API."""
        return self.call_operators(name, "GET", "/v1/status")[1]

    def call_operators(self, name, method, path, body=None):
        """Call the operator API of an entry host."""
        port = self.port_by_name[f"{name}-operators"]
        status, _, answer = http_call(
            method,
            f"http://127.0.0.1:{port}{path}",
            None if body is None else json.dumps(body).encode(),
            {"Authorization": f"Bearer {OPERATORS_TOKEN}"},
        )
        return status, json.loads(answer)

    def start_control(self, entry_name):
        path = self.directory / f"{entry_name}.ini"
        self.start_program(
            f"{entry_name}-control", "azurevane-control", "--settings", path
        )

    def call_entry(
        self, name, method, path, body=None, headers=None, timeout=15
    ):
        url = f"http://127.0.0.1:{self.port_by_name[name]}{path}"
        return http_call(method, url, body, headers, timeout)

    def make_change(self, name, kind, content, base_version=None):
        """Request a change at an entry host; return status and body."""
        body = {
            "kind": kind,
            "base_version": base_version,
            "content": content,
        }
        return self.call_operators(name, "POST", "/v1/changes", body)
