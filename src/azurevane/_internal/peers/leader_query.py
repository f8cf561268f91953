"""Queries by which entry hosts ask whether one of them still leads."""

from collections.abc import Callable
import enum
import logging

import msgspec
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.platform import http_client
from azurevane._internal.utils import json_decoding

logger = logging.getLogger(__name__)

PATH = "/azurevane/leader"
# Allows many round trips inside a region. Without a response, the expiry
# of the lease decides.
QUERY_TIMEOUT_S = 0.4


class _Question(msgspec.Struct):
    token: int
    asker: str


class _Answer(msgspec.Struct):
    leads: bool


class LeaderStatus(enum.Enum):
    """Result of a query about a leadership term.

    Attributes:
        LEADS: the host still leads under the token.
        NOT_LEADING: the host responded that it doesn't lead under it.
        NOT_LISTENING: the connection was refused: the process that led has
            ended, or can't be reached from here.
        NO_ANSWER: the query failed in another way; nothing is known.
    """

    LEADS = "leads"
    NOT_LEADING = "gave up"
    NOT_LISTENING = "gone"
    NO_ANSWER = "no answer"


class LeaderQueryClient:
    """Asks entry hosts whether they hold the leadership."""

    def __init__(self, client: http_client.HttpClient, host_name: str) -> None:
        self._client = client
        self._host_name = host_name

    async def query_leader(
        self, address: host_settings.Address, token: int
    ) -> LeaderStatus:
        """Ask the host at an address whether it leads under a token."""
        try:
            response = await self._client.call(
                address,
                b"POST",
                PATH,
                {"token": token, "asker": self._host_name},
                timeout_s=QUERY_TIMEOUT_S,
            )
            decoded = http_client.decode_response(
                response, _Answer, f"leader query to {address}"
            )
        except exceptions.CallFailed as failure:
            logger.info("Leader query failed: %s", failure)
            return (
                LeaderStatus.NOT_LISTENING
                if failure.refused
                else LeaderStatus.NO_ANSWER
            )
        return (
            LeaderStatus.LEADS if decoded.leads else LeaderStatus.NOT_LEADING
        )


def answer_query(body: bytes, leads: Callable[[int, str], bool]) -> bytes:
    """Return the body of the response to a leader query.

    Args:
        body: body of the query.
        leads: called with the token and the name of the asking host;
            returns whether this host leads under the token.

    Raises:
        MsgspecError: the body is malformed.
    """
    query = json_decoding.decode(body, _Question)
    return msgspec.json.encode(_Answer(leads(query.token, query.asker)))


class LeaderResource(resource.Resource):
    """Answers the leader queries of other hosts."""

    isLeaf = True  # noqa: N815

    def __init__(self, leads: Callable[[int, str], bool]) -> None:
        super().__init__()
        self._leads = leads

    def render(self, request: server.Request) -> bytes:
        """Respond with 200, with 400 if malformed, with 404 at other paths."""
        if request.method != b"POST" or request.path.decode() != PATH:
            request.setResponseCode(http.NOT_FOUND)
            return b""
        try:
            return answer_query(request.content.read(), self._leads)
        except msgspec.MsgspecError as error:
            request.setResponseCode(http.BAD_REQUEST)
            return str(error).encode()
