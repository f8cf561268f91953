"""Registry of the operators' commands."""

from typing import TypeVar

from cleo.commands import command

_CommandT = TypeVar("_CommandT", bound=type[command.Command])

command_by_name: dict[str, type[command.Command]] = {}


def register(cls: _CommandT) -> _CommandT:
    """Register a command class under its name."""
    name = cls.name
    assert name is not None
    command_by_name[name] = cls
    return cls
