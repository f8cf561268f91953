"""``azurevane settings check``."""

import pathlib

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class SettingsCheck(base.OperatorsCommand):
    """Check a settings file of the daemons."""

    name = "settings check"
    description = "Check a settings file and list every problem in it."
    arguments = [helpers.argument("file", "Settings file (INI).")]

    def execute_command(self) -> status.ExitCode:
        """Print that the file is valid; an invalid file raises an error."""
        from azurevane._internal.settings import loader

        path = pathlib.Path(self.argument("file"))
        loader.load_settings(path)
        self.line(f"{path} is valid")
        return status.ExitCode.OK
