"""Messages between entry hosts.

Each message class has a struct of the same name in
``peers/messages.capnp``.
"""

import dataclasses
from typing import Any, TypeVar

_MessageT = TypeVar("_MessageT", bound=type)

message_type_by_name: dict[str, type] = {}


def message(cls: _MessageT) -> _MessageT:
    """Register a message class under its name."""
    message_type_by_name[cls.__name__] = cls
    return cls


class Message:
    """Base of every message between entry hosts."""

    __slots__ = ()
    __dataclass_fields__: dict[str, Any]


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message on a connection; identifies the sender.

    Attributes:
        incarnation: identifies one process start of the host.
        address, port: where the sender accepts connections of its peers.
    """

    host: str
    incarnation: str
    zone: str
    protocol: int = 1
    address: str = ""
    port: int = 0


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Probe(Message):
    """Asks a peer to confirm the version in force at the sender."""

    seq: int
    version: int
    prepared: tuple[str, ...] = ()


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAck(Message):
    """Answers a probe with the version and prepared changes of its sender.

    Attributes:
        store_seen: whether the store has recently confirmed the version.
        silent: seat holders from which the sender has received nothing
            recently.
    """

    seq: int
    version: int
    prepared: tuple[str, ...] = ()
    store_seen: bool = False
    silent: tuple[str, ...] = ()
