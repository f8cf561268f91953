"""Steps that play bursts of starts on a model of a leader's link."""

import collections
import dataclasses

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import start_window

STEP_S = 0.005
TICK_S = 0.1
TIMEOUT_S = 1.0
LATENCY_S = 0.004
MOST_S = 120.0


class NoLimit:
    """Sends all starts at once."""

    def update(self, took_s, now):
        pass

    def available(self, in_progress):
        return 1 << 30


@dataclasses.dataclass
class Start:
    sent_at: float
    answered: bool = False


class Burst:
    """Tasks that start over one link.

    Attributes:
        sent: number of starts sent.
        wasted: number of starts that failed although the link carried them.
        ended_at: when the last task had started.
        carried: number of starts that the link carried by then.
    """

    def __init__(self, limit, task_count, rate_at):
        self.sent = self.wasted = self.carried = 0
        self.ended_at = 0.0
        self._on_link = collections.deque()
        self._unanswered = collections.deque()
        self._waiting, self._started = task_count, 0
        self._in_progress, self._took = 0, []
        next_tick, credit = TICK_S, 0.0
        while self._started < task_count and self.ended_at < MOST_S:
            self.ended_at += STEP_S
            credit += rate_at(self.ended_at) * STEP_S
            while self._on_link and credit >= 1:
                credit -= 1
                self._carry(self._on_link.popleft())
            if not self._on_link:
                credit = min(credit, 1.0)
            self._fail_late_starts()
            if self.ended_at >= next_tick:
                limit.update(self._took, self.ended_at)
                self._took, next_tick = [], next_tick + TICK_S
            self._send(min(limit.available(self._in_progress), self._waiting))

    def _carry(self, start):
        self.carried += 1
        took_s = self.ended_at - start.sent_at + LATENCY_S
        if took_s > TIMEOUT_S:
            self.wasted += 1
            return
        start.answered = True
        self._started += 1
        self._in_progress -= 1
        self._took.append(took_s)

    def _fail_late_starts(self):
        sent_before = self.ended_at - TIMEOUT_S
        while self._unanswered and self._unanswered[0].sent_at < sent_before:
            if not self._unanswered.popleft().answered:
                self._waiting += 1
                self._in_progress -= 1
                self._took.append(TIMEOUT_S)

    def _send(self, count):
        starts = [Start(self.ended_at) for _ in range(count)]
        self._on_link.extend(starts)
        self._unanswered.extend(starts)
        self.sent += count
        self._waiting -= count
        self._in_progress += count


@given("a link that carries {rate:g} starts a second")
def step_link(context, rate):
    context.rate_at = lambda now: rate


@given("it carries {rate:g} a second from {since:g} s on")
def step_link_narrows(context, rate, since):
    before = context.rate_at
    context.rate_at = lambda now: before(now) if now < since else rate


@when("{count:d} tasks are to start at once")
def step_burst(context, count):
    window = start_window.StartWindow()
    context.limited = Burst(window, count, context.rate_at)
    context.unlimited = Burst(NoLimit(), count, context.rate_at)


def _wasted_percent(burst):
    return 100 * burst.wasted / burst.carried


@then("the limit wastes at most {percent:g}% of the starts that are carried")
def step_wasted(context, percent):
    assert _wasted_percent(context.limited) <= percent, (
        context.limited.wasted,
        context.limited.sent,
    )


@then("sending all at once wastes at least {percent:g}%")
def step_unlimited_wasted(context, percent):
    burst = context.unlimited
    assert _wasted_percent(burst) >= percent, (burst.wasted, burst.sent)


@then("it uses at least {percent:g}% of the link")
def step_used(context, percent):
    burst = context.limited
    possible = context.rate_at(0.0) * burst.ended_at
    assert 100 * burst.carried / possible >= percent, (
        burst.carried,
        possible,
    )


@then(
    "the last task starts at most {seconds:g} s later than by sending all at"
    " once"
)
def step_later(context, seconds):
    later_s = context.limited.ended_at - context.unlimited.ended_at
    assert later_s <= seconds, later_s


@given("a limit of its first size")
def step_window(context):
    context.window = start_window.StartWindow()


@when(
    "in each of {ticks:d} ticks {prompt:d} starts take {prompt_s:g} s and"
    " {slow:d} take {slow_s:g} s"
)
def step_ticks(context, ticks, prompt, prompt_s, slow, slow_s):
    for number in range(ticks):
        took = [prompt_s] * prompt + [slow_s] * slow
        context.window.update(took, number * TICK_S)


@then("the limit is the largest")
def step_largest(context):
    assert context.window.limit == start_window.MAX_STARTS, (
        context.window.limit
    )


@then("none begin while {in_progress:d} are in progress")
def step_none(context, in_progress):
    assert context.window.available(in_progress) == 0


@then("{count:d} begin while {in_progress:d} are in progress")
def step_begin(context, count, in_progress):
    assert context.window.available(in_progress) == count
