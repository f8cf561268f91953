import logging
import socket
import struct
import time

from behave import given
from behave import then
from behave import when
from twisted.internet import reactor

from azurevane._internal.models import messages
from azurevane._internal.models import state_messages
from azurevane._internal.peers import codec
from azurevane._internal.peers import connections
from azurevane._internal.tasks import state_keeper
from support import processes


class EventRecorder(logging.Handler):
    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        entry = getattr(record, "event", None)
        if entry is not None:
            self.events.append((entry.number, record.fields))


def run_reactor_until(condition, seconds=5.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        reactor.iterate(0.005)
        if condition():
            return
    raise AssertionError("condition not reached in time")


def start_network(context, name, members, incarnation="1", port=None):
    if not hasattr(context, "networks"):
        context.networks, context.received = {}, []
        context.recorder = EventRecorder()
        logging.getLogger().addHandler(context.recorder)
        context.add_cleanup(
            logging.getLogger().removeHandler, context.recorder
        )
    port = port or processes.free_ports(1)[0]
    hello = messages.Hello(name, incarnation, "az", 1, "127.0.0.1", port)
    network = connections.PeerNetwork(reactor, hello, members)
    keeper = state_keeper.StateKeeper(name, incarnation)

    def handle_message(sender, message):
        context.received.append((name, sender, message))
        keeper.received(0.0, sender, message)

    for message_type in state_keeper.handler_by_type:
        network.register_handler(message_type, handle_message)
    network.start()
    context.add_cleanup(lambda: (network.stop(), reactor.iterate(0.01)))
    context.networks[name] = network
    return network


def peer_address(context, name):
    hello = context.networks[name].hello
    return {name: (hello.address, hello.port)}


@given('entry hosts "{one}" and "{two}" that know each other')
def start_pair(context, one, two):
    first, second = processes.free_ports(2)
    start_network(context, one, {two: ("127.0.0.1", second)}, port=first)
    start_network(context, two, {one: ("127.0.0.1", first)}, port=second)
    networks = [context.networks[one], context.networks[two]]
    run_reactor_until(lambda: all(item.connected_peers for item in networks))


@given(
    'entry hosts "{one}" and "{two}" of which only "{knows}" knows the other'
)
def start_unlisted(context, one, two, knows):
    start_network(context, one, {})
    start_network(context, two, peer_address(context, one))


@given('entry host "{name}"')
def start_one(context, name):
    start_network(context, name, {})


@when('"{one}" sends a probe with version {version:d} to "{two}"')
def send_probe(context, one, version, two):
    context.networks[one].send(two, messages.Probe(1, version))


@then('"{two}" receives a probe with version {version:d} from "{one}"')
def check_probe(context, two, version, one):
    run_reactor_until(lambda: context.received)
    receiver, sender, message = context.received[0]
    assert (receiver, sender.host) == (two, one)
    assert message == messages.Probe(1, version)


@then('"{one}" has counted what "{two}" received')
def check_counts(context, one, two):
    data = codec.encode_message(messages.Probe(1, 7))
    sent = context.networks[one].traffic
    assert (sent.messages_sent, sent.bytes_sent) == (1, len(data) + 4)
    # The receiver counts the Hello as well.
    assert context.networks[two].traffic.messages_received == 2


@when('"{name}" has connected')
def wait_connected(context, name):
    run_reactor_until(lambda: context.networks[name].connected_peers)


@then('"{one}" can send a probe to "{two}"')
def check_probe_can_be_sent(context, one, two):
    run_reactor_until(lambda: two in context.networks[one].connected_peers)
    send_probe(context, one, 3, two)
    check_probe(context, two, 3, one)


@when('"{name}" stops and starts again')
def restart_host(context, name):
    old = context.networks[name]
    context.old_hello = old.hello
    old.stop()
    run_reactor_until(lambda: not old.connected_peers)
    start_network(
        context, name, old._address_by_peer, "2", port=old.hello.port
    )


@then(
    '"{one}" receives a probe from the new "{two}" within {seconds:d} seconds'
)
def check_probe_after_restart(context, one, two, seconds):
    network = context.networks[two]
    run_reactor_until(lambda: network.connected_peers, seconds)
    network.send(one, messages.Probe(1, 5))
    run_reactor_until(lambda: context.received, seconds)
    assert context.received[0][1].incarnation == "2"


def open_connection(context, name):
    hello = context.networks[name].hello
    raw = socket.create_connection((hello.address, hello.port))
    raw.setblocking(False)
    context.add_cleanup(raw.close)
    return raw


def encode_frame(message):
    data = (
        message
        if isinstance(message, bytes)
        else (codec.encode_message(message))
    )
    return struct.pack("!I", len(data)) + data


def is_closed(raw):
    try:
        return raw.recv(1) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


@then('a connection of the old "{name}" is refused')
def check_old_process_refused(context, name):
    raw = open_connection(context, "a")
    raw.sendall(encode_frame(context.old_hello))
    run_reactor_until(lambda: is_closed(raw))


def make_hello(name, incarnation="9"):
    return messages.Hello(name, incarnation, "az")


BYTES_BY_INPUT = {
    "text instead of a frame": b"GET / HTTP/1.1\r\n\r\n",
    "a frame that isn't Capnp": encode_frame(b"\xff" * 64),
    "a message before its Hello": encode_frame(messages.Probe(1, 1)),
    'a Hello in the name of "a"': encode_frame(make_hello("a")),
    "a Hello and a bad restriction": encode_frame(make_hello("z"))
    + encode_frame(state_messages.Prepare(1, "t", b"no zlib")),
    "half a frame and no Hello": b"\x00\x00\x00\x40half",
}


@when("a connection sends {name}")
def send_input(context, name):
    context.raw = open_connection(context, "a")
    context.raw.sendall(BYTES_BY_INPUT[name])
    wait_s = connections.HELLO_TIMEOUT_S + 2
    run_reactor_until(lambda: is_closed(context.raw), wait_s)


@then('it is closed and event {number:d} says "{detail}"')
def check_event(context, number, detail):
    def logged():
        return any(
            number == found and detail in fields["detail"]
            for found, fields in context.recorder.events
        )

    run_reactor_until(logged)


@then('"{name}" still accepts a Hello')
def check_hello_accepted(context, name):
    raw = open_connection(context, name)
    raw.sendall(
        encode_frame(make_hello("y")) + encode_frame(messages.Probe(1, 1))
    )
    run_reactor_until(
        lambda: [item for item in context.received if item[1].host == "y"]
    )


@given('entry host "{name}" that knows a host that never reads')
def start_with_nonreading_peer(context, name):
    listening = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listening.close)
    start_network(context, name, {"deaf": listening.getsockname()})
    run_reactor_until(lambda: context.networks[name].connected_peers)


@when('"{name}" sends it {size:d} MiB')
def send_large_messages(context, name, size):
    network = context.networks[name]
    message = state_messages.Commit(b"x" * (512 * 1024))
    context.max_queued_bytes = 0
    for _ in range(size * 2):
        network.send("deaf", message)
        connection = network._outgoing_by_peer.get("deaf")
        if connection is None:
            break
        context.max_queued_bytes = max(
            context.max_queued_bytes, connection._queued_bytes
        )
        reactor.iterate(0.001)


@then("at most {size:d} MiB were queued")
def check_queued(context, size):
    assert 0 < context.max_queued_bytes <= size * 1024 * 1024


@when("{count:d} hosts send a Hello one after another and disconnect")
def send_hellos(context, count):
    network = context.networks["a"]
    closed_port = processes.free_ports(1)[0]
    for index in range(count):
        raw = open_connection(context, "a")
        name = f"host-{index}"
        raw.sendall(
            encode_frame(
                messages.Hello(name, "1", "az", 1, "127.0.0.1", closed_port)
            )
        )
        run_reactor_until(lambda: name in network._incarnation_by_peer)  # noqa: B023
        raw.close()


@then('"{name}" keeps at most {count:d} addresses and accepts one more')
def check_addresses(context, name, count):
    network = context.networks[name]
    assert len(network._address_by_peer) <= count
    assert "host-99" in network._address_by_peer
