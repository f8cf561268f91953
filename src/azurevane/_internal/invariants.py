"""Checks of invariants at run time.

The setting ``check`` in section ``invariants`` enables them. The caller of
a check passes values that it has recounted, independently of the counters
on which decisions are based, so that a wrong counter is detected.
"""

import logging

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import invariant_events

logger = logging.getLogger(__name__)

_checks_enabled = False


def set_checks_enabled(enabled: bool) -> None:
    """Enable or disable the checks in this process."""
    global _checks_enabled
    _checks_enabled = enabled


def checks_enabled() -> bool:
    """Whether callers should recount the values and check them."""
    return _checks_enabled


def check_permits_in_use(
    limit_key: str, running: int, held: int, limit: int
) -> None:
    """Check that an admission exceeds neither the permits nor the limit.

    Args:
        running: permits of the key in use here, including the new one.
        held: permits of the key that this host may use.
        limit: upper limit of the team, or slots of the runner.

    Raises:
        InvariantViolation: more permits are in use than this host holds
            or the limit allows.
    """
    if running <= min(held, limit):
        return
    event = (
        invariant_events.TeamOverLimit
        if limit_key.startswith("team:")
        else invariant_events.RunnerOverSlots
    )
    _report_violation(event(limit_key, running, held, limit))


def check_base_parts(limit_key: str, parts: int, limit: int) -> None:
    """Check that the base parts of all seats don't exceed the limit.

    Raises:
        InvariantViolation: the sum of the base parts exceeds the limit.
    """
    if parts > limit:
        _report_violation(
            invariant_events.PartsOverLimit(limit_key, parts, limit)
        )


def _report_violation(event: catalogue.Event) -> None:
    catalogue.emit(logger, event)
    summary = catalogue.entry_by_type[type(event)].summary
    raise exceptions.InvariantViolation(f"{summary} {event}")
