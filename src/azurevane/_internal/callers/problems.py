"""Encodes refusals as problem documents (RFC 9457)."""

import math

import msgspec

from azurevane._internal.models import request as request_models

TYPE_PREFIX = "urn:azurevane:problem:"


def encode_problem(refusal: request_models.Refusal) -> bytes:
    """Return the body of a refusal as ``application/problem+json``."""
    body = {
        "type": TYPE_PREFIX + refusal.problem,
        "title": refusal.problem.replace("-", " ").capitalize(),
        "status": refusal.status,
        "detail": refusal.detail,
        "verdict": refusal.verdict.value,
    }
    return msgspec.json.encode(body)


def retry_after_header(refusal: request_models.Refusal) -> bytes | None:
    """Return the value of ``Retry-After``, or None.

    The value is in seconds, rounded up and at least 1.
    """
    if refusal.retry_after_s is None:
        return None
    return str(max(1, math.ceil(refusal.retry_after_s))).encode()
