"""Finds the team of a caller and checks that it may use a queue."""

import dataclasses

from returns import result
from twisted.web import http_headers

from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models


@dataclasses.dataclass(frozen=True, slots=True)
class AccessDenied:
    """Why a caller may not use a queue."""

    status: int
    problem: str
    detail: str


def parse_api_key(headers: http_headers.Headers) -> str | None:
    """Return the key of an ``Authorization: Bearer`` header, if any."""
    values = headers.getRawHeaders("Authorization", [])
    if len(values) != 1:
        return None
    scheme, _, api_key = values[0].partition(" ")
    if scheme.lower() != "bearer" or not api_key.strip():
        return None
    return api_key.strip()


def authorize_caller(
    state: fleet.FleetState,
    queue: manifest_models.Queue,
    headers: http_headers.Headers,
) -> result.Result[str, AccessDenied]:
    """Return the name of the team that a request belongs to.

    The name is empty for a request without a key on a queue open to all,
    since it belongs to no team.
    """
    api_key = parse_api_key(headers)
    if api_key is None and not queue.teams:
        return result.Success("")
    # Only digests are looked up, so the response time doesn't reveal how
    # much of a guessed key is correct.
    digest = fleet.digest_api_key(api_key or "")
    team = state.team_by_digest.get(digest)
    if team is None:
        return result.Failure(
            AccessDenied(
                401,
                "unauthorized",
                "No valid key came with the request",
            )
        )
    if queue.teams and team not in queue.teams:
        return result.Failure(
            AccessDenied(
                403,
                "forbidden",
                f"Team {team} may not use queue {queue.name}",
            )
        )
    return result.Success(team)
