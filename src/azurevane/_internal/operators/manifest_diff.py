"""Differences between two manifests, one for each value."""

import dataclasses
from typing import Any

import msgspec

from azurevane._internal.models import manifest as manifest_models


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs.

    Attributes:
        place: path of the value, such as ``teams[mills].limit``.
        before: value in the first manifest; None if it was added.
        after: value in the second manifest; None if it was removed.
    """

    place: str
    before: Any
    after: Any


def diff_manifests(
    before: manifest_models.Manifest | None,
    after: manifest_models.Manifest | None,
) -> tuple[Difference, ...]:
    """Return the differences, sorted by path."""
    old = _flatten("", msgspec.to_builtins(before) if before else {})
    new = _flatten("", msgspec.to_builtins(after) if after else {})
    return tuple(
        Difference(path, old.get(path), new.get(path))
        for path in sorted(set(old) | set(new))
        if old.get(path) != new.get(path)
    )


def _flatten(path: str, value: Any) -> dict[str, Any]:
    if isinstance(value, dict):
        children = value.items()
        prefix = f"{path}." if path else ""
        named = [(f"{prefix}{key}", item) for key, item in children]
    elif isinstance(value, list) and _is_list_of_named(value):
        named = [(f"{path}[{item['name']}]", item) for item in value]
    else:
        return {path: value}
    flat: dict[str, Any] = {}
    for child_path, child in named:
        flat.update(_flatten(child_path, child))
    return flat


def _is_list_of_named(value: list[Any]) -> bool:
    return bool(value) and all(
        isinstance(item, dict) and "name" in item for item in value
    )
