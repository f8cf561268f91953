"""Translates messages between data classes and Cap'n Proto."""

import dataclasses
import functools
import pathlib
from typing import Any

import capnp
import msgspec

from azurevane import exceptions
from azurevane._internal.models import claim_messages  # noqa: F401
from azurevane._internal.models import messages
from azurevane._internal.models import permit_messages  # noqa: F401
from azurevane._internal.models import state_messages  # noqa: F401

MAX_MESSAGE_BYTES = 1024 * 1024


@functools.cache
def _schema() -> Any:
    capnp.remove_import_hook()
    path = pathlib.Path(__file__).with_name("messages.capnp")
    return capnp.load(str(path))


def _to_camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


@functools.cache
def _schema_name_by_field(cls: type) -> dict[str, str]:
    return {
        field.name: _to_camel_case(field.name)
        for field in dataclasses.fields(cls)
    }


def _union_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


@functools.cache
def _type_by_union_name() -> dict[str, type]:
    return {
        _union_name(cls): cls for cls in messages.message_type_by_name.values()
    }


def _to_builtins(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        schema_names = _schema_name_by_field(type(value))
        return {
            schema_names[name]: _to_builtins(getattr(value, name))
            for name in schema_names
        }
    if isinstance(value, tuple):
        return [_to_builtins(item) for item in value]
    return value


def _to_snake_case_keys(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            "".join(f"_{c.lower()}" if c.isupper() else c for c in key): (
                _to_snake_case_keys(item)
            )
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [_to_snake_case_keys(item) for item in value]
    return value


def encode_message(message: messages.Message) -> bytes:
    """Return a message encoded as one ``Envelope``."""
    plain = _to_builtins(message)
    envelope = _schema().Envelope.new_message(
        **{_union_name(type(message)): plain}
    )
    return bytes(envelope.to_bytes())


def decode_message(data: bytes) -> messages.Message | None:
    """Return the message in an ``Envelope``, or None if it is unknown.

    A peer that runs a newer version may send messages that this version
    doesn't know.

    Raises:
        MessageError: the data is too long or not a valid envelope.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise exceptions.MessageError(
            f"Peer message has {len(data)} bytes, more than the"
            f" {MAX_MESSAGE_BYTES} allowed; the message is dropped"
        )
    try:
        with _schema().Envelope.from_bytes(data) as envelope:
            name = str(envelope.which())
            cls = _type_by_union_name().get(name)
            if cls is None:
                return None
            plain = _to_snake_case_keys(getattr(envelope, name).to_dict())
        return msgspec.convert(plain, type=cls)
    except (ValueError, capnp.KjException) as error:
        raise exceptions.MessageError(
            f"Peer message isn't a valid envelope: {error}"
        ) from error
