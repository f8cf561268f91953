"""The program of an entry host on the users' platform."""

import argparse
from collections.abc import Callable, Sequence
import logging
import os
import pathlib
import signal
import sys
import time
from typing import Any

import msgspec

import azurevane
from azurevane import exceptions
from azurevane._internal.callers import job_handler
from azurevane._internal.callers import job_resource
from azurevane._internal.events import catalogue
from azurevane._internal.events import output
from azurevane._internal.events import program_events
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import host_settings
from azurevane._internal.models import site
from azurevane._internal.peers import leader_query
from azurevane._internal.platform import http_client
from azurevane._internal.platform import node_settings
from azurevane._internal.platform import operator_rows
from azurevane._internal.platform import store
from azurevane._internal.scheduler import background
from azurevane._internal.scheduler import candidate
from azurevane._internal.scheduler import leader as leader_module
from azurevane._internal.scheduler import table_follower

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "AZUREVANE_CONFIG"
# How long the store may hold back an answer about changes.
OPERATORS_WAIT_S = 1.2
# The balancer asks every second and takes a host out after two misses.
LEAVE_ROTATION_S = 2.5
# Time to read requests that were on their way when the host stopped
# listening.
LAST_REQUESTS_S = 0.3
# Left of the grace period for the end of the process.
STOP_MARGIN_S = 1.0
IDLE_CONNECTION_S = 15.0
# Start of the metrics after that of the host.
METRICS_AFTER_S = 2.0
# New connections that may wait to be accepted in a burst.
LISTEN_BACKLOG = 1024


def boot_seconds() -> float:
    """Return a steady time that also counts while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SiteHost:
    """Serves callers, and leads the scheduling while it holds the lease."""

    def __init__(
        self,
        reactor: Any,
        settings: host_settings.HostSettings,
        *,
        client: http_client.HttpClient | None = None,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._unix_time = unix_time
        self._client = client or http_client.HttpClient(reactor)
        self._store = store.StoreClient(
            self._client, settings.store_address, reactor.seconds
        )
        self.job_handler = job_handler.JobHandler(
            self._store, seconds=reactor.seconds, unix_time=unix_time
        )
        self._stopping_at: float | None = None
        self._resource = job_resource.JobResource(
            self.job_handler, lambda: self._stopping_at is not None
        )
        self.candidate = candidate.Candidate(
            reactor,
            self._client,
            self._store,
            settings,
            unix_time=unix_time,
            set_pending=self.job_handler.set_pending,
            on_leading=self._tell_leader,
        )
        self._zones_out: frozenset[str] = frozenset()
        self._wave_by_number: dict[int, site.Wave] = {}
        self._operators: table_follower.TableFollower | None = None
        self._callers_port: Any = None
        self._end: Callable[[], None] = lambda: None

    @property
    def leader(self) -> leader_module.Leader | None:
        """The reign of this host, if it leads."""
        return self.candidate.leader

    def start(self) -> None:
        """Listen and follow the store."""
        self._listen()
        self._operators = table_follower.TableFollower(
            self._reactor,
            self._store,
            operator_rows.TABLE,
            wait_s=OPERATORS_WAIT_S,
            on_snapshot=self._operators_whole,
            on_changes=self._operators_changed,
            on_confirmed=self.job_handler.confirm_config_current,
            on_outage=self.job_handler.set_store_reads_failing,
        )
        background.spawn(
            self._operators.run(), f"follow {operator_rows.TABLE}"
        )
        self.candidate.start()

    def _listen(self) -> None:
        settings = self._settings
        if settings.callers_listen is not None:
            factory = job_resource.NoAccessLogSite(
                self._resource, IDLE_CONNECTION_S
            )
            self._callers_port = self._reactor.listenTCP(
                settings.callers_listen.port,
                factory,
                backlog=LISTEN_BACKLOG,
                interface=settings.callers_listen.ip,
            )
        if settings.hosts_listen is not None:
            self._reactor.listenTCP(
                settings.hosts_listen.port,
                job_resource.NoAccessLogSite(
                    leader_query.LeaderResource(
                        self.candidate.holds_leadership
                    ),
                    IDLE_CONNECTION_S,
                ),
                interface=settings.hosts_listen.ip,
            )
        if settings.readiness_listen is not None:
            root = job_resource.ReadinessResource(self._ready)
            self._reactor.listenTCP(
                settings.readiness_listen.port,
                job_resource.NoAccessLogSite(root, IDLE_CONNECTION_S),
                interface=settings.readiness_listen.ip,
            )

    def _ready(self) -> bool:
        return self._stopping_at is None and self.job_handler.ready()

    # Rows of the operators.

    def _operators_whole(self, rows: Sequence[store.Row]) -> None:
        self._zones_out = frozenset()
        self._wave_by_number = {}
        self._operators_changed(rows)

    def _operators_changed(self, rows: Sequence[store.Row]) -> None:
        zones_out = set(self._zones_out)
        for row in rows:
            zone = operator_rows.zone_out_from_key(row.row_key.key)
            if row.row_key.key == operator_rows.CONFIG_KEY:
                self._set_config(row)
            elif zone is not None and row.value is None:
                zones_out.discard(zone)
            elif zone is not None:
                zones_out.add(zone)
            else:
                self._set_wave(row)
        if zones_out != self._zones_out:
            self._zones_out = frozenset(zones_out)
            catalogue.emit(logger, events.ZonesOut(tuple(sorted(zones_out))))
        self._tell_leader()

    def _set_wave(self, row: store.Row) -> None:
        number = operator_rows.wave_number_from_key(row.row_key.key)
        if number is None:
            return
        if row.value is None:
            self._wave_by_number.pop(number, None)
            return
        try:
            wave = operator_rows.decode_wave(row.value)
        except msgspec.MsgspecError as error:
            table_follower.log_unreadable_row(row, error)
            return
        self._wave_by_number[number] = wave

    def _set_config(self, row: store.Row) -> None:
        try:
            config = operator_rows.decode_config(row.value or b"")
        except msgspec.MsgspecError as error:
            table_follower.log_unreadable_row(row, error)
            return
        if self.job_handler.set_config(config):
            catalogue.emit(
                logger,
                events.ConfigInForce(
                    config.version,
                    len(config.queue_by_name),
                    len(config.team_by_name),
                ),
            )

    def _tell_leader(self) -> None:
        if self.leader is not None:
            self.leader.set_site(
                self.job_handler.config,
                self._zones_out,
                dict(self._wave_by_number),
            )

    # Stop.

    def abandon(self) -> None:
        """End at once, as when the process is killed."""
        if self._operators is not None:
            self._operators.stop()
        self.candidate.abort()

    def stop(self, end: Callable[[], None]) -> None:
        """Leave the rotation, answer what was sent, then end."""
        if self._stopping_at is not None:
            return
        self._end = end
        self._stopping_at = self._reactor.seconds()
        catalogue.emit(
            logger,
            program_events.ProgramStopping(
                "azurevane-host", self._resource.in_flight
            ),
        )
        self.candidate.resign()
        self._reactor.callLater(LEAVE_ROTATION_S, self._stop_listening)

    def _stop_listening(self) -> None:
        if self._callers_port is not None:
            self._callers_port.stopListening()
        # What arrived on open connections until now is still answered.
        self._reactor.callLater(LAST_REQUESTS_S, self._end_if_idle)

    def _end_if_idle(self) -> None:
        assert self._stopping_at is not None
        grace_s = self._settings.bounds.stop_grace_s - STOP_MARGIN_S
        late = self._reactor.seconds() - self._stopping_at >= grace_s
        if self._resource.in_flight and not late:
            self._reactor.callLater(0.05, self._end_if_idle)
            return
        self._end()

    def reload(self, settings: host_settings.HostSettings) -> None:
        """Take in changed settings."""
        self._settings = settings


def _start_metrics(reactor: Any, address: str, port: int) -> None:
    # The SDK takes a while to load, so the host serves first.
    from azurevane._internal.metrics import exposition

    exposition.start_site_metrics(reactor, address, port)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="azurevane-host",
        description="Serves callers and schedules a site's jobs.",
        epilog=f"The settings file is named by {SETTINGS_VARIABLE}.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port for Prometheus, path /metrics; 0 for none",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="only check the settings file",
    )
    return parser.parse_args()


def main() -> None:
    """Run an entry host until it is told to stop."""
    options = _parse_arguments()
    lines = output.configure_output("INFO")
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = node_settings.load_settings(path)
    except exceptions.SettingsError as error:
        sys.exit(f"settings of {SETTINGS_VARIABLE}: {error}")
    if options.check:
        sys.exit(0)
    from twisted.internet import reactor

    reactor.seconds = boot_seconds
    output.start_output(reactor, lines)
    host = SiteHost(reactor, settings)
    host.start()
    if options.metrics_port and settings.callers_listen is not None:
        reactor.callLater(
            METRICS_AFTER_S,
            _start_metrics,
            reactor,
            settings.callers_listen.ip,
            options.metrics_port,
        )

    def hang_up(*_: Any) -> None:
        try:
            host.reload(node_settings.load_settings(path))
        except exceptions.SettingsError as error:
            logger.error("Settings stay as they were: %s", error)
            return
        catalogue.emit(logger, program_events.SettingsReloaded(str(path)))

    reactor.callWhenRunning(
        signal.signal,
        signal.SIGHUP,
        lambda *_: reactor.callFromThread(hang_up),
    )
    reactor.callWhenRunning(
        signal.signal,
        signal.SIGTERM,
        lambda *_: reactor.callFromThread(host.stop, reactor.stop),
    )
    catalogue.emit(
        logger,
        program_events.ProgramStarted(
            "azurevane-host", settings.host_name, azurevane.__version__
        ),
    )
    reactor.run()
