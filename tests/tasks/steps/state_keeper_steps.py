import copy
import dataclasses

from behave import given
from behave import step
from behave import then
from behave import when
from twisted.internet import defer

from azurevane._internal.models import fleet as fleet_models
from azurevane._internal.models import state_messages
from support import fleet_faults
from support import virtual_fleet

MILLS = virtual_fleet.digest_of("mills-key")


def admitting(context, name):
    fleet = context.fleet
    digest = virtual_fleet.digest_of(name)
    return {
        host.hello.host
        for host in fleet.live_hosts()
        if not host.paused and fleet.admits(host, "key", digest)
    }


@given("six entry hosts with seats under seed {seed:d}")
def start_fleet(context, seed):
    context.fleet = virtual_fleet.VirtualFleet(seed)
    context.fleet.run(1)
    context.fleet.set_up_site()


def cut_off(context, names):
    fleet = context.fleet
    fleet.cut_links |= {
        (other, name) for other in fleet.names for name in names
    }


FAULTS = {}


def fault(text):
    def register(call):
        FAULTS[text] = call
        return call

    return register


@fault("the store goes down")
def stop_store(context):
    context.fleet.store.down = True


@fault('"entry-5" is paused')
def pause_host(context):
    context.fleet.pause("entry-5")


@fault('"entry-5" receives no messages')
def receive_no_messages(context):
    cut_off(context, ["entry-5"])


@fault('"entry-5" reaches no other host')
def reach_no_host(context):
    fleet = context.fleet
    fleet.cut_links |= {("entry-5", other) for other in fleet.names}


@fault('the store and "entry-5" fail')
def stop_store_and_host(context):
    stop_store(context)
    pause_host(context)


@fault('the maker "entry-2" and the store fail')
def stop_store_and_maker(context):
    stop_store(context)
    context.fleet.kill("entry-2")


@fault('every message to "entry-5,entry-6" is lost')
def stop_store_and_cut(context):
    stop_store(context)
    cut_off(context, ["entry-5", "entry-6"])


@fault("all other hosts restart with the store down")
def stop_store_and_restart(context):
    stop_store(context)
    for name in context.fleet.names[:5]:
        restart_host(context, name)


@given("{text} as soon as the table accepts a change")
def start_fault_on_change(context, text):
    context.fleet.on_write_accepted = lambda: FAULTS[text](context)


@given('"{name}" gets no messages about changes, and {text} later')
def drop_change_messages(context, name, text):
    context.fleet.hosts_without_updates.add(name)
    start_fault_on_change(context, f"{text}")


@given('"{name}" is paused right after it probed its peers')
def pause_after_probe(context, name):
    host = context.fleet.host_by_name[name]
    host.pause_after_probe = True
    context.fleet.run(1, lambda: host.paused)


@given('every message to "{names}" is lost')
def lose_messages(context, names):
    cut_off(context, names.split(","))
    context.fleet.run(2.5)


@given("the store goes down")
def store_down(context):
    context.fleet.store.down = True
    context.fleet.run(3)


@when("the store is up again")
def store_up(context):
    context.fleet.store.down = False


@given("the store answers reads {seconds:f} seconds late")
def delay_answers(context, seconds):
    context.fleet.store.response_delay_s = seconds


@given("{seconds:f} seconds pass")
def pass_time(context, seconds):
    context.fleet.run(seconds)


@given("the store loses every answer to a write")
def lose_answers(context):
    context.fleet.store.lose_write_answers = True


@given("{count:d} hosts are killed")
def kill_hosts(context, count):
    for name in context.fleet.names[-count:]:
        context.fleet.kill(name)


@step('"{name}" withdraws the key "{key}"')
def withdraw(context, name, key):
    context.version = context.fleet.stored.version
    context.previous_state = context.fleet.stored
    digest = virtual_fleet.digest_of(key)
    fleet = context.fleet
    maker = fleet.host_by_name[name]
    answer = fleet.begin_change(name, "key-withdraw", {"digest": digest})
    fleet.run(8, lambda: answer or not maker.alive)
    context.answer = answer[0] if answer else None


@when('"{name}" takes out the zone "{zone}" if it can')
def take_zone_out(context, name, zone):
    context.fleet.begin_change(name, "zone-out", {"zone": zone})


@when(
    '"{name}" withdraws the key "{key}" while the store answers after'
    " {seconds:f} seconds"
)
def withdraw_slowly(context, name, key, seconds):
    context.fleet.store.request_delay_s = seconds / 3
    context.fleet.run(1)
    digest = virtual_fleet.digest_of(key)
    context.fleet.begin_change(name, "key-withdraw", {"digest": digest})
    context.fleet.run(seconds / 3)


@when('"{name}" is given the previous state by a peer and by the store')
def give_previous_state(context, name):
    fleet = context.fleet
    host = fleet.host_by_name[name]
    packed = fleet_models.compress_json(
        fleet_models.encode_state(context.previous_state)
    )
    for message in (
        state_messages.Commit(packed, 1),
        state_messages.StateReply(packed, 1),
    ):
        host.follower.handle_message(
            fleet.host_by_name["entry-1"].hello, message
        )
    now = fleet.clock.seconds()
    host.follower.apply_effects(
        host.keeper.offer(now, context.previous_state, 1, "store")
    )
    fleet.check()


@then("the answer has status {status:d} and says {has:d} of {known:d} hosts")
def check_answer(context, status, has, known):
    code, body = context.answer
    assert code == status, context.answer
    assert (body["in_force"], body["hosts"]) == (has, known), body


@then("the answer has status {status:d} and the version is unchanged")
def check_refused(context, status):
    assert context.answer[0] == status, context.answer
    assert context.fleet.stored.version == context.version


@then('no host admits the key "{key}" after {seconds:f} seconds')
def check_refuses(context, key, seconds):
    fleet = context.fleet
    until = fleet.withdrawn_at["key", virtual_fleet.digest_of(key)] + seconds
    fleet.run(max(until - fleet.clock.seconds(), 0.0))
    assert not admitting(context, key)


@then('no host but "{name}" admits the key "{key}" after {seconds:f} seconds')
def check_others_refuse(context, name, key, seconds):
    context.fleet.run(seconds)
    assert not context.fleet.withdrawn_at, "written too early for this test"
    assert admitting(context, key) <= {name}


@given('"{name}" receives no messages of "{other}"')
def cut_one(context, name, other):
    context.fleet.cut_links.add((other, name))


@then('no host admits the key "{key}" before the change is written')
def check_before_write(context, key):
    context.fleet.run(0.7)
    assert not context.fleet.withdrawn_at, "written too early for this test"
    assert not admitting(context, key)


@when('"{name}" gets a prepared change two versions ahead')
def prepare_ahead(context, name):
    fleet = context.fleet
    host = context.host = fleet.host_by_name[name]
    context.sent = []
    host.send = lambda peer, message: context.sent.append(message)
    packed = fleet_models.compress_json(b"{}")
    version = fleet.stored.version + 2
    host.follower.handle_message(
        fleet.host_by_name["entry-1"].hello,
        state_messages.Prepare(version, "ahead", packed, "entry-1"),
    )


@then("it acknowledges only once it has the version in between")
def check_acknowledged_in_order(context):
    acknowledged = state_messages.PrepareAck("ahead", True)
    assert acknowledged not in context.sent
    host, stored = context.host, context.fleet.stored
    between = dataclasses.replace(stored, version=stored.version + 1)
    host.follower.apply_effects(host.keeper.offer(0, between, 1, "store"))
    assert acknowledged in context.sent


@then("all hosts have the stored state within {seconds:g} seconds")
def check_everywhere(context, seconds):
    context.fleet.run(seconds + 0.001, context.fleet.in_force_everywhere)


@when("the fault ends after {seconds:d} seconds")
def end_fault(context, seconds):
    fleet = context.fleet
    fleet.on_write_accepted = lambda: None
    fleet.run(seconds)
    fleet_faults.clear_faults(fleet)


@when('"{names}" grant {count:d} keys each in turn')
def grant_keys(context, names, count):
    for index in range(count):
        for name in names.split(","):
            digest = virtual_fleet.digest_of(f"{name}{index}")
            context.fleet.make_change(
                name, "key-grant", {"digest": digest, "team": "mills"}
            )


@then("every answer agrees with the table")
def check_answers(context):
    context.fleet.check_answers()


@then("every answer has status {status:d}")
def check_statuses(context, status):
    codes = [answer[0][0] for answer in context.fleet.answers]
    assert set(codes) == {status}, codes


@when('"{one}" and "{two}" change the limit from the same version')
def change_same_version(context, one, two):
    fleet = context.fleet
    base = fleet.stored.version
    answers = []
    for index, name in enumerate((one, two)):
        manifest = copy.deepcopy(virtual_fleet.site_manifest())
        manifest["teams"][0]["limit"] = 20 + index
        answers.append(fleet.begin_change(name, "manifest", manifest, base))
    fleet.run(10, lambda: all(answers))
    context.answers = sorted(
        (answer[0] for answer in answers), key=lambda item: item[0]
    )


@then("one answer has status 200 and one 409 with the accepted version")
def check_conflict(context):
    (accepted_code, accepted), (refused_code, refused) = context.answers
    assert (accepted_code, refused_code) == (200, 409), context.answers
    assert refused["current_version"] == accepted["version"], context.answers


@then('the refused operator is told that "{path}" changed')
def check_changed_path(context, path):
    assert context.answers[1][1]["changed"] == (path,), context.answers


@then('all of "{names}" admit the key "{key}" within {seconds:d} seconds')
def check_admit(context, names, key, seconds):
    wanted = set(names.split(","))
    context.fleet.run(seconds, lambda: wanted <= admitting(context, key))


@then('every live host admits the key "{key}" within {seconds:d} seconds')
def check_all_admit(context, key, seconds):
    live = {host.hello.host for host in context.fleet.live_hosts()}
    context.fleet.run(seconds, lambda: live == admitting(context, key))


@when('"{name}" is killed right after a majority prepared to withdraw "{key}"')
def kill_after_prepare(context, name, key):
    fleet = context.fleet
    host = fleet.host_by_name[name]
    read = host.store.read_if_changed

    async def read_in_outage(row_version):
        return None  # The row was read before the outage began.

    async def write(stored, state):
        context.late_write = lambda: fleet.platform.table.transact(
            {"fleet/state": stored.row_version}, {"fleet/state": "late"}
        )
        fleet.kill(name)
        return None

    host.store.read_if_changed = read_in_outage if fleet.store.down else read
    host.store.replace = write
    digest = virtual_fleet.digest_of(key)
    fleet.begin_change(name, "key-withdraw", {"digest": digest})
    fleet.run(3, lambda: not host.alive)
    fleet.run(2)
    assert not admitting(context, key)


@then("a late write of the killed maker is refused")
def check_late_write(context):
    applied, _ = context.late_write()
    assert not applied


@then(
    "after {seconds:d} seconds every live host is fresh and refuses the key"
    ' "{key}"'
)
def check_stays(context, seconds, key):
    fleet = context.fleet
    fleet.run(seconds)
    now = fleet.clock.seconds()
    assert all(host.keeper.fresh(now) for host in fleet.live_hosts())
    assert not admitting(context, key)


@when('"{name}" is restarted')
def restart_host(context, name):
    context.fleet.kill(name)
    context.fleet.start(name)


@then('"{name}" is fresh at the stored version within {seconds:d} seconds')
def check_started(context, name, seconds):
    fleet = context.fleet
    keeper = fleet.host_by_name[name].keeper
    fleet.run(
        seconds,
        lambda: (
            keeper.fresh(fleet.clock.seconds())
            and keeper.in_force == fleet.stored
        ),
    )


@then('"{name}" holds no seat')
def check_no_seat(context, name):
    assert context.fleet.host_by_name[name].keeper.seat is None


@then("every live host stays fresh for {seconds:d} seconds")
def check_stays_fresh(context, seconds):
    fleet = context.fleet
    fleet.run(3)
    for _ in range(seconds // 60):
        fleet.run(60)
        now = fleet.clock.seconds()
        assert all(host.keeper.fresh(now) for host in fleet.live_hosts())


@when('"{old}" is killed and "{new}" starts in its place')
def replace_host(context, old, new):
    fleet = context.fleet
    context.seat = fleet.host_by_name[old].keeper.seat.number
    fleet.kill(old)
    fleet.platform.hosts = [{"name": name} for name in fleet.names[:-1]]
    fleet.names.append(new)
    fleet.start(new)


@then(
    '"{name}" holds the seat of "{old}" with epoch {epoch:d} within'
    " {seconds:d} seconds"
)
def check_takeover(context, name, old, epoch, seconds):
    keeper = context.fleet.host_by_name[name].keeper
    context.fleet.run(seconds, lambda: keeper.seat is not None)
    assert (keeper.seat.number, keeper.seat.epoch) == (context.seat, epoch)
    context.keeper = keeper


@then("it may use its base {seconds:d} seconds after that")
def check_base(context, seconds):
    wait = context.keeper.base_usable_at - context.fleet.clock.seconds()
    assert seconds - 1 < wait <= seconds, wait


@when('"{name}" starts and leaves after {seconds:d} seconds')
def start_and_leave(context, name, seconds):
    fleet = context.fleet
    fleet.names.append(name)
    fleet.start(name)
    fleet.run(seconds)
    for host in fleet.live_hosts():
        known = host.keeper.version_by_peer()
        assert name in known or host.hello.host == name
    fleet.kill(name)


@then('no other host counts "{name}" any more {seconds:d} seconds later')
def check_forgotten(context, name, seconds):
    context.fleet.run(seconds)
    for host in context.fleet.live_hosts():
        assert name not in host.keeper.version_by_peer()


@given("the host list is empty")
def empty_host_list(context):
    context.fleet.platform.hosts = []


@when('"{old}" is paused for {seconds:d} seconds while "{new}" starts')
def pause_and_start(context, old, seconds, new):
    fleet = context.fleet
    fleet.names.append(new)
    fleet.start(new)
    fleet.pause(old)
    fleet.run(seconds)
    fleet.host_by_name[old].resume()
    fleet.run(5)


@then('"{name}" still holds its seat')
def check_keeps_seat(context, name):
    assert context.fleet.host_by_name[name].keeper.seat is not None


@when('"{new}" starts and gets no messages of "{old}" for {seconds:d} seconds')
def start_and_cut(context, new, old, seconds):
    context.fleet.cut_links.add((old, new))
    context.fleet.names.append(new)
    context.fleet.start(new)
    context.fleet.run(seconds)


@when("every host is restarted")
def restart_all_hosts(context):
    for name in context.fleet.names:
        restart_host(context, name)


@when('"{names}" release their seats and every host restarts')
def release_and_restart(context, names):
    for name in names.split(","):
        follower = context.fleet.host_by_name[name].follower
        defer.ensureDeferred(follower.release_seat())
        context.fleet.run(2)
    assert sum(not seat.holder for seat in context.fleet.stored.seats) == 3
    restart_all_hosts(context)
    context.fleet.run(10)


@then("every seat has epoch {epoch:d} within {seconds:d} seconds")
def check_epochs(context, epoch, seconds):
    fleet = context.fleet
    fleet.run(
        seconds,
        lambda: all(seat.epoch == epoch for seat in fleet.stored.seats),
    )


@then('a change is accepted at "{name}"')
def check_change(context, name):
    context.fleet.grant_key("another-key")


@step(
    "random faults and changes occur for {seconds:d} seconds under seed"
    " {seed:d}"
)
def random_run(context, seconds, seed):
    fleet_faults.run_random(context.fleet, seconds, seed)
