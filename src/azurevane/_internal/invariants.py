"""Checks of invariants while the program runs.

The setting ``check`` in section ``invariants`` turns them on. Each check
takes figures that its caller has counted anew, apart from the counters on
which decisions are based, so that a fault in a counter is found.
"""

import logging

from azurevane import exceptions
from azurevane._internal.events import catalogue
from azurevane._internal.events import invariant_events

logger = logging.getLogger(__name__)

_enabled = False


def enable(on: bool) -> None:
    """Turn the checks on or off for this process."""
    global _enabled
    _enabled = on


def enabled() -> bool:
    """Whether callers should count the figures and check them."""
    return _enabled


def check_admission(
    limit_key: str, running: int, held: int, limit: int
) -> None:
    """Check that an admission kept to the permits and the limit.

    Args:
        running: permits of the key in use here, the new one included.
        held: permits of the key that this host holds for use.
        limit: upper limit of the team, or slots of the runner.

    Raises:
        InvariantViolation: more is running than held or allowed.
    """
    if running <= min(held, limit):
        return
    event = (
        invariant_events.TeamOverLimit
        if limit_key.startswith("team:")
        else invariant_events.RunnerOverSlots
    )
    _violated(event(limit_key, running, held, limit))


def check_parts(limit_key: str, parts: int, limit: int) -> None:
    """Check that the base parts of all seats add up to the limit.

    Raises:
        InvariantViolation: the seats may use more than the limit.
    """
    if parts > limit:
        _violated(invariant_events.PartsOverLimit(limit_key, parts, limit))


def _violated(event: catalogue.Event) -> None:
    catalogue.emit(logger, event)
    summary = catalogue.entry_by_type[type(event)].summary
    raise exceptions.InvariantViolation(f"{summary} {event}")
