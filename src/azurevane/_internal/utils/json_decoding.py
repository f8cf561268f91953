"""Decodes JSON from other programs, with one kind of error for all faults."""

import functools
from typing import Any, TypeVar

import msgspec

_T = TypeVar("_T")


@functools.cache
def _decoder(body_type: type[Any]) -> "msgspec.json.Decoder[Any]":
    return msgspec.json.Decoder(body_type)


def decode(value: bytes, body_type: type[_T]) -> _T:
    """Return the value that a text in JSON holds.

    Raises:
        msgspec.MsgspecError: the text is malformed, nested too deeply or not
            in UTF-8, or holds a value of another type.
    """
    try:
        # mypy takes a type variable for unhashable.
        decoder: Any = _decoder
        decoded: _T = decoder(body_type).decode(value)
    except (UnicodeDecodeError, RecursionError) as error:
        # msgspec lets these through, and callers expect one kind of error.
        raise msgspec.DecodeError(str(error)) from error
    return decoded
