"""Coroutines that run in the background and log their errors."""

from collections.abc import Callable, Coroutine
import logging
import traceback
from typing import Any

from twisted.internet import defer

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events

logger = logging.getLogger(__name__)


def spawn(coroutine: Coroutine[Any, Any, Any], step: str) -> None:
    """Run a coroutine in the background and log an unexpected error."""

    defer.ensureDeferred(coroutine).addErrback(
        lambda failure: log_step_failure(step, failure.value)
    )


def run_step(step: str, function: Callable[[], object]) -> bool:
    """Call a function; log an unexpected error, and return whether it ran.

    For the steps of a periodic task, so that one that fails keeps neither the
    steps after it nor the next call from running.
    """
    try:
        function()
    except Exception as error:
        log_step_failure(step, error)
        return False
    return True


def log_step_failure(step: str, error: BaseException) -> None:
    """Log an unexpected error of a step, whether or not it continues."""
    catalogue.emit(
        logger,
        events.StepFailed(
            step, repr(error), "".join(traceback.format_exception(error))
        ),
    )
