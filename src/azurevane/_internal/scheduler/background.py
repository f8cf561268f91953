"""Coroutines that run in the background and log their errors."""

from collections.abc import Coroutine
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


def log_step_failure(step: str, error: BaseException) -> None:
    """Log an unexpected error of a step, whether or not it continues."""
    catalogue.emit(
        logger,
        events.StepFailed(
            step, repr(error), "".join(traceback.format_exception(error))
        ),
    )
