"""Load that retries add while runners fail, in virtual time.

Runs the whole entry service with fake callers and runners. The baseline
retries immediately and without a budget.
"""

import json
import random

from returns import result
from twisted.internet import task
from twisted.web import http_headers

from azurevane._internal.callers import heads
from azurevane._internal.daemons import entry_service
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest
from azurevane._internal.policy import retry
from azurevane._internal.tasks import dispatcher
from azurevane._internal.tasks import permits
from azurevane._internal.tasks import retry_budget
from azurevane._internal.tasks import state_keeper
from azurevane._internal.upstreams import verdicts

RUNNERS = 8
REQUESTS_A_SECOND = 100
SECONDS = 60
# The runners work until then, so that the budget is full when they fail.
FAILING_FROM_S = 20
RUN_S = 0.05


class _FakeBody:
    repeatable = True

    def new_feed(self):
        return None


class _FakeCaller:
    """A caller of an idempotent request without a body."""

    answered = False
    streaming = False
    active_request = None
    max_body_bytes = None

    def __init__(self):
        headers = http_headers.Headers({"Host": ["h"]})
        self.head = heads.RequestHead("GET", "/q/quoting/price", headers, 0)
        self.body = _FakeBody()
        self.succeeded = False

    def start_answer(self, status, phrase, headers, length):
        self.streaming = True

    def end_answer(self):
        self.answered = True
        self.succeeded = True

    def refuse(self, refusal):
        self.answered = True


class _FakeResponse:
    status = 200
    phrase = b"OK"
    length = 0
    failure = None
    headers = http_headers.Headers()

    async def deliver_body(self, relay):
        return None


class _FakeRunners:
    """Responds after 50 ms; a failing runner resets the connection."""

    def __init__(self, clock, failing):
        self._clock = clock
        self._failing = failing
        self.attempts = 0

    async def send_request(self, outgoing, runner, seats, not_after):
        now = self._clock.seconds()
        self.attempts += now >= FAILING_FROM_S
        await task.deferLater(self._clock, RUN_S)
        if now >= FAILING_FROM_S and runner.name in self._failing:
            return result.Failure(
                verdicts.build_failure("reset-before-answer")
            )
        return result.Success(_FakeResponse())


def _build_state():
    runners = tuple(
        manifest.Runner(f"r-{index}", "p", "z", "127.0.0.1", 1 + index)
        for index in range(RUNNERS)
    )
    return fleet.FleetState(
        1,
        "t",
        manifest.Manifest(
            "s",
            "r",
            ("z",),
            (),
            (manifest.Pool("p"),),
            (manifest.Queue("quoting", "p"),),
            runners,
        ),
    )


def simulate(failing, seed):
    """Return attempts per request and the share of failed requests."""
    clock = task.Clock()
    state = _build_state()
    keeper = state_keeper.StateKeeper("entry-1", "i", (), 0.0)
    keeper.offer(0.0, state, 1, "store")
    local_permits = permits.LocalPermits()
    local_permits.configure(0.0, state)
    request_dispatcher = dispatcher.Dispatcher(local_permits)
    request_dispatcher.configure(0.0, state)
    runners = _FakeRunners(clock, failing)
    service = entry_service.EntryService(
        clock, keeper, request_dispatcher, runners, None, random.Random(seed)
    )
    keeper.store_confirmed(0.0, state.version, 1)
    callers = []
    for step in range(SECONDS * REQUESTS_A_SECOND):
        if step == FAILING_FROM_S * REQUESTS_A_SECOND:
            callers.clear()
        callers.append(_FakeCaller())
        service.handle_request(callers[-1])
        clock.advance(1 / REQUESTS_A_SECOND)
        keeper.store_confirmed(clock.seconds(), state.version, 1)
        service.tick()
    failed = sum(not caller.succeeded for caller in callers)
    return runners.attempts / len(callers), failed / len(callers)


def simulate_without_budget(failing, seed):
    """Return the same with immediate and unlimited retries."""
    retries_left, delay_s = (
        retry_budget.RetryBudget.retries_left,
        retry.BASE_DELAY_S,
    )
    record_retry = retry_budget.RetryBudget.record_retry
    try:
        retry_budget.RetryBudget.retries_left = lambda self, now: 1
        retry_budget.RetryBudget.record_retry = lambda self, now: None
        retry.BASE_DELAY_S = 0.0
        return simulate(failing, seed)
    finally:
        retry_budget.RetryBudget.retries_left = retries_left
        retry_budget.RetryBudget.record_retry = record_retry
        retry.BASE_DELAY_S = delay_s


def run(seed=1):
    rows = []
    for name, failing, bound in (
        ("one-runner", {"r-0"}, 1.15),
        ("whole-pool", {f"r-{index}" for index in range(RUNNERS)}, 1.1),
    ):
        amplification, failed = simulate(failing, seed)
        baseline, baseline_failed = simulate_without_budget(failing, seed)
        rows.append(
            {
                "name": f"retry.amplification.{name}",
                "value": round(amplification, 4),
                "unit": "attempts per request",
                "bound": bound,
                "better": "lower",
                "baseline": round(baseline, 4),
            }
        )
        rows.append(
            {
                "name": f"retry.failed.{name}",
                "value": round(failed, 4),
                "unit": "share of requests",
                "bound": None,
                "better": "lower",
                "baseline": round(baseline_failed, 4),
            }
        )
    return rows


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
