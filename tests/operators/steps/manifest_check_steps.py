import json
import pathlib
import random

from behave import given
from behave import then
from behave import when

from azurevane import exceptions
from azurevane._internal.operators import manifest_check

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"


def load_example(name):
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
        assert problems_of(load_example(name)) == (), problems_of(
            load_example(name)
        )


@given('the example manifest "{name}"')
def set_example(context, name):
    context.manifest = load_example(name)


@when('"{path}" is set to {value}')
def set_value(context, path, value):
    *parents, last = path.split(".")
    target = context.manifest
    for key in parents:
        target = target[int(key) if key.isdecimal() else key]
    target[int(last) if last.isdecimal() else last] = json.loads(value)


@then('a problem at "{path}" mentions "{text}"')
def check_problem(context, path, text):
    problems = problems_of(context.manifest)
    assert any(
        item.startswith(path + ":") and text in item for item in problems
    ), problems


@then("there are {count:d} problems")
def check_count(context, count):
    problems = problems_of(context.manifest)
    assert len(problems) == count, problems


@when("{count:d} randomly corrupted manifests of seed {seed:d} are checked")
def check_corrupted(context, count, seed):
    rng = random.Random(seed)
    context.results = []
    for _ in range(count):
        manifest = load_example("dieworks")
        target = manifest
        while True:
            keys = (
                list(target)
                if isinstance(target, dict)
                else list(range(len(target)))
            )
            key = rng.choice(keys)
            child = target[key]
            if isinstance(child, dict | list) and child and rng.random() < 0.8:
                target = child
                continue
            target[key] = rng.choice(
                [None, -1, "", [], {}, 1e400, "x" * 1000, True, 2**70]
            )
            break
        context.results.append(problems_of(manifest))


@then("each is either valid or rejected with a path")
def check_corrupted_results(context):
    rejected = [item for item in context.results if item]
    assert len(rejected) > len(context.results) / 2
    for problems in rejected:
        assert all(item.startswith("$") for item in problems), problems
