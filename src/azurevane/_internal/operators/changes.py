"""Kinds of changes that operators make to the fleet state."""

from collections.abc import Callable, Iterable
import dataclasses
from typing import Any

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.operators import manifest_check
from azurevane._internal.policy import seats as seat_policy
from azurevane._internal.utils import suggestions

_StateBuilder = Callable[[fleet.FleetState, Any], fleet.FleetState]

# Number of change records kept in the state, so that an operator whose answer
# was lost can look up the outcome of the change.
HISTORY_LENGTH = 50

builder_by_kind: dict[str, _StateBuilder] = {}


def change_kind(kind: str) -> Callable[[_StateBuilder], _StateBuilder]:
    """Register the function that builds the state for a kind of change."""

    def register(builder: _StateBuilder) -> _StateBuilder:
        builder_by_kind[kind] = builder
        return builder

    return register


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOrigin:
    """Identifiers and time of a change.

    Attributes:
        token: identifies this attempt to make the change.
        change_id: identifier chosen by the operator's client for a later
            look-up.
        made_at: Unix time in seconds, for the history.
    """

    token: str
    change_id: str = ""
    made_at: float = 0.0


def build_state(
    state: fleet.FleetState, kind: str, content: Any, origin: ChangeOrigin
) -> fleet.FleetState:
    """Return the state that results from a change of the current one.

    Raises:
        ManifestError: the change is invalid; names every problem.
    """
    changed = _apply_change(state, kind, content)
    version = state.version + 1
    record = fleet.ChangeRecord(
        version, origin.change_id or origin.token, kind, origin.made_at
    )
    return dataclasses.replace(
        changed,
        version=version,
        content_version=version,
        token=origin.token,
        history=(*state.history, record)[-HISTORY_LENGTH:],
    )


def _apply_change(
    state: fleet.FleetState, kind: str, content: Any
) -> fleet.FleetState:
    builder = builder_by_kind.get(kind)
    if builder is None:
        raise _unknown_value_error("kind", kind, builder_by_kind)
    return builder(state, content)


def _unknown_value_error(
    path: str, value: object, allowed: Iterable[str]
) -> exceptions.ManifestError:
    hint = suggestions.suggest_name(str(value), allowed)
    return exceptions.ManifestError(
        (f"{path}: {value!r} isn't known; {hint}",)
    )


def _require_text(content: Any, name: str) -> str:
    value = content.get(name) if isinstance(content, dict) else None
    if not isinstance(value, str) or not value:
        raise exceptions.ManifestError(
            (f"content.{name}: a non-empty text is required",)
        )
    return value


def _require_known(
    state: fleet.FleetState, content: Any, name: str, kind: str
) -> str:
    value = _require_text(content, name)
    manifest = state.manifest
    allowed: Iterable[str] = ()
    if manifest is not None and kind == "zone":
        allowed = manifest.zones
    elif manifest is not None and kind == "team":
        allowed = manifest.team_by_name
    elif manifest is not None:
        allowed = {*manifest.runner_by_name, *manifest.host_by_name}
    if value not in allowed:
        raise _unknown_value_error(f"content.{name}", value, allowed)
    return value


@change_kind("manifest")
def _replace_manifest(
    state: fleet.FleetState, content: Any
) -> fleet.FleetState:
    manifest = manifest_check.parse_manifest(content)
    if state.seats and manifest.entry_seats != state.entry_seats:
        # A majority of the new seats might not overlap with a majority of the
        # old seats.
        raise exceptions.ManifestError(
            (
                f"$.entry_seats: can't change from {state.entry_seats} while"
                " entry hosts hold seats",
            )
        )
    names = {*manifest.runner_by_name, *manifest.host_by_name}
    return dataclasses.replace(
        state,
        manifest=manifest,
        seats=seat_policy.seats_under_manifest(state, manifest),
        api_keys=tuple(
            key for key in state.api_keys if key.team in manifest.team_by_name
        ),
        zones_out=tuple(
            zone for zone in state.zones_out if zone in manifest.zones
        ),
        draining=tuple(name for name in state.draining if name in names),
    )


@change_kind("batch")
def _apply_batch(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    """Apply several changes as one version, all or none of them."""
    if not isinstance(content, list):
        raise exceptions.ManifestError(("content: a list is required",))
    problems: list[str] = []
    for index, change in enumerate(content):
        try:
            state = _apply_change(
                state, _require_text(change, "kind"), change.get("content")
            )
        except exceptions.ManifestError as error:
            problems += [f"change {index}: {item}" for item in error.problems]
    if problems:
        raise exceptions.ManifestError(tuple(problems))
    return state


@change_kind("key-grant")
def _grant_api_key(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    team = _require_known(state, content, "team", "team")
    digest = _require_text(content, "digest")
    if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
        raise exceptions.ManifestError(
            ("content.digest: must be a hex SHA-256 digest",)
        )
    kept = tuple(key for key in state.api_keys if key.digest != digest)
    return dataclasses.replace(
        state, api_keys=(*kept, fleet.ApiKey(digest, team))
    )


@change_kind("key-withdraw")
def _withdraw_api_key(
    state: fleet.FleetState, content: Any
) -> fleet.FleetState:
    # An unknown key isn't an error: two operators may withdraw the same key
    # at the same time.
    digest = _require_text(content, "digest")
    kept = tuple(key for key in state.api_keys if key.digest != digest)
    return dataclasses.replace(state, api_keys=kept)


@change_kind("zone-out")
def _take_zone_out(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    zones = {*state.zones_out, _require_known(state, content, "zone", "zone")}
    return dataclasses.replace(state, zones_out=tuple(sorted(zones)))


@change_kind("zone-in")
def _bring_zone_in(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    zones = set(state.zones_out) - {
        _require_known(state, content, "zone", "zone")
    }
    return dataclasses.replace(state, zones_out=tuple(sorted(zones)))


@change_kind("drain")
def _drain_host(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    names = {*state.draining, _require_known(state, content, "name", "host")}
    return dataclasses.replace(state, draining=tuple(sorted(names)))


@change_kind("return")
def _return_host(state: fleet.FleetState, content: Any) -> fleet.FleetState:
    names = set(state.draining) - {
        _require_known(state, content, "name", "host")
    }
    return dataclasses.replace(state, draining=tuple(sorted(names)))
