import json
import logging

from behave import given
from behave import then
from behave import when
import claim_site

from azurevane._internal.models import claim_messages
from azurevane._internal.tasks import claim_client

ENDING_BY_TEXT = {
    "and ends as may-have-run": "may-have-run",
    "and ends as not-run": "not-run",
}


@given("a site of {hosts:d} entry hosts, of which {seats:d} hold the seats")
def start_site(context, hosts, seats):
    # Each failed call to the table would be logged.
    log = logging.getLogger("azurevane._internal.daemons")
    context.add_cleanup(log.setLevel, log.level)
    log.setLevel(logging.CRITICAL)
    context.site = claim_site.ClaimSite(hosts, seats)
    context.site.run(0.5)


@when('request "{key}" arrives at "{name}"')
def send_request(context, key, name):
    context.request = context.site.request(name, key)


@when('{count:d} other requests arrive at "{name}"')
def send_other_requests(context, count, name):
    for index in range(count):
        context.site.request(name, f"order-2-{index}")


@when("the seats lose their holders")
def lose_holders(context):
    context.site.seats.clear()
    context.site.publish_state()


@when('request "{key}" arrives at "{name}" and ends as may-have-run')
def send_ending_may_have_run(context, key, name):
    context.request = context.site.request(
        name, key, run_verdict="may-have-run"
    )


@when('request "{key}" arrives at "{name}" and ends as not-run')
def send_ending_not_run(context, key, name):
    context.request = context.site.request(name, key, run_verdict="not-run")


@when('request "{key}" arrives at "{name}" and runs for {seconds:d} s')
def send_long_request(context, key, name, seconds):
    context.request = context.site.request(name, key, run_s=seconds)


@when('request "{key}" arrives at "{name}" with another digest')
def send_with_other_digest(context, key, name):
    context.request = context.site.request(name, key, digest="e")


@when('request "{key}" arrives at "{name}" and "{other}" at the same time')
def send_concurrently(context, key, name, other):
    context.concurrent_requests = [
        context.site.request(item, key, run_s=2.0) for item in (name, other)
    ]
    context.site.run(1)


@when("the site runs for {seconds:d} s")
def run_site(context, seconds):
    context.site.run(seconds)


@when('the cached answers of "{name}" are dropped')
def drop_cached_answers(context, name):
    cache = context.site.host_by_name[name].claims._client._answer_cache
    for key in list(cache._outcome_by_key):
        cache._drop_answer(key)


@when('the process of "{name}" restarts')
def restart_process(context, name):
    context.site.start_host(name)


@when('both seats move to "{name}"')
def move_seats(context, name):
    for number in (0, 1):
        context.site.give_seat(number, name)


@when('the seat holders are cut off from "{name}"')
def cut_off_holders(context, name):
    for holder in ("entry-0", "entry-1"):
        context.site.cut_links |= {(holder, name), (name, holder)}


@when('the fault of the store is "{fault}"')
@when("the store has no fault")
def set_fault(context, fault=""):
    context.site.fault = fault


@when("the holders of both seats are paused")
def pause_holders(context):
    for name in ("entry-0", "entry-1"):
        context.site.host_by_name[name].paused = True


@when('the stale previous holders resume and get a claim of "{key}"')
def resume_with_stale_state(context, key):
    # The change of the seats hasn't reached them yet.
    site = context.site
    context.acks = []
    context.table_versions = len(site.table.row_by_name)
    context.rejected_writes = record_rejected_writes(site.table)
    for name in ("entry-0", "entry-1"):
        host = site.host_by_name[name]
        host._waiting.clear()
        host.paused = False
        host._send = None
        host.claims._send = lambda peer, message: context.acks.append(message)
        message = claim_messages.Claim(7, "mills", key, "d", 30_000)
        host.claims.handle_message("entry-9", "start-9", message)


def record_rejected_writes(table):
    rejected_writes = []
    original_transact = table.transact

    def transact(checks, puts):
        applied, versions = original_transact(checks, puts)
        if not applied:
            rejected_writes.append(checks)
        return applied, versions

    table.transact = transact
    return rejected_writes


@then("the store has rejected a write")
def check_write_rejected(context):
    assert context.rejected_writes


@then('the outcome of that claim is not "first"')
def check_not_first(context):
    outcomes = [message.outcome for message in context.acks]
    assert outcomes and "first" not in outcomes, outcomes


@then('one of the two claims is "{first}" and the other is "{second}"')
def check_concurrent_outcomes(context, first, second):
    outcomes = sorted(
        request.outcome.value for request in context.concurrent_requests
    )
    assert outcomes == sorted([first, second]), outcomes


@then('its claim is "{outcome}" with the answer of the first attempt')
def check_answer(context, outcome):
    assert context.request.outcome.value == outcome
    assert context.request.answer.body == context.request.key.encode()


@then('its claim is "{outcome}" without an answer')
def check_outcome(context, outcome):
    assert context.request.outcome is not None
    assert context.request.outcome.value == outcome, context.request.outcome
    assert context.request.answer is None


@then('request "{key}" has run {count:d} time')
@then('request "{key}" has run {count:d} times')
def check_runs(context, key, count):
    assert context.site.runs_by_key[key] == count
    assert context.site.false_refusals() == 0


@then('the claim numbers of two processes of "{name}" differ')
def check_claim_numbers(context, name):
    seqs = set()
    for incarnation in ("start-1", "start-2"):
        client = claim_client.ClaimClient(incarnation)
        client.configure(1, {0: "entry-1"})
        seqs |= {
            client.begin_claim(0.0, "t", "r", "d", 1.0)[0] for _ in range(99)
        }
    assert len(seqs) == 198


@then(
    "{count:d} random runs from seed {seed:d} give no duplicate and no"
    " false refusal"
)
def check_random_runs(context, count, seed):
    context.sites = [
        claim_site.run_random(item) for item in range(seed, seed + count)
    ]
    for site in context.sites:
        assert site.duplicates() == 0
        assert site.false_refusals() == 0


@then("each request at a live host has an outcome")
def check_all_have_outcome(context):
    for site in context.sites:
        for request in site.requests:
            assert request.host.dead or request.outcome is not None


@then('the journals contain no claim of "{key}"')
def check_journal(context, key):
    rows = json.dumps(context.site.table.row_by_name)
    assert '"order-2-0"' in rows
    assert f'"{key}"' not in rows
