"""Events about violated invariants: numbers 1900 to 1999."""

import dataclasses
import logging

from azurevane._internal.events import catalogue


@catalogue.event(1901, logging.CRITICAL)
@dataclasses.dataclass(frozen=True, slots=True)
class TeamOverLimit(catalogue.Event):
    """Team runs more than its upper limit or the permits held here."""

    limit_key: str
    running: int
    held: int
    limit: int


@catalogue.event(1902, logging.CRITICAL)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerOverSlots(catalogue.Event):
    """Runner has more requests than its slots or the permits held here."""

    limit_key: str
    running: int
    held: int
    limit: int


@catalogue.event(1903, logging.CRITICAL)
@dataclasses.dataclass(frozen=True, slots=True)
class PartsOverLimit(catalogue.Event):
    """Base parts of all seats add up to more than the limit."""

    limit_key: str
    parts: int
    limit: int
