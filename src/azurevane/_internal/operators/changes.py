"""Changes that operators make to the fleet state."""

from collections.abc import Callable
import dataclasses
from typing import Any

import msgspec

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.utils import tokens

_Builder = Callable[[fleet.FleetState, Any], fleet.FleetState]

builder_by_kind: dict[str, _Builder] = {}


def change_kind(kind: str) -> Callable[[_Builder], _Builder]:
    """Register the function that builds the state after a change."""

    def register(builder: _Builder) -> _Builder:
        builder_by_kind[kind] = builder
        return builder

    return register


def build_state(
    state: fleet.FleetState, kind: str, content: Any
) -> fleet.FleetState:
    """Return the state that a change makes of the current one.

    Raises:
        ManifestError: the content is invalid; names every problem.
    """
    changed = builder_by_kind[kind](state, content)
    return dataclasses.replace(
        changed, version=state.version + 1, token=tokens.new_token()
    )


@change_kind("manifest")
def _replace_manifest(
    state: fleet.FleetState, content: Any
) -> fleet.FleetState:
    try:
        manifest = msgspec.convert(content, type=manifest_models.Manifest)
    except msgspec.ValidationError as error:
        raise exceptions.ManifestError((str(error),)) from error
    return dataclasses.replace(state, manifest=manifest)


@change_kind("key-grant")
def _grant_api_key(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    key = msgspec.convert(content, type=fleet.ApiKey)
    return dataclasses.replace(state, api_keys=(*state.api_keys, key))


@change_kind("key-withdraw")
def _withdraw_api_key(
    state: fleet.FleetState, content: Any
) -> fleet.FleetState:
    kept = tuple(
        key for key in state.api_keys if key.digest != content["digest"]
    )
    return dataclasses.replace(state, api_keys=kept)


@change_kind("zone-out")
def _take_zone_out(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    zones = {*state.zones_out, content["zone"]}
    return dataclasses.replace(state, zones_out=tuple(sorted(zones)))


@change_kind("zone-in")
def _bring_zone_in(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    zones = set(state.zones_out) - {content["zone"]}
    return dataclasses.replace(state, zones_out=tuple(sorted(zones)))


@change_kind("drain")
def _drain(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    names = {*state.draining, content["name"]}
    return dataclasses.replace(state, draining=tuple(sorted(names)))


@change_kind("return")
def _return(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    names = set(state.draining) - {content["name"]}
    return dataclasses.replace(state, draining=tuple(sorted(names)))
