"""Entry hosts of a site on a stand-in for the platform, in virtual time."""

import bisect
import json

from twisted.internet import base
from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane._internal.callers import job_handler
from azurevane._internal.daemons import site_host
from azurevane._internal.models import host_settings
from azurevane._internal.peers import leader_query
from azurevane._internal.standins import site_platform
from azurevane._internal.standins import site_runner
from support import charged_process

STEP_S = 0.005
KEY = "key-of-north"
HOST_NAME = "jobs.example"
BOUNDS = host_settings.Bounds(
    stop_grace_s=6.0,
    runner_lease_max_s=10.0,
    runner_stop_s=0.9,
    gang_wait_s=3.0,
    host_lease_s=3.0,
    notice_s=4.5,
    move_s=1.5,
    maintenance_s=2.0,
    job_kept_s=120.0,
    early_start_s=0.25,
    remote_slowdown=1.5,
    restore_s=0.6,
    harm_s=4.0,
    hosts_fenced=False,
)


class WorldClock(twisted_task.Clock):
    """Virtual time without a network; requests are passed on as calls."""

    def listenTCP(self, port, factory, **options):  # noqa: N802
        """Ignore the request to listen."""

    def _sortCalls(self):  # noqa: N802
        # No call is rescheduled, so only the newest one can be out of order.
        # Sorting all of them took half of the time of a scenario.
        calls = self.calls
        if len(calls) > 1 and calls[-1].getTime() < calls[-2].getTime():
            newest = calls.pop()
            bisect.insort(calls, newest, key=base.DelayedCall.getTime)


class SiteWorld:
    """Hosts, platform and callers of one site.

    Attributes:
        host_by_name: entry hosts that run.
    """

    def __init__(self, host_count=3):
        self.clock = WorldClock()
        self.clock.advance(1000.0)
        self.platform = site_platform.SitePlatform(self.clock)
        self.host_by_name = {}
        self.client_by_name = {}
        self.config = {
            "version": 3,
            "routes": [],
            "services": [],
            "tenants": [
                {
                    "name": "north",
                    "apiKeys": [KEY],
                    "weight": 10,
                    "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
                }
            ],
            "limits": {"maxBodyBytes": 262144},
        }
        self.host_count = host_count
        self.step_s = STEP_S

    # Setup of the site.

    def add_service(self, name, *, standby=False, constraints=True):
        self.config["services"].append(
            {"name": name, "standby": standby, "constraints": constraints}
        )
        if standby:
            self.platform.standby_pools.add(name)

    def add_queue(self, name, service, **fields):
        self.config["routes"].append(
            {
                "name": name,
                "host": HOST_NAME,
                "pathPrefix": f"/{name}/",
                "service": service,
                "attempts": 2,
                "deadlineFactor": 1.6,
                "targetLatencyMs": 600,
                "priority": 0,
                "public": False,
                **fields,
            }
        )

    def add_machines(self, count, pool, *, zones=("east", "west")):
        first = len(self.platform.host_by_name)
        for number in range(first, first + count):
            self.platform.add_host(
                f"m-{number:03d}",
                pool,
                zones[number % len(zones)],
                f"r{number % len(zones)}-{number // 4}",
            )

    def put_config(self):
        value = json.dumps(self.config).encode()
        self.platform.store.put("op", "config", value)

    def start(self, **limits):
        self.put_config()
        for number in range(self.host_count):
            self.start_host(f"entry-{number}", **limits)
        self.advance_time(1.0)

    def start_host(self, name, *, callback_cost_s=0.0, **limits):
        address = self._address(name)
        settings = host_settings.HostSettings(
            host_name=name,
            zone="east",
            callers_listen=None,
            readiness_listen=None,
            store_address=site_platform.STORE_ADDRESS,
            hosts_api_address=site_platform.HOSTS_ADDRESS,
            host_orders_per_s=64.0,
            host_lists_per_s=64.0,
            advisor_address=(
                site_platform.ADVISOR_ADDRESS
                if self.platform.advisor is not None
                else None
            ),
            store_row_bytes=self.platform.store.max_row_bytes,
            bounds=BOUNDS,
            hosts_listen=address,
            **limits,
        )
        client, reactor = self._make_process(name, callback_cost_s)
        host = site_host.SiteHost(
            reactor,
            settings,
            client=client,
            unix_time=lambda: self.clock.seconds() + 1e9,
        )
        self.host_by_name[name] = host
        self.client_by_name[name] = client

        def answer_query(question):
            if client.silent:
                return None
            return leader_query.answer_query(
                question, host.candidate.holds_leadership
            )

        self.platform.entry_host_by_address[str(address)] = answer_query
        host.start()
        return host

    def _make_process(self, name, callback_cost_s):
        """Return an entry host's client of the platform and its reactor."""
        client = self.platform.client(name)
        if not callback_cost_s:
            return client, self.clock
        # Otherwise each callback would take a whole step.
        self.step_s = min(self.step_s, callback_cost_s)
        reactor = charged_process.ChargedReactor(self.clock, callback_cost_s)
        return charged_process.ChargedClient(client, reactor), reactor

    def _address(self, name):
        number = int(name.rpartition("-")[2])
        return host_settings.Address(f"10.1.0.{number}", 7000)

    # Virtual time and faults.

    def advance_time(self, seconds):
        """Advance virtual time and check leaders and senders of commands."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(self.step_s)
            self._check_one_leader()
        self.check_senders()

    def check_senders(self):
        last_by_host = {}
        for at, _, host, sender, token in self.platform.host_commands:
            previous_at, previous, previous_token = last_by_host.get(
                host, (at, sender, token)
            )
            if previous != sender:
                assert at - previous_at > BOUNDS.host_lease_s, (at, host)
            assert token >= previous_token, (at, host, token, previous_token)
            last_by_host[host] = at, sender, token

    def _check_one_leader(self):
        leaders = [
            name
            for name, host in self.host_by_name.items()
            if host.leader is not None and host.leader.may_send_commands()
        ]
        assert len(leaders) <= 1, leaders

    def isolate_host(self, name):
        """Drop all traffic of an entry host, whose process keeps running."""
        self.client_by_name[name].silent = True

    def leave_queries_unanswered(self, name):
        """Let other entry hosts get no answer from an entry host."""
        address = str(self._address(name))
        self.platform.entry_host_by_address[address] = lambda question: None

    def kill_host(self, name):
        """End an entry host's process, as SIGKILL does."""
        address = str(self._address(name))
        self.platform.entry_host_by_address[address] = None
        self.client_by_name[name].silent = True
        host = self.host_by_name.pop(name)
        host.abort()
        return host

    @property
    def leader_name(self):
        """Name of the host with the newest term.

        A host that was replaced may not know it yet. That no two of them may
        send commands is checked in each step.
        """
        token_by_name = {
            name: host.leader.token
            for name, host in self.host_by_name.items()
            if host.leader is not None
        }
        self._check_one_leader()
        return max(token_by_name, key=token_by_name.get, default=None)

    # Requests of callers.

    def send_request(self, method, path, body=None, *, host=None, key=KEY):
        """Send a caller's request and advance time until its response."""
        name = host or next(iter(self.host_by_name))
        request = job_handler.JobRequest(
            method=method,
            host_name=HOST_NAME,
            path=path,
            authorization=f"Bearer {key}" if key else None,
            body=json.dumps(body).encode() if body is not None else b"",
        )
        responses = []
        handling = defer.ensureDeferred(
            self.host_by_name[name].job_handler.handle(request)
        )
        handling.addCallback(responses.append)
        for _ in range(2000):
            if responses:
                return responses[0]
            self.advance_time(self.step_s)
        raise AssertionError(f"no response to {method} {path}")

    def submit_job(self, queue, job_id, phases, *, host=None, **fields):
        body = {"spec": "x", "phases": phases, **fields}
        return self.send_request("POST", f"/{queue}/{job_id}", body, host=host)

    def job_state(self, queue, job_id, host=None):
        response = self.send_request("GET", f"/{queue}/{job_id}", host=host)
        if response.status != 200:
            return response.status
        return json.loads(response.body)["state"]

    def set_task_plan(self, run_s, how="done", need=None):
        """Set how long tasks that start from now on run, and how they end."""
        self.platform.plan_task = lambda task, attempt: site_runner.TaskPlan(
            run_s, how, need or {}
        )

    # Starts and ends of tasks on the runners.

    def task_starts(self, job_id=""):
        return [
            entry
            for entry in self.platform.record
            if entry[1] == "start" and entry[3].startswith(job_id)
        ]

    def tasks_run_twice(self):
        """Return tasks that ran twice at once or started again when done."""
        running, done, twice = {}, set(), []
        for _, event, runner, task, _attempt in self.platform.record:
            if event == "start":
                if task in running or task in done:
                    twice.append(task)
                running[task] = runner
            elif not event.startswith("seen"):
                running.pop(task, None)
                if event == "done":
                    done.add(task)
        return twice
