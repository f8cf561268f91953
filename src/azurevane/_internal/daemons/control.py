"""The control daemon: places tasks on workers."""

from typing import Any

from azurevane._internal.daemons import control_service
from azurevane._internal.daemons import fleet_source
from azurevane._internal.daemons import program
from azurevane._internal.settings import loader
from azurevane._internal.table_service import breaker
from azurevane._internal.table_service import state_store
from azurevane._internal.table_service import table
from azurevane._internal.table_service import transport
from azurevane._internal.utils import tokens
from azurevane._internal.workers import client as worker_client


class _AlwaysClosedBreaker(breaker.CircuitBreaker):
    """Circuit breaker that never opens.

    One unresponsive worker must not stop the calls to the others, and a
    lease is kept through an outage only by calls that were sent and failed.
    """

    def allow_call(self, now: float) -> bool:
        """Return True."""
        return True


class ControlDaemon:
    """Connects the control service to the platform."""

    def __init__(self, reactor: Any, settings: loader.Settings) -> None:
        json_transport = transport.JsonTransport(
            reactor,
            settings.text("platform", "url"),
            settings.number("platform", "timeout"),
            breaker=_AlwaysClosedBreaker(),
        )
        client = table.TableClient(json_transport)
        address = settings.text("host", "address")
        port = settings.integer("callers", "port")
        self._service = control_service.ControlService(
            reactor,
            client,
            worker_client.WorkerClient(json_transport),
            fleet_source.StoreFleetSource(
                reactor,
                state_store.StateStore(client),
                f"http://{address}:{port}/readyz",
            ),
            settings.text("host", "name"),
            tokens.new_token,
        )

    def start(self) -> None:
        """Start the periodic work."""
        self._service.start()


def main() -> None:
    """Run the control daemon."""
    program.run(
        "azurevane-control",
        __doc__,
        ControlDaemon,
        metrics_option="control_port",
    )
