"""Entry point of the command ``azurevane``."""

import sys


def main() -> None:
    """Run the operators' command and exit with its code."""
    if sys.argv[1:] == ["--version"]:
        # Handled before cleo is imported, which takes most of the start time.
        import azurevane

        print(f"azurevane {azurevane.__version__}")  # noqa: T201
        return
    sys.exit(run_command())


def run_command() -> int:
    """Run the command that the arguments select."""
    import importlib
    import pkgutil

    from cleo import application

    import azurevane
    from azurevane._internal import commands
    from azurevane._internal.commands import registry

    for module in pkgutil.iter_modules(commands.__path__):
        if module.name != "main":
            importlib.import_module(f"{commands.__name__}.{module.name}")
    app = application.Application("azurevane", azurevane.__version__)
    app.auto_exits(False)
    for cls in registry.command_by_name.values():
        app.add(cls())
    return int(app.run())
