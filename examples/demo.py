"""Run both example sites on loopback, with faults, and print the results.

Each site has the platform stand-in, runners, six entry hosts and their
control daemons. Burst traffic is sent to all six entry hosts while a key is
granted and withdrawn, a runner is drained, a zone is taken out and
returned, and an entry host is killed. Exits non-zero when an invariant was
violated.
"""

import argparse
import hashlib
import json
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tests"))

import demo_report  # noqa: E402

from support import processes  # noqa: E402

LOAD_SECONDS = 25
WITHDRAWAL_BOUND_S = 3.0
KILLED_ENTRY = "entry-6"


class DemoSite:
    """One site of the demo, with its processes and results."""

    def __init__(self, name, scratch, seed):
        self.name = name
        self.seed = seed
        self.path = HERE / f"{name}.json"
        self.manifest = json.loads(self.path.read_text())
        self.site = processes.SiteProcesses(scratch)
        self.scratch = pathlib.Path(scratch)
        self.key_by_team = {
            team["name"]: secrets.token_urlsafe(24)
            for team in self.manifest["teams"]
        }
        self.entries = [f"entry-{number}" for number in range(1, 7)]
        self.results = {}
        self.violations = []

    def start_processes(self):
        self.site.start_platform()
        runners = self.manifest["runners"]
        self.site.start_program(
            "runners",
            "azurevane-upstream-standin",
            "--first-port",
            runners[0]["port"],
            "--names",
            ",".join(runner["name"] for runner in runners),
        )
        for host in self.manifest["hosts"]:
            self.site.call_platform("POST", f"/workers/{host['name']}/add", {})
        zones = self.manifest["zones"]
        self.site.assign_entry_ports(
            {
                name: zones[index % len(zones)]
                for index, name in enumerate(self.entries)
            }
        )
        for name in self.entries:
            self.site.start_entry(name)
        for name in self.entries:
            self.site.start_control(name)

    def make_change(self, kind, content, entry="entry-1"):
        """Make a change; return its version and when it was accepted."""
        deadline = time.monotonic() + 10
        while True:
            status, body = self.site.make_change(entry, kind, content)
            if status == 200:
                return body["version"], time.time()
            if time.monotonic() > deadline:
                raise AssertionError(f"{kind}: {status} {body}")
            time.sleep(0.2)

    def wait_in_force(self, version, entries, accepted_at):
        def reached():
            return all(
                self.status(name)["version"] >= version for name in entries
            )

        processes.wait_until(reached, timeout=20)
        return time.time() - accepted_at

    def status(self, name):
        port = self.site.port_by_name[f"{name}-operators"]
        _, _, body = processes.http_call(
            "GET",
            f"http://127.0.0.1:{port}/v1/status",
            headers={"Authorization": f"Bearer {processes.OPERATORS_TOKEN}"},
        )
        return json.loads(body)

    def fetch_run_record(self):
        port = self.manifest["runners"][0]["port"]
        answer = processes.http_call("GET", f"http://127.0.0.1:{port}/record")
        return json.loads(answer[2])

    def apply_manifest(self):
        version, accepted_at = self.make_change("manifest", self.manifest)
        self.results["manifest in force, s"] = self.wait_in_force(
            version, self.entries, accepted_at
        )
        for team, key in self.key_by_team.items():
            digest = hashlib.sha256(key.encode()).hexdigest()
            version, accepted_at = self.make_change(
                "key-grant", {"team": team, "digest": digest}
            )
        self.wait_in_force(version, self.entries, accepted_at)
        processes.wait_until(
            lambda: all(
                self.site.call_entry(name, "GET", "/readyz")[0] == 200
                for name in self.entries
            ),
            timeout=20,
        )

    def start_load(self):
        keys = self.scratch / "keys.json"
        keys.write_text(json.dumps(self.key_by_team))
        ports = self.site.port_by_name
        self.load = subprocess.Popen(
            [
                sys.executable,
                str(HERE / "load.py"),
                f"--manifest={self.path}",
                f"--keys={keys}",
                "--entries="
                + ",".join(f"127.0.0.1:{ports[n]}" for n in self.entries),
                f"--out={self.scratch / 'answers.jsonl'}",
                f"--seed={self.seed}",
                f"--seconds={LOAD_SECONDS}",
            ],
        )

    def withdraw_extra_key(self):
        """Grant and withdraw a key; time until every entry host rejects it."""
        key = secrets.token_urlsafe(24)
        digest = hashlib.sha256(key.encode()).hexdigest()
        team = self.manifest["teams"][0]["name"]
        version, accepted_at = self.make_change(
            "key-grant", {"team": team, "digest": digest}
        )
        self.wait_in_force(version, self.entries, accepted_at)
        _, accepted_at = self.make_change(
            "key-withdraw", {"digest": digest}, "entry-2"
        )
        queue = self.manifest["queues"][0]["name"]

        def refused():
            return all(
                self.site.call_entry(
                    name,
                    "GET",
                    f"/q/{queue}/check",
                    headers={"Authorization": f"Bearer {key}"},
                )[0]
                == 401
                for name in self.entries
            )

        processes.wait_until(refused, timeout=20)
        self.results["withdrawn key refused, s"] = time.time() - accepted_at
        self.check_bound(
            "withdrawn key refused, s",
            time.time() - accepted_at,
            WITHDRAWAL_BOUND_S,
        )

    def check_bound(self, name, value, bound):
        if value > bound:
            self.violations.append(f"{name}: {value:.2f} > {bound}")

    def count_starts(self, runners):
        starts = self.fetch_run_record()["starts_by_runner"]
        return sum(starts.get(runner, 0) for runner in runners)

    def take_out_and_return(self, label, out, back, runners, stay_s):
        """Take runners out of service; none may start work 3 s later."""
        _, accepted_at = self.make_change(*out)
        time.sleep(max(0.0, accepted_at + WITHDRAWAL_BOUND_S - time.time()))
        before = self.count_starts(runners)
        time.sleep(stay_s)
        late_starts = self.count_starts(runners) - before
        self.results[f"starts {label} after 3 s"] = late_starts
        self.check_bound(f"starts {label} after 3 s", late_starts, 0)
        self.make_change(*back)

    def run(self):
        self.start_processes()
        self.apply_manifest()
        self.start_load()
        time.sleep(1)
        self.withdraw_extra_key()
        drained = self.manifest["runners"][1]["name"]
        self.take_out_and_return(
            "on a draining runner",
            ("drain", {"name": drained}),
            ("return", {"name": drained}),
            [drained],
            1.0,
        )
        zone = self.manifest["zones"][1]
        in_zone = [
            runner["name"]
            for runner in self.manifest["runners"]
            if runner["zone"] == zone
        ]
        work = demo_report.total_runs(self.fetch_run_record())
        began = time.time()
        self.take_out_and_return(
            "in a zone out",
            ("zone-out", {"zone": zone}),
            ("zone-in", {"zone": zone}),
            in_zone,
            3.0,
        )
        self.results["runs while the zone was out"] = (
            demo_report.total_runs(self.fetch_run_record()) - work
        )
        self.results["seconds the zone was out"] = time.time() - began
        self.site.send_signal(KILLED_ENTRY, signal.SIGKILL)
        self.load.wait(timeout=60)
        time.sleep(1.0)
        self.check_processes()
        return demo_report.evaluate(self)

    def check_processes(self):
        """Check that only the killed entry host has ended."""
        for name, process in self.site.process_by_name.items():
            if name != KILLED_ENTRY and process.poll() is not None:
                self.violations.append(f"{name} ended unexpectedly")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--site", choices=("dieworks", "sunfold"))
    options = parser.parse_args()
    violations = 0
    for name in [options.site] if options.site else ["dieworks", "sunfold"]:
        with tempfile.TemporaryDirectory() as scratch:
            demo = DemoSite(name, scratch, options.seed)
            try:
                violations += demo.run()
            finally:
                demo.site.stop()
                if hasattr(demo, "load") and demo.load.poll() is None:
                    demo.load.kill()
    print(f"invariant violations: {violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
