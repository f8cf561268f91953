import copy
import dataclasses
import itertools
import json

from behave import given
from behave import then
from behave import when
import msgspec

from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.policy import freshness
from azurevane._internal.policy import restrictions
from support import virtual_fleet


def split_words(text):
    return () if text == "-" else tuple(text.split())


@given("a site with {seats:d} seats")
def set_seats(context, seats):
    context.seats = seats


@when('the store confirmed "{store}" and the seats "{confirmed}"')
def make_confirmations(context, store, confirmed):
    context.until = freshness.fresh_until(
        freshness.Confirmations(
            None if store == "-" else float(store),
            tuple(map(float, split_words(confirmed))),
        ),
        context.seats,
    )


@then('the host is fresh until "{until}"')
def check_until(context, until):
    wanted = float("-inf") if until == "never" else float(until)
    assert context.until == wanted, context.until


@when('a peer answers version {version:d} with prepared "{prepared}"')
def answer_from_peer(context, version, prepared):
    context.confirms_version = freshness.confirms_version(
        version, split_words(prepared), 7, ("a", "b")
    )


@then('a host at version 7 that knows "a b" takes it as {result}')
def check_confirms(context, result):
    assert context.confirms_version is (result == "confirmation")


@then("with {taken:d} of {seats:d} seats taken a change needs {needed:d}")
def check_needed(context, taken, seats, needed):
    assert freshness.acknowledgements_needed(seats, taken) == needed


@then(
    "majorities of up to {max_seats:d} seats overlap when one seat changes its"
    " holder"
)
def check_overlap(context, max_seats):
    for seats in range(2, max_seats + 1):
        needed = freshness.majority_size(seats)
        # Seat 0 passes from holder 0 to a new holder. It confirms nothing
        # once this change is prepared.
        before = range(1, seats)
        after = range(1, seats + 1)
        for one in itertools.combinations(before, needed):
            for two in itertools.combinations(after, needed):
                assert {*one} & {*two}, (one, two)


def small_state():
    plain = virtual_fleet.site_manifest()
    plain["queues"][0]["teams"] = ["mills", "forge"]
    return plain, fleet.FleetState(
        7,
        "token",
        msgspec.convert(plain, type=manifest_models.Manifest),
        (fleet.ApiKey("d1", "mills"), fleet.ApiKey("d2", "forge")),
        seats=(fleet.Seat(0, "entry-1", "start-1", 1),),
    )


def lower_slots(plain):
    plain["runners"][0]["slots"] = 2


def set_limit(limit):
    return lambda plain: plain["teams"][0].update(limit=limit)


def remove_team(plain):
    del plain["teams"][0]
    plain["queues"][0]["teams"] = ["forge"]


MANIFEST_CHANGES = {
    "nothing new": lambda plain: None,
    "a lower limit": set_limit(5),
    "a higher limit": set_limit(50),
    "fewer slots": lower_slots,
    "a removed runner": lambda plain: plain["runners"].pop(0),
    "a moved runner": lambda plain: plain["runners"][0].update(port=1),
    "a narrowed queue": lambda plain: plain["queues"][0].update(
        teams=["forge"]
    ),
    "a removed queue": lambda plain: plain["queues"].clear(),
    "a removed team": remove_team,
}
OTHER_CHANGES = {
    "a key of another team": {
        "api_keys": (fleet.ApiKey("d1", "forge"), fleet.ApiKey("d2", "forge"))
    },
    "a seat of another host": {
        "seats": (fleet.Seat(0, "entry-2", "start-2", 2),)
    },
}


@when("a change makes {change} of a small state")
def make_change(context, change):
    plain, context.old = small_state()
    plain = copy.deepcopy(plain)
    MANIFEST_CHANGES.get(change, lambda _: None)(plain)
    context.new = dataclasses.replace(
        context.old,
        manifest=msgspec.convert(plain, type=manifest_models.Manifest),
        **OTHER_CHANGES.get(change, {}),
    )
    context.added_restrictions = restrictions.restrictions_between(
        context.old, context.new
    )


@then("its restrictions are {text}")
def check_restrictions(context, text):
    found = {
        name: value
        for name, value in msgspec.to_builtins(
            context.added_restrictions
        ).items()
        if value
    }
    wanted = json.loads(text)
    assert json.loads(json.dumps(found)) == wanted, found


@then("the restricted old state allows nothing that the new one forbids")
def check_restricted(context):
    restricted = restrictions.apply_restrictions(
        context.old, [context.added_restrictions]
    )
    for digest, team in restricted.team_by_digest.items():
        assert context.new.team_by_digest.get(digest) == team
    for name, queue in restricted.manifest.queue_by_name.items():
        kept = context.new.manifest.queue_by_name[name]
        assert {*queue.teams} <= {*kept.teams}
    for name, team in restricted.manifest.team_by_name.items():
        after = context.new.manifest.team_by_name.get(name)
        assert after is None or team.limit <= after.limit
