"""Differences between two manifests, one line each."""

import dataclasses
from typing import Any

import msgspec

from azurevane._internal.models import manifest as manifest_models


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs.

    Attributes:
        place: such as ``teams[mills].limit``.
        before: None if it is new.
        after: None if it is gone.
    """

    place: str
    before: Any
    after: Any


def diff_manifests(
    before: manifest_models.Manifest | None,
    after: manifest_models.Manifest | None,
) -> tuple[Difference, ...]:
    """Return the differences, ordered by place."""
    old = _flatten("", msgspec.to_builtins(before) if before else {})
    new = _flatten("", msgspec.to_builtins(after) if after else {})
    return tuple(
        Difference(place, old.get(place), new.get(place))
        for place in sorted(set(old) | set(new))
        if old.get(place) != new.get(place)
    )


def _flatten(place: str, value: Any) -> dict[str, Any]:
    if isinstance(value, dict):
        children = value.items()
        prefix = f"{place}." if place else ""
        named = [(f"{prefix}{key}", item) for key, item in children]
    elif isinstance(value, list) and _has_names(value):
        named = [(f"{place}[{item['name']}]", item) for item in value]
    else:
        return {place: value}
    flat: dict[str, Any] = {}
    for child_place, child in named:
        flat.update(_flatten(child_place, child))
    return flat


def _has_names(value: list[Any]) -> bool:
    return bool(value) and all(
        isinstance(item, dict) and "name" in item for item in value
    )
