"""Entry point of ``azurevane``: parse, look up, run."""

import sys


def main() -> None:
    """Run the operators' command."""
    if sys.argv[1:] == ["--version"]:
        import azurevane

        print(f"azurevane {azurevane.__version__}")  # noqa: T201
        return
    from cleo import application

    import azurevane
    from azurevane._internal.commands import manifest_apply  # noqa: F401
    from azurevane._internal.commands import registry

    app = application.Application("azurevane", azurevane.__version__)
    for cls in registry.command_by_name.values():
        app.add(cls())
    app.run()
