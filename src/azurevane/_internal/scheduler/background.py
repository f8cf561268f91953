"""Steps of the program that run on their own."""

from collections.abc import Coroutine
import logging
import traceback
from typing import Any

from twisted.internet import defer

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events

logger = logging.getLogger(__name__)


def spawn(coroutine: Coroutine[Any, Any, Any], step: str) -> None:
    """Run a step on its own; an unexpected error is logged."""

    defer.ensureDeferred(coroutine).addErrback(
        lambda failure: log_step_failure(step, failure.value)
    )


def log_step_failure(step: str, error: BaseException) -> None:
    """Log an unexpected error of a step that goes on or is given up."""
    catalogue.emit(
        logger,
        events.StepFailed(
            step, repr(error), "".join(traceback.format_exception(error))
        ),
    )
