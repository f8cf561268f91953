"""Check what operators submit; every problem is found at once."""

import collections
from collections.abc import Callable, Iterable
import functools
from typing import Any, TypeVar, cast

import jsonschema
import msgspec

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models

_T = TypeVar("_T")
_Check = Callable[[manifest_models.Manifest], Iterable[str]]

_checks: list[_Check] = []


def _check(function: _Check) -> _Check:
    _checks.append(function)
    return function


@functools.cache
def _validator(cls: Any) -> Any:
    return jsonschema.Draft202012Validator(msgspec.json.schema(cls))


def convert(content: Any, cls: type[_T]) -> _T:
    """Return content as a model.

    Raises:
        ManifestError: the content has the wrong shape.
    """
    problems = tuple(
        f"{error.json_path}: {error.message[:200]}"
        for error in _validator(cast(Any, cls)).iter_errors(content)
    )
    if problems:
        raise exceptions.ManifestError(problems)
    try:
        return msgspec.convert(content, type=cls)
    except msgspec.ValidationError as error:
        raise exceptions.ManifestError((str(error),)) from error


def check_manifest(
    manifest: manifest_models.Manifest, state: fleet.FleetState
) -> None:
    """Check what the shape of a manifest can't say.

    Raises:
        ManifestError: names every problem.
    """
    problems = [problem for check in _checks for problem in check(manifest)]
    if state.seats and manifest.entry_seats != state.entry_seats:
        # A majority of the new seats might miss every host that makes up
        # a majority of the old ones.
        problems.append(
            f"$.entry_seats: can't change from {state.entry_seats} while"
            " entry hosts hold seats"
        )
    if problems:
        raise exceptions.ManifestError(tuple(problems))


@_check
def _unique_names(manifest: manifest_models.Manifest) -> Iterable[str]:
    for field in ("teams", "pools", "queues", "runners", "hosts"):
        names = [item.name for item in getattr(manifest, field)]
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield f"$.{field}: {name} is named {count} times"
            if not name:
                yield f"$.{field}: an entry has an empty name"


@_check
def _known_references(manifest: manifest_models.Manifest) -> Iterable[str]:
    pools, teams = manifest.pool_by_name, manifest.team_by_name
    for queue in manifest.queues:
        place = f"$.queues[{queue.name}]"
        if queue.pool not in pools:
            yield f"{place}.pool: there is no pool {queue.pool}"
        for team in queue.teams:
            if team not in teams:
                yield f"{place}.teams: there is no team {team}"
    for field in ("runners", "hosts"):
        for item in getattr(manifest, field):
            place = f"$.{field}[{item.name}]"
            if item.pool not in pools:
                yield f"{place}.pool: there is no pool {item.pool}"
            if item.zone not in manifest.zones:
                yield f"{place}.zone: there is no zone {item.zone}"


@_check
def _sensible_numbers(manifest: manifest_models.Manifest) -> Iterable[str]:
    wrong = {
        "$.entry_seats: must be at least 1": manifest.entry_seats < 1,
    }
    for team in manifest.teams:
        place = f"$.teams[{team.name}]"
        wrong[f"{place}.share: must be greater than 0"] = not team.share > 0
        wrong[f"{place}.limit: must be at least 0"] = team.limit < 0
    for queue in manifest.queues:
        place = f"$.queues[{queue.name}]"
        wrong[f"{place}.max_run_s: must be above 0"] = not queue.max_run_s > 0
        wrong[f"{place}.deadline_ms: must be above 0"] = queue.deadline_ms < 1
    for runner in manifest.runners:
        place = f"$.runners[{runner.name}]"
        wrong[f"{place}.slots: must be at least 1"] = runner.slots < 1
        wrong[f"{place}.port: must be 1 to 65535"] = not (
            0 < runner.port < 65536
        )
    return [problem for problem, found in wrong.items() if found]
