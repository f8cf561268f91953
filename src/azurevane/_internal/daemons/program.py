"""Common startup of the daemons: arguments, settings, logging, metrics."""

import argparse
import logging
import pathlib
import sys
import time
from typing import Any, Protocol

import azurevane
from azurevane import exceptions
from azurevane._internal import invariants
from azurevane._internal.events import catalogue
from azurevane._internal.events import formatting
from azurevane._internal.events import program_events
from azurevane._internal.settings import loader

logger = logging.getLogger(__name__)


class Daemon(Protocol):
    """A program that serves until the reactor stops."""

    def start(self) -> None:
        """Start to listen and start the periodic work."""


class DaemonFactory(Protocol):
    """Creates a daemon from a reactor and settings."""

    def __call__(self, reactor: Any, settings: loader.Settings) -> Daemon:
        """Return the daemon."""


def run(
    name: str,
    description: str | None,
    factory: DaemonFactory,
    *,
    metrics_option: str,
) -> None:
    """Run a daemon until the reactor stops.

    Args:
        metrics_option: key of the setting with its Prometheus port.
    """
    parser = argparse.ArgumentParser(prog=name, description=description)
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="INI file; azurevane settings check explains every key",
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"%(prog)s {azurevane.__version__}",
    )
    options = parser.parse_args()
    try:
        settings = loader.load_settings(options.settings)
    except exceptions.SettingsError as error:
        sys.exit(str(error))
    formatting.configure_logging(
        settings.text("log", "level"), settings.text("log", "format")
    )
    invariants.set_checks_enabled(settings.flag("invariants", "check"))
    from twisted.internet import reactor

    # Twisted's clock is the wall clock, which can be set back. Freshness and
    # loans must expire on time even then.
    reactor.seconds = time.monotonic
    address = settings.text("host", "address")
    if settings.integer("metrics", metrics_option) or settings.text(
        "metrics", "otlp_url"
    ):
        # The SDK takes 38 MB of memory, so it is imported only if needed.
        from azurevane._internal.metrics import exposition

        exposition.start_metrics(reactor, settings, metrics_option)
    daemon = factory(reactor, settings)
    daemon.start()
    catalogue.emit(
        logger,
        program_events.ProgramStarted(name, address, azurevane.__version__),
    )
    reactor.run()
