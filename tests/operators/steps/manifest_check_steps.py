import json
import pathlib
import random

from behave import given
from behave import then
from behave import when

from azurevane import exceptions
from azurevane._internal.operators import manifest_check

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"


def load(name):
    return json.loads((EXAMPLES / f"{name}.json").read_text())


def problems_of(content):
    try:
        manifest_check.parse_manifest(content)
    except exceptions.ManifestError as error:
        return error.problems
    return ()


@then('the example manifests "{first}" and "{second}" are valid')
def check_examples(context, first, second):
    for name in (first, second):
        assert problems_of(load(name)) == (), problems_of(load(name))


@given('the example manifest "{name}"')
def take_example(context, name):
    context.manifest = load(name)


@when('"{place}" is set to {value}')
def set_value(context, place, value):
    *parents, last = place.split(".")
    target = context.manifest
    for key in parents:
        target = target[int(key) if key.isdecimal() else key]
    target[int(last) if last.isdecimal() else last] = json.loads(value)


@then('a problem at "{place}" mentions "{text}"')
def check_problem(context, place, text):
    problems = problems_of(context.manifest)
    assert any(
        item.startswith(place + ":") and text in item for item in problems
    ), problems


@then("there are {count:d} problems")
def check_count(context, count):
    problems = problems_of(context.manifest)
    assert len(problems) == count, problems


@when("{count:d} random damages of seed {seed:d} are checked")
def damage(context, count, seed):
    source = random.Random(seed)
    context.results = []
    for _ in range(count):
        manifest = load("dieworks")
        target = manifest
        while True:
            keys = (
                list(target)
                if isinstance(target, dict)
                else list(range(len(target)))
            )
            key = source.choice(keys)
            child = target[key]
            if (
                isinstance(child, dict | list)
                and child
                and source.random() < 0.8
            ):
                target = child
                continue
            target[key] = source.choice(
                [None, -1, "", [], {}, 1e400, "x" * 1000, True, 2**70]
            )
            break
        context.results.append(problems_of(manifest))


@then("each is either valid or refused with a place")
def check_damage(context):
    refused = [item for item in context.results if item]
    assert len(refused) > len(context.results) / 2
    for problems in refused:
        assert all(item.startswith("$") for item in problems), problems
