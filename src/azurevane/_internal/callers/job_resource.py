"""HTTP resources for callers' requests about jobs and for readiness."""

from collections.abc import Callable
import logging
import traceback
from typing import Any

from twisted.internet import defer
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from azurevane._internal.callers import bounded_request
from azurevane._internal.callers import job_handler
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.platform import job_requests

logger = logging.getLogger(__name__)


class JobResource(resource.Resource):
    """Serves all paths of the callers' address.

    Args:
        stopping: whether to close connections after their response.

    Attributes:
        in_flight: number of requests without a response.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self, handler: job_handler.JobHandler, stopping: Callable[[], bool]
    ) -> None:
        super().__init__()
        self._handler = handler
        self._stopping = stopping
        self.in_flight = 0

    def render(self, request: Any) -> int:
        """Pass a request to the handler and write its response later."""
        job_request = job_handler.JobRequest(
            method=request.method.decode("latin-1"),
            host_name=_header(request, b"host") or "",
            path=request.path.decode("latin-1"),
            authorization=_header(request, b"authorization"),
            body=request.content.read(),
        )
        self.in_flight += 1
        disconnected: list[Any] = []
        request.notifyFinish().addErrback(disconnected.append)
        handling = defer.ensureDeferred(self._handler.handle(job_request))
        handling.addErrback(self._handle_failure)
        handling.addCallback(self._write_response, request, disconnected)
        return server.NOT_DONE_YET

    @staticmethod
    def _handle_failure(failure: Any) -> job_handler.JobResponse:
        catalogue.emit(
            logger,
            events.StepFailed(
                "callers' request",
                repr(failure.value),
                "".join(traceback.format_exception(failure.value)),
            ),
        )
        text = "internal error (verdict: may-have-run)"
        return job_handler.JobResponse(502, job_requests.encode_error(text))

    def _write_response(
        self,
        response: job_handler.JobResponse,
        request: Any,
        disconnected: list[Any],
    ) -> None:
        self.in_flight -= 1
        if disconnected:
            return
        request.setResponseCode(response.status)
        if response.body:
            request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", str(len(response.body)).encode())
        if response.retry_after_s is not None:
            request.setHeader(
                b"retry-after", str(response.retry_after_s).encode()
            )
        if self._stopping():
            request.setHeader(b"connection", b"close")
        request.write(response.body)
        request.finish()


def _header(request: Any, name: bytes) -> str | None:
    """Return a header's value, whatever bytes it has."""
    value = request.getHeader(name)
    return None if value is None else value.decode("latin-1")


class ReadinessResource(resource.Resource):
    """Answers the load balancer's readiness check."""

    isLeaf = True  # noqa: N815

    def __init__(self, ready: Callable[[], bool]) -> None:
        super().__init__()
        self._ready = ready

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Respond with 200 if this host can serve callers, else with 503."""
        if not self._ready():
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""


class NoAccessLogSite(server.Site):
    """Twisted site without an access log; requests are logged as events."""

    def __init__(self, root: resource.Resource, idle_s: float) -> None:
        super().__init__(
            root,
            requestFactory=bounded_request.BoundedRequest,
            # Bodies are JSON, whatever their type says.
            parsePOSTFormSubmission=False,
            timeout=idle_s,
        )

    def log(self, request: Any) -> None:
        """Do nothing: requests are logged as events."""
