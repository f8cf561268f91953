"""Finds the queue and the API key of a caller's request."""

import dataclasses

from azurevane._internal.models import site


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """The queue of a path.

    Attributes:
        job_id: path after the queue's prefix, not checked to be a job id;
            empty for the queue itself.
    """

    queue: site.Queue
    job_id: str


class JobRoutes:
    """Routes requests to queues by host name and path prefix."""

    def __init__(self, config: site.SiteConfig) -> None:
        queues_by_host: dict[str, list[site.Queue]] = {}
        for queue in config.queue_by_name.values():
            queues_by_host.setdefault(queue.host_name, []).append(queue)
        for queues in queues_by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        self._queues_by_host = queues_by_host

    def find(self, host_name: str, path: str) -> RouteMatch | None:
        """Return the queue with the longest matching path prefix."""
        name = host_name.rsplit(":", 1)[0].lower()
        for queue in self._queues_by_host.get(name, ()):
            if path.startswith(queue.path_prefix):
                return RouteMatch(queue, path[len(queue.path_prefix) :])
        return None


def bearer_key(authorization: str | None) -> str:
    """Return the API key of an Authorization header, or an empty string."""
    scheme, _, key = (authorization or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
