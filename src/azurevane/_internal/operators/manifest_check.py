"""Validation of manifests; every problem is reported with its path."""

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


def manifest_rule(function: _Rule) -> _Rule:
    """Register a rule that the schema can't express."""
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
    """Return the manifest in decoded JSON.

    Raises:
        ManifestError: the content isn't a valid manifest; lists every
            problem found.
    """
    problems = tuple(_find_schema_problems(content))
    if problems:
        raise exceptions.ManifestError(problems)
    manifest = msgspec.convert(content, type=manifest_models.Manifest)
    problems = tuple(problem for rule in _rules for problem in rule(manifest))
    if problems:
        raise exceptions.ManifestError(problems)
    return manifest


def _find_schema_problems(content: Any) -> Iterator[str]:
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


def _check_reference(
    path: str, value: str, allowed: Iterable[str]
) -> list[str]:
    names = set(allowed)
    if value in names:
        return []
    hint = suggestions.suggest_name(value, names)
    return [f"{path}: {value!r} doesn't exist; {hint}"]


def _check_minimum(path: str, value: float, minimum: float) -> list[str]:
    if value >= minimum:
        return []
    return [f"{path}: {value} is less than {minimum}"]


@manifest_rule
def _check_unique_names(manifest: manifest_models.Manifest) -> Iterator[str]:
    for kind in ("teams", "pools", "queues", "runners", "hosts"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(manifest, kind)):
            if item.name in seen:
                yield (
                    f"$.{kind}[{index}].name: {item.name!r} is already"
                    f" used; names of {kind} are unique"
                )
            seen.add(item.name)
    shared_names = set(manifest.runner_by_name) & set(manifest.host_by_name)
    for name in sorted(shared_names):
        yield (
            f"$.hosts: {name!r} is also the name of a runner; a drain"
            " must name one thing"
        )


@manifest_rule
def _check_site(manifest: manifest_models.Manifest) -> Iterator[str]:
    yield from _check_minimum("$.entry_seats", manifest.entry_seats, 1)
    if not manifest.zones:
        yield "$.zones: at least one availability zone is needed"
    if len(set(manifest.zones)) != len(manifest.zones):
        yield "$.zones: an availability zone is listed twice"
    for name, value in msgspec.to_builtins(manifest.weights).items():
        yield from _check_minimum(f"$.weights.{name}", value, 0)


@manifest_rule
def _check_teams(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, team in enumerate(manifest.teams):
        path = f"$.teams[{index}]"
        if team.share <= 0:
            yield f"{path}.share: {team.share} isn't greater than 0"
        yield from _check_minimum(f"{path}.limit", team.limit, 1)
        if not 0 <= team.task_limit <= team.limit:
            yield (
                f"{path}.task_limit: {team.task_limit} isn't in 0 to the"
                f" limit, {team.limit}"
            )


@manifest_rule
def _check_pools(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, pool in enumerate(manifest.pools):
        for name, value in msgspec.to_builtins(pool.budget).items():
            yield from _check_minimum(
                f"$.pools[{index}].budget.{name}", value, 0
            )


@manifest_rule
def _check_queues(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, queue in enumerate(manifest.queues):
        path = f"$.queues[{index}]"
        yield from _check_reference(
            f"{path}.pool", queue.pool, manifest.pool_by_name
        )
        for number, team in enumerate(queue.teams):
            yield from _check_reference(
                f"{path}.teams[{number}]", team, manifest.team_by_name
            )
        yield from _check_minimum(
            f"{path}.max_body_bytes", queue.max_body_bytes, 0
        )
        yield from _check_minimum(f"{path}.deadline_ms", queue.deadline_ms, 1)
        yield from _check_minimum(f"{path}.max_run_s", queue.max_run_s, 0.001)
        yield from _check_minimum(
            f"{path}.max_wait_s", queue.max_wait_s, 0.001
        )


@manifest_rule
def _check_runners(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, runner in enumerate(manifest.runners):
        path = f"$.runners[{index}]"
        yield from _check_reference(
            f"{path}.pool", runner.pool, manifest.pool_by_name
        )
        yield from _check_reference(
            f"{path}.zone", runner.zone, manifest.zones
        )
        yield from _check_minimum(f"{path}.slots", runner.slots, 1)
        yield from _check_minimum(f"{path}.connections", runner.connections, 1)
        if not 1 <= runner.port <= 65535:
            yield f"{path}.port: {runner.port} isn't in 1 to 65535"
        try:
            ipaddress.ip_address(runner.address)
        except ValueError:
            yield f"{path}.address: {runner.address!r} isn't an IP address"


@manifest_rule
def _check_hosts(manifest: manifest_models.Manifest) -> Iterator[str]:
    for index, host in enumerate(manifest.hosts):
        path = f"$.hosts[{index}]"
        yield from _check_reference(
            f"{path}.pool", host.pool, manifest.pool_by_name
        )
        yield from _check_reference(f"{path}.zone", host.zone, manifest.zones)
        yield from _check_minimum(f"{path}.cores", host.cores, 0.001)
        yield from _check_minimum(f"{path}.memory_gb", host.memory_gb, 0.001)
        yield from _check_minimum(f"{path}.accelerators", host.accelerators, 0)
