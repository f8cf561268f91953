"""Changes that operators make to the fleet state."""

from collections.abc import Callable
import dataclasses
from typing import Any

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.operators import validation

_Builder = Callable[[fleet.FleetState, Any], fleet.FleetState]

builder_by_kind: dict[str, _Builder] = {}


def change_kind(kind: str) -> Callable[[_Builder], _Builder]:
    """Register the function that builds the state after a change."""

    def register(builder: _Builder) -> _Builder:
        builder_by_kind[kind] = builder
        return builder

    return register


def build_state(
    state: fleet.FleetState, kind: str, content: Any, token: str
) -> fleet.FleetState:
    """Return the state that a change makes of the current one.

    Raises:
        ManifestError: the content is invalid; names every problem.
    """
    changed = _build(state, kind, content)
    version = state.version + 1
    return dataclasses.replace(
        changed, version=version, content_version=version, token=token
    )


def _build(
    state: fleet.FleetState, kind: str, content: Any
) -> fleet.FleetState:
    builder = builder_by_kind.get(kind)
    if builder is None:
        kinds = ", ".join(sorted(builder_by_kind))
        raise exceptions.ManifestError(
            (f"There is no change of kind {kind!r}; known are {kinds}",)
        )
    return builder(state, content)


def _text(content: Any, name: str) -> str:
    value = content.get(name) if isinstance(content, dict) else None
    if not isinstance(value, str) or not value:
        raise exceptions.ManifestError((f"$.{name}: a text is required",))
    return value


def _check_zone(state: fleet.FleetState, zone: str) -> str:
    if state.manifest is None or zone not in state.manifest.zones:
        raise exceptions.ManifestError((f"$.zone: there is no zone {zone}",))
    return zone


@change_kind("manifest")
def _replace_manifest(
    state: fleet.FleetState, content: Any
) -> fleet.FleetState:
    manifest = validation.convert(content, manifest_models.Manifest)
    validation.check_manifest(manifest, state)
    return dataclasses.replace(state, manifest=manifest)


@change_kind("batch")
def _apply_several(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    """Make several changes one version, all or none of them."""
    problems: list[str] = []
    for index, change in enumerate(content):
        try:
            state = _build(state, change["kind"], change["content"])
        except exceptions.ManifestError as error:
            problems += [f"change {index}: {item}" for item in error.problems]
    if problems:
        raise exceptions.ManifestError(tuple(problems))
    return state


@change_kind("key-grant")
def _grant_api_key(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    key = validation.convert(content, fleet.ApiKey)
    problems = []
    if len(key.digest) != 64 or not set(key.digest) <= set("0123456789abcdef"):
        problems.append("$.digest: must be a SHA-256 digest in lower-case hex")
    if state.manifest is None or key.team not in state.manifest.team_by_name:
        problems.append(f"$.team: there is no team {key.team}")
    if problems:
        raise exceptions.ManifestError(tuple(problems))
    others = tuple(
        item for item in state.api_keys if item.digest != key.digest
    )
    return dataclasses.replace(state, api_keys=(*others, key))


@change_kind("key-withdraw")
def _withdraw_api_key(
    state: fleet.FleetState, content: Any
) -> fleet.FleetState:
    digest = _text(content, "digest")
    kept = tuple(key for key in state.api_keys if key.digest != digest)
    return dataclasses.replace(state, api_keys=kept)


@change_kind("zone-out")
def _take_zone_out(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    zones = {*state.zones_out, _check_zone(state, _text(content, "zone"))}
    return dataclasses.replace(state, zones_out=tuple(sorted(zones)))


@change_kind("zone-in")
def _bring_zone_in(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    zones = set(state.zones_out) - {_text(content, "zone")}
    return dataclasses.replace(state, zones_out=tuple(sorted(zones)))


@change_kind("drain")
def _drain(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    name = _text(content, "name")
    manifest = state.manifest
    if manifest is None or not (
        name in manifest.runner_by_name or name in manifest.host_by_name
    ):
        raise exceptions.ManifestError(
            (f"$.name: there is no runner or host {name}",)
        )
    names = {*state.draining, name}
    return dataclasses.replace(state, draining=tuple(sorted(names)))


@change_kind("return")
def _return(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    names = set(state.draining) - {_text(content, "name")}
    return dataclasses.replace(state, draining=tuple(sorted(names)))
