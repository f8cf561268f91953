"""Steps for the settings of the scheduler's optional decisions."""

import dataclasses
import pathlib
import tempfile

from behave import given
from behave import then

from azurevane import exceptions
from azurevane._internal.settings import scheduling

DEPLOYMENT_SETTINGS = pathlib.Path(__file__).parents[3] / "deploy" / "host.ini"


@given("a settings file")
def write_file(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = pathlib.Path(directory.name) / "host.ini"
    context.path.write_text(context.text)


@given("the settings file of the deployment")
def use_deployment_file(context):
    context.path = DEPLOYMENT_SETTINGS


def _names_in_use(path):
    settings = scheduling.load_scheduling_settings(path)
    return [
        field.name
        for field in dataclasses.fields(settings)
        if getattr(settings, field.name)
    ]


@then("no optional decision is in use")
def check_none(context):
    assert _names_in_use(context.path) == []


@then('only "{name}" is in use')
def check_only(context, name):
    assert _names_in_use(context.path) == [name]


@then("it can be read")
def check_readable(context):
    scheduling.load_scheduling_settings(context.path)


@then('the file is rejected with "{text}"')
def check_rejected(context, text):
    try:
        scheduling.load_scheduling_settings(context.path)
    except exceptions.SettingsError as error:
        assert text in str(error), error
    else:
        raise AssertionError("the file was accepted")
