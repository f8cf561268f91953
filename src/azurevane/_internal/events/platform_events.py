"""Events about the services of the platform: numbers 4000 to 4999."""

import dataclasses
import logging

from azurevane._internal.events import catalogue


@catalogue.event(4001, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed(catalogue.Event):
    """Table service gave no usable answer."""

    operation: str
    detail: str
