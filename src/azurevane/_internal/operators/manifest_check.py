"""Check a manifest and name every problem with its place."""

from collections.abc import Callable, Iterable, Iterator
import copy
import functools
import ipaddress
from typing import Any

import jsonschema
import msgspec

from azurevane import exceptions
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.utils import suggestions

_Rule = Callable[[manifest_models.Manifest], Iterator[str]]

_rules: list[_Rule] = []


def rule(function: _Rule) -> _Rule:
    """Register a check that the schema alone can't express."""
    _rules.append(function)
    return function


@functools.cache
def manifest_schema() -> dict[str, Any]:
    """Return the JSON Schema (2020-12) of a manifest."""
    schema = msgspec.json.schema(manifest_models.Manifest)
    schema = copy.deepcopy(schema)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    for definition in schema["$defs"].values():
        definition["additionalProperties"] = False
    return schema


def parse_manifest(content: Any) -> manifest_models.Manifest:
    """Return the manifest that decoded JSON stands for.

    Raises:
        ManifestError: names every problem found.
    """
    problems = tuple(_schema_problems(content))
    if problems:
        raise exceptions.ManifestError(problems)
    manifest = msgspec.convert(content, type=manifest_models.Manifest)
    problems = tuple(
        problem for check in _rules for problem in check(manifest)
    )
    if problems:
        raise exceptions.ManifestError(problems)
    return manifest


def _schema_problems(content: Any) -> Iterator[str]:
    validator = jsonschema.Draft202012Validator(manifest_schema())
    for error in sorted(
        validator.iter_errors(content), key=lambda item: item.json_path
    ):
        known = error.schema.get("properties", {})
        if error.validator != "additionalProperties":
            yield f"{error.json_path}: {error.message}"
            continue
        for name in sorted(set(error.instance) - set(known)):
            hint = suggestions.suggest_name(name, known)
            yield f"{error.json_path}.{name}: unknown key; {hint}"


def _reference(place: str, value: str, allowed: Iterable[str]) -> list[str]:
    names = set(allowed)
    if value in names:
        return []
    hint = suggestions.suggest_name(value, names)
    return [f"{place}: {value!r} doesn't exist; {hint}"]


def _above(place: str, value: float, least: float) -> list[str]:
    if value >= least:
        return []
    return [f"{place}: {value} is less than {least}"]


@rule
def _unique_names(manifest: manifest_models.Manifest) -> Iterator[str]:
    for kind in ("teams", "pools", "queues", "runners", "hosts"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(manifest, kind)):
            if item.name in seen:
                yield (
                    f"$.{kind}[{index}].name: {item.name!r} is already"
                    f" used; names of {kind} are unique"
                )
            seen.add(item.name)
    both = set(manifest.runner_by_name) & set(manifest.host_by_name)
    for name in sorted(both):
        yield (
            f"$.hosts: {name!r} is also the name of a runner; a drain"
            " must name one thing"
        )


@rule
def _site(manifest: manifest_models.Manifest) -> Iterator[str]:
    yield from _above("$.entry_seats", manifest.entry_seats, 1)
    if not manifest.zones:
        yield "$.zones: at least one availability zone is needed"
    if len(set(manifest.zones)) != len(manifest.zones):
        yield "$.zones: an availability zone is listed twice"
    for name, value in msgspec.to_builtins(manifest.weights).items():
        yield from _above(f"$.weights.{name}", value, 0)


@rule
def _teams(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, team in enumerate(manifest.teams):
        place = f"$.teams[{index}]"
        if team.share <= 0:
            yield f"{place}.share: {team.share} isn't greater than 0"
        yield from _above(f"{place}.limit", team.limit, 1)
        if not 0 <= team.task_limit <= team.limit:
            yield (
                f"{place}.task_limit: {team.task_limit} isn't in 0 to the"
                f" limit, {team.limit}"
            )


@rule
def _pools(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, pool in enumerate(manifest.pools):
        for name, value in msgspec.to_builtins(pool.budget).items():
            yield from _above(f"$.pools[{index}].budget.{name}", value, 0)


@rule
def _queues(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, queue in enumerate(manifest.queues):
        place = f"$.queues[{index}]"
        yield from _reference(
            f"{place}.pool", queue.pool, manifest.pool_by_name
        )
        for number, team in enumerate(queue.teams):
            yield from _reference(
                f"{place}.teams[{number}]", team, manifest.team_by_name
            )
        yield from _above(f"{place}.max_body_bytes", queue.max_body_bytes, 0)
        yield from _above(f"{place}.deadline_ms", queue.deadline_ms, 1)
        yield from _above(f"{place}.max_run_s", queue.max_run_s, 0.001)
        yield from _above(f"{place}.max_wait_s", queue.max_wait_s, 0.001)


@rule
def _runners(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, runner in enumerate(manifest.runners):
        place = f"$.runners[{index}]"
        yield from _reference(
            f"{place}.pool", runner.pool, manifest.pool_by_name
        )
        yield from _reference(f"{place}.zone", runner.zone, manifest.zones)
        yield from _above(f"{place}.slots", runner.slots, 1)
        yield from _above(f"{place}.connections", runner.connections, 1)
        if not 1 <= runner.port <= 65535:
            yield f"{place}.port: {runner.port} isn't in 1 to 65535"
        try:
            ipaddress.ip_address(runner.address)
        except ValueError:
            yield f"{place}.address: {runner.address!r} isn't an IP address"


@rule
def _hosts(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, host in enumerate(manifest.hosts):
        place = f"$.hosts[{index}]"
        yield from _reference(
            f"{place}.pool", host.pool, manifest.pool_by_name
        )
        yield from _reference(f"{place}.zone", host.zone, manifest.zones)
        yield from _above(f"{place}.cores", host.cores, 0.001)
        yield from _above(f"{place}.memory_gb", host.memory_gb, 0.001)
        yield from _above(f"{place}.accelerators", host.accelerators, 0)
