"""Parses and checks the heads of callers' requests."""

import dataclasses
import re

from returns import result
from twisted.web import http_headers

# Longest deadline that a caller may set; a longer one is refused as a mistake.
MAX_DEADLINE_MS = 3_600_000
# Request ids are kept in the claim journal, so their length is bounded.
MAX_REQUEST_ID_LENGTH = 128

_ORIGIN_FORM = re.compile(r"/[\x21-\x7e]*\Z")
_REQUEST_ID = re.compile(r"[\x21-\x7e]+\Z")
_DIGITS = re.compile(r"[0-9]{1,9}\Z")


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """What a request states before its body is read.

    Attributes:
        length: bytes of the body; None if it is chunked.
        deadline_ms: milliseconds from now, if the caller states any.
        request_id: ``Idempotency-Key``, or None.
    """

    method: str
    path: str
    headers: http_headers.Headers
    length: int | None
    deadline_ms: int | None = None
    request_id: str | None = None


def parse_head(
    method: str,
    path: str,
    headers: http_headers.Headers,
    length: int | None,
    version: bytes,
) -> result.Result[RequestHead, str]:
    """Return the checked head, or what is wrong with it."""
    if not _ORIGIN_FORM.match(path) or method == "CONNECT":
        return result.Failure("The target must be a path that starts with /")
    hosts = headers.getRawHeaders("Host", [])
    if len(hosts) > 1 or (not hosts and version == b"HTTP/1.1"):
        return result.Failure("There must be exactly one Host header")
    deadlines = headers.getRawHeaders("Azurevane-Deadline-Ms", [])
    deadline_ms = None
    if deadlines:
        if len(deadlines) > 1 or not _DIGITS.match(deadlines[0]):
            return result.Failure(
                "Azurevane-Deadline-Ms must be one whole number"
            )
        deadline_ms = int(deadlines[0])
        if deadline_ms > MAX_DEADLINE_MS:
            return result.Failure(
                f"Azurevane-Deadline-Ms is over {MAX_DEADLINE_MS}"
            )
    request_ids = headers.getRawHeaders("Idempotency-Key", [])
    if len(request_ids) > 1 or any(
        len(item) > MAX_REQUEST_ID_LENGTH or not _REQUEST_ID.match(item)
        for item in request_ids
    ):
        return result.Failure(
            "Idempotency-Key must be one text of 1 to"
            f" {MAX_REQUEST_ID_LENGTH} visible ASCII characters"
        )
    return result.Success(
        RequestHead(
            method,
            path,
            headers,
            length,
            deadline_ms,
            request_ids[0] if request_ids else None,
        )
    )
