"""Entry host daemon on the users' platform (azurevane-host)."""

import argparse
from collections.abc import Callable, Sequence
import dataclasses
import functools
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
from azurevane._internal.callers import admission_control
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
from azurevane._internal.scheduler import runner_link
from azurevane._internal.scheduler import table_follower
from azurevane._internal.settings import scheduling
from azurevane._internal.utils import process_lag

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "AZUREVANE_CONFIG"
# Time after which the store answers a request for changes although there are
# none.
OPERATOR_ROWS_WAIT_S = 1.2
# The load balancer checks readiness every second and removes a host after
# two failed checks.
LEAVE_ROTATION_S = 2.5
# Time to read requests that were in transit when the host stopped
# listening.
LAST_REQUESTS_WAIT_S = 0.3
# Interval at which a host that stops looks whether requests are left.
IDLE_CHECK_INTERVAL_S = 0.05
# Part of the grace period in which a leader's row is released.
HANDOVER_TIME_S = 1.0
# Part of the grace period that is reserved for the exit of the process.
STOP_MARGIN_S = 1.0
IDLE_CONNECTION_TIMEOUT_S = 15.0
# Delay of the start of the metrics, so that the host serves callers first.
METRICS_START_DELAY_S = 2.0
# New connections that may wait to be accepted during a burst.
LISTEN_BACKLOG = 1024


def boot_seconds() -> float:
    """Return monotonic seconds, including those of a suspended host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SiteHost:
    """Serves callers, and runs the scheduler while this host leads."""

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
        self._process_lag = process_lag.ProcessLag(reactor)
        self._client = client or http_client.HttpClient(
            reactor, process_lag=self._process_lag
        )
        self._store = store.StoreClient(
            self._client,
            settings.store_address,
            reactor,
            settings.link_mbps,
        )
        self.admission = admission_control.AdmissionControl(
            settings.host_name, reactor.seconds
        )
        self.job_handler = job_handler.JobHandler(
            self._store,
            seconds=reactor.seconds,
            unix_time=unix_time,
            sleep=runner_link.make_sleep(reactor),
            max_row_bytes=settings.store_row_bytes,
            control=self.admission if settings.scheduling.admission else None,
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
            process_lag=self._process_lag,
            on_pending_jobs=self.job_handler.set_pending,
            on_estimate=self.admission.set_estimate,
            on_leading=self._update_leader,
        )
        self._operator_rows_read = False
        self._zones_out: frozenset[str] = frozenset()
        self._wave_by_number: dict[int, site.Wave] = {}
        self._operator_rows_follower: table_follower.TableFollower | None = (
            None
        )
        self._callers_port: Any = None
        self._on_stopped: Callable[[], None] = lambda: None

    @property
    def leader(self) -> leader_module.Leader | None:
        """Current leadership term of this host, if it leads."""
        return self.candidate.leader

    def start(self) -> None:
        """Start to listen and to follow the store."""
        self._process_lag.start()
        self._listen()
        self._operator_rows_follower = table_follower.TableFollower(
            self._reactor,
            self._store,
            operator_rows.TABLE,
            wait_s=OPERATOR_ROWS_WAIT_S,
            on_snapshot=self._replace_operator_rows,
            on_changes=self._apply_operator_rows,
            on_confirmed=self.job_handler.confirm_config_current,
            on_outage=self.job_handler.set_store_reads_failing,
        )
        background.spawn(
            self._operator_rows_follower.run(), f"follow {operator_rows.TABLE}"
        )
        self.candidate.start()

    def _listen(self) -> None:
        settings = self._settings
        if settings.callers_listen is not None:
            factory = job_resource.NoAccessLogSite(
                self._resource, IDLE_CONNECTION_TIMEOUT_S
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
                    IDLE_CONNECTION_TIMEOUT_S,
                ),
                interface=settings.hosts_listen.ip,
            )
        if settings.readiness_listen is not None:
            root = job_resource.ReadinessResource(self._ready)
            self._reactor.listenTCP(
                settings.readiness_listen.port,
                job_resource.NoAccessLogSite(root, IDLE_CONNECTION_TIMEOUT_S),
                interface=settings.readiness_listen.ip,
            )

    def _ready(self) -> bool:
        return self._stopping_at is None and self.job_handler.ready()

    def _replace_operator_rows(self, rows: Sequence[store.Row]) -> None:
        self._zones_out = frozenset()
        self._wave_by_number = {}
        self._operator_rows_read = True
        self._apply_operator_rows(rows)

    def _apply_operator_rows(self, rows: Sequence[store.Row]) -> None:
        zones_out = set(self._zones_out)
        for row in rows:
            zone = operator_rows.zone_out_from_key(row.row_key.key)
            if zone is not None and row.value is None:
                zones_out.discard(zone)
            elif zone is not None:
                zones_out.add(zone)
            else:
                # One row mustn't keep the others from being applied.
                background.run_step(
                    f"apply {row.row_key}",
                    functools.partial(self._apply_row, row),
                )
        if zones_out != self._zones_out:
            self._zones_out = frozenset(zones_out)
            catalogue.emit(logger, events.ZonesOut(tuple(sorted(zones_out))))
        self._update_leader()

    def _apply_row(self, row: store.Row) -> None:
        if row.row_key.key == operator_rows.CONFIG_KEY:
            self._apply_config_row(row)
        else:
            self._apply_wave_row(row)

    def _apply_wave_row(self, row: store.Row) -> None:
        number = operator_rows.wave_number_from_key(row.row_key.key)
        if number is None:
            return
        if row.value is None:
            self._wave_by_number.pop(number, None)
            return
        try:
            wave = operator_rows.decode_wave(number, row.value)
        except msgspec.MsgspecError as error:
            table_follower.log_unreadable_row(row, error)
            return
        self._wave_by_number[number] = wave

    def _apply_config_row(self, row: store.Row) -> None:
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

    def _update_leader(self) -> None:
        if self.leader is not None and self._operator_rows_read:
            self.leader.set_operator_data(
                self.job_handler.config,
                self._zones_out,
                dict(self._wave_by_number),
            )

    def abort(self) -> None:
        """Stop at once without a handover, as a killed process would."""
        if self._operator_rows_follower is not None:
            self._operator_rows_follower.stop()
        self.candidate.abort()

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Stop gracefully.

        The host fails its readiness check until the load balancer has
        removed it, answers the requests already received, hands over the
        lead, and then ends.

        Args:
            on_stopped: called when the process may end.
        """
        if self._stopping_at is not None:
            return
        self._on_stopped = on_stopped
        self._stopping_at = self._reactor.seconds()
        # First of all, so that nothing that fails or waits below keeps the
        # host from ending in time.
        left_s = self._settings.bounds.stop_grace_s - STOP_MARGIN_S
        self._reactor.callLater(max(left_s, 0.0), self._end)
        leave_s = min(LEAVE_ROTATION_S, left_s - LAST_REQUESTS_WAIT_S)
        self._reactor.callLater(max(leave_s, 0.0), self._stop_listening)
        catalogue.emit(
            logger,
            program_events.ProgramStopping(
                "azurevane-host", self._resource.in_flight
            ),
        )
        self.candidate.resign(self._stopping_at + left_s - HANDOVER_TIME_S)

    def _stop_listening(self) -> None:
        # Requests that have arrived on open connections are still answered.
        self._reactor.callLater(LAST_REQUESTS_WAIT_S, self._end_if_idle)
        if self._callers_port is not None:
            self._callers_port.stopListening()

    def _end_if_idle(self) -> None:
        hands_over = self.leader is not None and self._store.slow
        if self._resource.in_flight or hands_over:
            self._reactor.callLater(IDLE_CHECK_INTERVAL_S, self._end_if_idle)
            return
        self._end()

    def _end(self) -> None:
        on_stopped, self._on_stopped = self._on_stopped, lambda: None
        on_stopped()

    def reload(self, settings: host_settings.HostSettings) -> None:
        """Replace the settings by new ones."""
        self._settings = settings


def _start_metrics(reactor: Any, address: str, port: int) -> None:
    # The SDK is slow to load, so it is imported after the host has begun to
    # serve.
    from azurevane._internal.metrics import exposition

    exposition.start_site_metrics(reactor, address, port)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="azurevane-host",
        description="Serve callers and schedule a site's jobs.",
        epilog=(
            "The path of the settings file is read from the environment"
            f" variable {SETTINGS_VARIABLE}."
        ),
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port to serve /metrics for Prometheus; 0 for none",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        help="INI file with the section [scheduling]; all off without it",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    return parser.parse_args()


def _load_settings(
    platform_path: pathlib.Path, own_path: pathlib.Path | None
) -> host_settings.HostSettings:
    """Return the settings from the platform's file and the project's own.

    Raises:
        SettingsError: one of the files can't be read or is invalid.
    """
    settings = node_settings.load_settings(platform_path)
    if own_path is None:
        return settings
    return dataclasses.replace(
        settings, scheduling=scheduling.load_scheduling_settings(own_path)
    )


def main() -> None:
    """Run an entry host until SIGTERM."""
    options = _parse_arguments()
    lines = output.configure_output("INFO")
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = _load_settings(path, options.settings)
    except exceptions.SettingsError as error:
        sys.exit(f"settings: {error}")
    if options.check:
        sys.exit(0)
    from twisted.internet import reactor

    reactor.seconds = boot_seconds
    output.start_flushing(reactor, lines)
    host = SiteHost(reactor, settings)
    host.start()
    if options.metrics_port and settings.callers_listen is not None:
        reactor.callLater(
            METRICS_START_DELAY_S,
            _start_metrics,
            reactor,
            settings.callers_listen.ip,
            options.metrics_port,
        )

    def reload_settings(*_: Any) -> None:
        try:
            host.reload(_load_settings(path, options.settings))
        except exceptions.SettingsError as error:
            logger.error(
                "Reloading failed; the current settings stay: %s", error
            )
            return
        catalogue.emit(logger, program_events.SettingsReloaded(str(path)))

    reactor.callWhenRunning(
        signal.signal,
        signal.SIGHUP,
        lambda *_: reactor.callFromThread(reload_settings),
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
