"""Steps about copies of slow tasks."""

import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import copies
from azurevane._internal.policy import run_progress

NOW = 1000.0
# Load model: time between two looks at the running tasks, and between two
# reports of a runner.
CHECK_S = 0.1
REPORT_S = 0.3
ARRIVAL_INTERVAL_S = 0.1
KEY = "queue fit"


def _progress(ran_s, percent, *, resumed_at=0, runner="a"):
    return run_progress.RunProgress(
        runner, NOW - ran_s, resumed_at, NOW, percent
    )


@given(
    "a run that has run {ran:g} s and has done {percent:d} percent of its work"
)
def step_run(context, ran, percent):
    context.run = _progress(ran, percent)
    context.known, context.expected_s = [], 1.0
    context.last_useful_at = NOW + 100.0


@given("a run that has run {ran:g} s and has reported no progress")
def step_silent_run(context, ran):
    step_run(context, ran, 0)
    context.run = run_progress.RunProgress("a", NOW - ran, 0, NOW - ran, 0)


@given(
    "a run that was at {first:d} percent {ago:g} s ago and is at {percent:d}"
    " percent now"
)
def step_resumed_run(context, first, ago, percent):
    step_run(context, ago, percent)
    context.run = _progress(ago, percent, resumed_at=first)


@given("other tasks of the step that ran {a:g}, {b:g} and {c:g} s")
def step_siblings(context, a, b, c):
    context.known = [("b", a), ("c", b), ("d", c)]


@given("other tasks on the same runner that take {a:g}, {b:g} and {c:g} s")
def step_neighbours(context, a, b, c):
    context.known = [("a", a), ("a", b), ("a", c)]


@given("tasks of the step that are expected to run {seconds:g} s")
def step_expected(context, seconds):
    context.expected_s = seconds


@given("a job that is of no use after {seconds:g} s")
def step_useless(context, seconds):
    context.last_useful_at = NOW + seconds


def _decide(context):
    typical = copies.typical_run("a", context.known, context.expected_s)
    return copies.decide_copy(
        context.run, typical, context.last_useful_at, NOW
    )


@then("it is copied, as its progress foretells a late end")
def step_copied_by_progress(context):
    decision = _decide(context)
    assert decision is not None
    assert decision.reason is copies.CopyReason.PROGRESS, decision


@then("it is copied, as it runs longer than others")
def step_copied_by_time(context):
    decision = _decide(context)
    assert decision is not None
    assert decision.reason is copies.CopyReason.RUNNING_TIME, decision


@then("it isn't copied")
def step_not_copied(context):
    assert _decide(context) is None, _decide(context)


class _ModelJob:
    """A job whose tasks all start at 0 s, each on a runner of its own."""

    def __init__(self, rng, tasks, *, own_work=False):
        base_s = rng.lognormvariate(-0.3, 0.5)
        self.whole_s = [
            base_s * rng.uniform(0.7, 1.3) * (7.0 if tail else 1.0)
            for tail in (rng.random() < 0.03 for _ in range(tasks))
        ]
        self.fresh_s = [
            base_s * rng.uniform(0.7, 1.3) * (7.0 if tail else 1.0)
            for tail in (rng.random() < 0.03 for _ in range(tasks))
        ]
        if own_work:
            self.fresh_s = self.whole_s
        self.has_tail = max(self.whole_s) > 4 * base_s
        self.expected_s = base_s * rng.uniform(0.8, 1.2)
        self.objective_s = 1.6 * base_s * 1.3 + 0.6

    def run(self, outcomes, arrived_at):
        """Return end, core-seconds and number of copies with copies."""
        ends = list(self.whole_s)
        copied_at = {}
        now = 0.0
        while now < max(ends):
            now += CHECK_S
            for index in range(len(ends)):
                if index in copied_at or ends[index] <= now:
                    continue
                if not outcomes.may_start(KEY, arrived_at + now):
                    break
                if self._decide(index, now) is not None:
                    outcomes.record_start(KEY, arrived_at + now)
                    copied_at[index] = now
                    begun_at = now + copies.START_DELAY_S
                    copy_end = begun_at + self.fresh_s[index]
                    ends[index] = min(ends[index], copy_end)
        for index, at in copied_at.items():
            won = ends[index] < self.whole_s[index]
            if won or ends[index] - at > self.expected_s:
                outcomes.record(KEY, won=won)
        used_s = sum(ends) + sum(
            max(ends[index] - at, 0.0) for index, at in copied_at.items()
        )
        return max(ends), used_s, len(copied_at)

    def _progress(self, index, now):
        reported_at = now - now % REPORT_S
        percent = int(100 * reported_at / self.whole_s[index])
        return run_progress.RunProgress(
            f"runner {index}", 0.0, 0, reported_at, percent
        )

    def _decide(self, index, now):
        known = []
        for other, whole_s in enumerate(self.whole_s):
            run_s = whole_s
            if whole_s > now:
                run_s = self._progress(other, now).foretold_run_s()
            if run_s is not None:
                known.append((f"runner {other}", run_s))
        typical = copies.typical_run(f"runner {index}", known, self.expected_s)
        return copies.decide_copy(
            self._progress(index, now), typical, 3 * self.objective_s, now
        )

    def best_end(self):
        """Return the end if it were known at 0 s which tasks are slow."""
        return max(
            min(pair) for pair in zip(self.whole_s, self.fresh_s, strict=True)
        )


@given(
    "{count:d} jobs of {tasks:d} tasks of which 3 in 100 run 7 times as long"
)
def step_load(context, count, tasks):
    _run_load(context, count, tasks)


@given(
    "{count:d} jobs of {tasks:d} tasks of which 3 in 100 have 7 times the work"
)
def step_own_work(context, count, tasks):
    _run_load(context, count, tasks, own_work=True)


def _run_load(context, count, tasks, *, own_work=False):
    rng = random.Random(11)
    jobs = [_ModelJob(rng, tasks, own_work=own_work) for _ in range(count)]
    outcomes = copies.CopyOutcomes()
    context.results = [
        (job, *job.run(outcomes, NOW + number * ARRIVAL_INTERVAL_S))
        for number, job in enumerate(jobs)
    ]


@then("without copies under {share:g} of them meet their objective")
def step_without(context, share):
    in_time = sum(
        max(job.whole_s) <= job.objective_s for job, *_ in context.results
    )
    assert in_time < share * len(context.results), in_time


@then(
    "with copies at least {share:g} of those that do when all tails are known"
    " before"
)
def step_bound(context, share):
    in_time = sum(end <= job.objective_s for job, end, *_ in context.results)
    bound = sum(
        job.best_end() <= job.objective_s for job, *_ in context.results
    )
    assert in_time >= share * bound, (in_time, bound)


@then("copies use fewer core-seconds than the tails that they replace")
def step_cost(context):
    without_s = sum(sum(job.whole_s) for job, *_ in context.results)
    used_s = sum(used_s for _, _, used_s, _ in context.results)
    assert used_s < without_s, (used_s, without_s)


@then("under {share:g} of the jobs without a task in the tail are copied")
def step_needless(context, share):
    counts = [
        count for job, _, _, count in context.results if not job.has_tail
    ]
    copied = sum(count > 0 for count in counts)
    assert copied < share * len(counts), (copied, len(counts))


@when("{count:d} copies have run a whole run in vain")
def step_lost(context, count):
    context.outcomes = copies.CopyOutcomes()
    for _ in range(count):
        assert context.outcomes.may_start(KEY, NOW)
        context.outcomes.record_start(KEY, NOW)
        context.outcomes.record(KEY, won=False)


@when("1 copy in 3 of {count:d} copies ended first")
def step_some_won(context, count):
    context.outcomes = copies.CopyOutcomes()
    for number in range(count):
        context.outcomes.record_start(KEY, NOW)
        context.outcomes.record(KEY, won=number % 3 == 0)


@then("a further copy may start")
def step_may_start(context):
    assert context.outcomes.may_start(KEY, NOW)


@then("no further copy may start")
def step_may_not_start(context):
    assert not context.outcomes.may_start(KEY, NOW)


@then("after {seconds:g} s one may")
def step_trial(context, seconds):
    assert context.outcomes.may_start(KEY, NOW + seconds)
    context.outcomes.record_start(KEY, NOW + seconds)
    assert not context.outcomes.may_start(KEY, NOW + seconds)


@then("under {share:g} of the jobs get a copy")
def step_few_copies(context, share):
    copied = sum(count > 0 for _, _, _, count in context.results)
    assert 0 < copied < share * len(context.results), copied


@then("copies use at most {share:g} more core-seconds")
def step_small_cost(context, share):
    without_s = sum(sum(job.whole_s) for job, *_ in context.results)
    used_s = sum(used_s for _, _, used_s, _ in context.results)
    assert used_s <= (1 + share) * without_s, (used_s, without_s)
