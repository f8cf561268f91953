from behave import then
from behave import when

from azurevane._internal.policy import limits


def base_parts(key, limit):
    return [limits.base_part(key, limit, 6, seat) for seat in range(6)]


@when("limits from 0 to 200 are divided between 6 seats")
def divide_limits(context):
    context.base_parts = [base_parts("team:a", limit) for limit in range(201)]


@then("the parts of each limit add up to it")
def check_sum(context):
    for limit, found in enumerate(context.base_parts):
        assert sum(found) == limit, (limit, found)


@then("no part shrinks when the limit grows by one")
def check_growth(context):
    for lower, higher in zip(
        context.base_parts, context.base_parts[1:], strict=False
    ):
        pairs = zip(lower, higher, strict=True)
        assert all(low <= high for low, high in pairs), (lower, higher)


@then("each seat has the larger part of {low:d}% to {high:d}% of 600 keys")
def check_spread(context, low, high):
    found = [base_parts(f"team:{number}", 7) for number in range(600)]
    for seat in range(6):
        percent = sum(part[seat] == 2 for part in found) / 6
        assert low <= percent <= high, (seat, percent)


@when("a holder with epoch {epoch:d} is seen at 100 s and runs last 30 s")
def compute_usable_at(context, epoch):
    context.usable = limits.base_usable_at(100.0, epoch, 30.0)


@then("its base parts are usable from {usable:d} s")
def check_usable(context, usable):
    assert context.usable == usable


@when("{spare:d} spare permits are divided between {requesters}")
def grant_permits(context, spare, requesters):
    items = []
    for text in requesters.split():
        peer, tier, rank, waited, count = text.split("/")
        items.append(
            limits.PermitRequester(
                "" if peer == "here" else peer,
                "pool",
                "p",
                int(tier),
                float(rank),
                float(waited),
                int(count),
            )
        )
    context.grants = limits.grant_spare_permits(spare, items)


@then("the grants are {grants}")
def check_grants(context, grants):
    found = [f"{item.peer}/{count}" for item, count in context.grants]
    assert (" ".join(found) or "none") == grants, found


@when("a limit of 8 is ramped for 0, 2, 4 and 9 seconds")
def ramp_limit(context):
    context.ramped = [limits.ramped_limit(8, age) for age in (0, 2, 4, 9)]


@then("the ramped limits are 2, 5, 8 and 8")
def check_ramp(context):
    assert context.ramped == [2, 5, 8, 8], context.ramped
