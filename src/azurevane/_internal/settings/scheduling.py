"""Section ``[scheduling]`` of the entry host's settings file."""

import dataclasses
import pathlib

from azurevane._internal.models import scheduling_settings
from azurevane._internal.settings import loader
from azurevane._internal.settings import schema

SECTION = "scheduling"

_HELP_BY_NAME = {
    "admission": "Reject jobs that can't end in time to be of use.",
    "forecast": "Move hosts to a pool before its next busy period.",
}

for _field in dataclasses.fields(scheduling_settings.SchedulingSettings):
    schema.define_option(
        schema.Option(
            SECTION, _field.name, bool, False, _HELP_BY_NAME[_field.name]
        )
    )


def load_scheduling_settings(
    path: pathlib.Path,
) -> scheduling_settings.SchedulingSettings:
    """Read the settings of the scheduler's optional decisions.

    Raises:
        SettingsError: the file can't be read or is invalid.
    """
    settings = loader.load_settings(path, sections={SECTION})
    return scheduling_settings.SchedulingSettings(
        **{
            field.name: settings.flag(SECTION, field.name)
            for field in dataclasses.fields(
                scheduling_settings.SchedulingSettings
            )
        }
    )
