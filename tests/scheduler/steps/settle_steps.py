"""Steps about submissions whose outcome is unknown for a while."""

from behave import then
from behave import when
from twisted.internet import defer

from azurevane._internal.callers import job_handler
from support import site_world

PHASES = [{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 500}]
BODY = b'{"phases": [{"count": 1, "cpu": 100, "memMb": 10}]}'


@when("it then rejects all calls for {seconds:g} s")
def step_reject_after_loss(context, seconds):
    platform = context.world.platform
    handle = platform.handle_request

    def handle_until_lost(entry_host, request):
        answer = handle(entry_host, request)
        lost = not platform.store_answers_to_lose
        if lost and platform.handle_request is handle_until_lost:
            platform.handle_request = handle
            platform.store_down = True
            context.world.clock.callLater(seconds, restore)
        return answer

    def restore():
        platform.store_down = False

    platform.handle_request = handle_until_lost


@then("a submission is answered with {status:d} within {seconds:g} s")
def step_answered_within(context, status, seconds):
    world = context.world
    began_at = world.clock.seconds()
    response = world.submit_job(context.queue, "0" * 15 + "a", PHASES)
    assert response.status == status, response
    took_s = world.clock.seconds() - began_at
    assert took_s <= seconds, took_s


@when("a submission is sent and {seconds:g} s pass")
def step_send(context, seconds):
    world = context.world
    request = job_handler.JobRequest(
        method="POST",
        host_name=site_world.HOST_NAME,
        path=f"/{context.queue}/{'0' * 15}b",
        authorization=f"Bearer {site_world.KEY}",
        body=BODY,
    )
    host = next(iter(world.host_by_name.values()))
    context.responses = []
    defer.ensureDeferred(host.job_handler.handle(request)).addCallback(
        context.responses.append
    )
    world.advance_time(seconds)


@then("the submission that was sent is answered with {status:d}")
def step_sent_answered(context, status):
    context.world.advance_time(2.0)
    (response,) = context.responses
    assert response.status == status, response
