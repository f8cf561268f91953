import dataclasses
import random

from behave import then
from behave import when

from azurevane import exceptions
from azurevane._internal.models import claim_messages
from azurevane._internal.models import messages
from azurevane._internal.models import permit_messages
from azurevane._internal.models import state_messages
from azurevane._internal.peers import codec

_SAMPLE_BY_TYPE = {
    "str": "text",
    "int": 7,
    "float": 1.5,
    "bool": True,
    "bytes": b"\x00data",
    "tuple[str, ...]": ("a", "b"),
    "tuple[int, ...]": (1, 2),
    "tuple[Usage, ...]": (permit_messages.Usage("pool", "team", 2.5),),
    "tuple[Header, ...]": (claim_messages.Header("name", "value"),),
    "tuple[Commit, ...]": (state_messages.Commit(b"", 1, 2, b"\x00data"),),
}


def build_sample(cls):
    return cls(
        **{
            field.name: _SAMPLE_BY_TYPE[
                getattr(field.type, "__name__", None)
                if isinstance(field.type, type)
                and field.type.__name__ != "tuple"
                else str(field.type)
                .replace("azurevane._internal.models.", "")
                .replace("permit_messages.", "")
                .replace("claim_messages.", "")
                .replace("state_messages.", "")
            ]
            for field in dataclasses.fields(cls)
        }
    )


@when("each message type is encoded and decoded")
def encode_all(context):
    context.originals = [
        build_sample(cls) for cls in messages.message_type_by_name.values()
    ]
    assert len(context.originals) == 19
    context.decoded = [
        codec.decode_message(codec.encode_message(item))
        for item in context.originals
    ]


@then("each equals the original")
def check_all_equal(context):
    for original, decoded in zip(
        context.originals, context.decoded, strict=True
    ):
        assert original == decoded, (original, decoded)


@when("random bytes are decoded")
def decode_random(context):
    context.data = random.Random(1).randbytes(400)


@when("a cut message are decoded")
def decode_truncated(context):
    whole = codec.encode_message(messages.Hello("h", "i" * 100, "z"))
    context.data = whole[: len(whole) // 2]


@when("too many bytes are decoded")
def decode_large(context):
    context.data = b"\x00" * (codec.MAX_MESSAGE_BYTES + 1)


@then("a message error is raised")
def check_error(context):
    try:
        decoded = codec.decode_message(context.data)
    except exceptions.MessageError:
        return
    raise AssertionError(f"decoded as {decoded}")


@when("an envelope with an unknown member is decoded")
def decode_unknown(context):
    envelope = codec._schema().Envelope.new_message(unknown=None)
    context.decoded = codec.decode_message(bytes(envelope.to_bytes()))


@then("there is no message and no error")
def check_no_message(context):
    assert context.decoded is None
