"""The question that one entry host asks another: do you still lead?"""

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

logger = logging.getLogger(__name__)

PATH = "/azurevane/leader"
# Many round trips inside a region; without an answer the lease decides.
ANSWER_TIMEOUT_S = 0.4


class _Question(msgspec.Struct):
    token: int
    asker: str


class _Answer(msgspec.Struct):
    leads: bool


class LeaderStatus(enum.Enum):
    """What is known of a reign after its host was asked."""

    LEADS = "leads"
    NOT_LEADING = "gave up"
    NOT_LISTENING = "gone"
    NO_ANSWER = "no answer"


class LeaderQueryClient:
    """Asks hosts whether they lead."""

    def __init__(self, client: http_client.HttpClient, host_name: str) -> None:
        self._client = client
        self._host_name = host_name

    async def query_leader(
        self, address: host_settings.Address, token: int
    ) -> LeaderStatus:
        """Return whether the host at an address leads under a token.

        A host's process listens for as long as it may lead, so an address
        at which nothing listens shows that the process has ended.
        """
        try:
            answer = await self._client.call(
                address,
                b"POST",
                PATH,
                {"token": token, "asker": self._host_name},
                timeout_s=ANSWER_TIMEOUT_S,
            )
            decoded = http_client.decode_response(
                answer, _Answer, f"question to {address}"
            )
        except exceptions.CallFailed as failure:
            logger.info("Question about a reign: %s", failure)
            return (
                LeaderStatus.NOT_LISTENING
                if failure.refused
                else LeaderStatus.NO_ANSWER
            )
        return (
            LeaderStatus.LEADS if decoded.leads else LeaderStatus.NOT_LEADING
        )


def answer_query(body: bytes, leads: Callable[[int, str], bool]) -> bytes:
    """Return the answer to a question.

    Args:
        leads: whether this host leads under a token, asked by a host.

    Raises:
        MsgspecError: the question is malformed.
    """
    question = msgspec.json.decode(body, type=_Question)
    return msgspec.json.encode(_Answer(leads(question.token, question.asker)))


class LeaderResource(resource.Resource):
    """Answers other hosts' questions."""

    isLeaf = True  # noqa: N815

    def __init__(self, leads: Callable[[int, str], bool]) -> None:
        super().__init__()
        self._leads = leads

    def render(self, request: server.Request) -> bytes:
        """Return 200 with the answer, or 400."""
        if request.method != b"POST" or request.path.decode() != PATH:
            request.setResponseCode(http.NOT_FOUND)
            return b""
        try:
            return answer_query(request.content.read(), self._leads)
        except msgspec.MsgspecError as error:
            request.setResponseCode(http.BAD_REQUEST)
            return str(error).encode()
