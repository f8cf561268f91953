"""Differences between two versions of the fleet state.

A state may have hundreds of kilobytes, of which a change modifies little,
so hosts send each other differences instead of whole states.
"""

import dataclasses
import typing
from typing import Any

import msgspec

from azurevane import exceptions
from azurevane._internal.models import fleet

_IDENTITY_FIELDS = ("name", "digest", "number", "change_id")


def compute_difference(old: fleet.FleetState, new: fleet.FleetState) -> Any:
    """Return the difference between two states, as plain values."""
    members: dict[str, Any] = {}
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        # The manifest is the same object unless the change modifies it.
        if before is not after and before != after:
            members[field.name] = _value_difference(
                msgspec.to_builtins(before), msgspec.to_builtins(after)
            )
    return {"members": members, "absent": []}


def apply_difference(old: fleet.FleetState, changes: Any) -> fleet.FleetState:
    """Return the state that results from applying a difference.

    Raises:
        MessageError: the difference doesn't apply to the state.
    """
    types = typing.get_type_hints(fleet.FleetState)
    try:
        changed = {
            name: msgspec.convert(
                _apply_to_value(
                    msgspec.to_builtins(getattr(old, name)), member
                ),
                type=types[name],
            )
            for name, member in changes["members"].items()
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise exceptions.MessageError(
            f"Difference doesn't apply to version {old.version}: {error!r}"
        ) from error
    return dataclasses.replace(old, **changed)


def changed_paths(changes: Any, path: str = "") -> tuple[str, ...]:
    """Return the paths that a difference modifies, to show to operators."""
    if "members" in changes:
        prefix = f"{path}." if path else ""
        inner = [
            found
            for name, member in changes["members"].items()
            for found in changed_paths(member, prefix + name)
        ]
        return (*inner, *(prefix + name for name in changes["absent"]))
    if "items" in changes:
        names = [*changes["items"], *changes["removed"]]
        names += [_identity(item) for item in changes["added"]]
        return tuple(f"{path}[{name}]" for name in names)
    return (path,)


def _identity(item: Any) -> str | None:
    if isinstance(item, dict):
        for field in _IDENTITY_FIELDS:
            if field in item:
                return str(item[field])
    return None


def _item_by_identity(items: Any) -> dict[str, Any] | None:
    item_by_identity = {_identity(item): item for item in items}
    if None in item_by_identity or len(item_by_identity) != len(items):
        return None
    return {str(name): item for name, item in item_by_identity.items()}


def _value_difference(old: Any, new: Any) -> Any:
    changes: Any = None
    if isinstance(old, dict) and isinstance(new, dict):
        changes = _dict_difference(old, new)
    elif isinstance(old, list | tuple) and isinstance(new, list | tuple):
        changes = _list_difference(old, new)
        # A list with a changed order is sent in full.
        if changes is not None and _apply_to_value(old, changes) != list(new):
            changes = None
    return {"value": new} if changes is None else changes


def _dict_difference(old: dict[str, Any], new: dict[str, Any]) -> Any:
    return {
        "members": {
            name: _value_difference(old.get(name), value)
            for name, value in new.items()
            if name not in old or old[name] != value
        },
        "absent": [name for name in old if name not in new],
    }


def _list_difference(old: Any, new: Any) -> Any:
    before, after = _item_by_identity(old), _item_by_identity(new)
    if before is None or after is None:
        return None
    return {
        "items": {
            name: _value_difference(before[name], item)
            for name, item in after.items()
            if name in before and before[name] != item
        },
        "removed": [name for name in before if name not in after],
        "added": [item for name, item in after.items() if name not in before],
    }


def _apply_to_value(old: Any, changes: Any) -> Any:
    if "members" in changes:
        merged = {
            name: value
            for name, value in old.items()
            if name not in changes["absent"]
        }
        for name, member in changes["members"].items():
            merged[name] = _apply_to_value(old.get(name), member)
        return merged
    if "items" in changes:
        item_by_identity = _item_by_identity(old)
        assert item_by_identity is not None
        for name, item in changes["items"].items():
            item_by_identity[name] = _apply_to_value(
                item_by_identity[name], item
            )
        for name in changes["removed"]:
            del item_by_identity[name]
        return [*item_by_identity.values(), *changes["added"]]
    return changes["value"]
