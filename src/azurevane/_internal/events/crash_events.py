"""Events about crashes of runners and the tasks that may have caused them."""

import dataclasses
import logging

from azurevane._internal.events import catalogue


@catalogue.event(6100, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCrashJudged(catalogue.Event):
    """Runner crashed; its cause was decided.

    Attributes:
        cause: causes for the jobs that were starting there, empty if none
            was.
        latest_s_ago: time since the runner had certainly crashed.
        within_s: length of the time within which it crashed.
        starting: number of runs that had just started there, or may have.
        jobs: number of jobs of these runs.
        coinciding: number of other runners that crashed at the same time.
    """

    runner: str
    cause: str
    latest_s_ago: float
    within_s: float
    runs: int
    starting: int
    jobs: int
    coinciding: int


@catalogue.event(6101, logging.WARNING)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskSuspected(catalogue.Event):
    """Task may have crashed the runner that had just started it.

    Attributes:
        heard_s: time after its start for which the runner was heard from,
            by the runner's clock; None if the start wasn't confirmed.
        crashes: number of runners that crashed under it by themselves.
        uncertain_crashes: number of those that crashed together with others.
        alone: whether only its job was starting on the runner.
        given_up: whether the task isn't started again.
    """

    task: str
    attempt: int
    runner: str
    cause: str
    heard_s: float | None
    crashes: int
    uncertain_crashes: int
    alone: bool
    given_up: bool


@catalogue.event(6102)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskCleared(catalogue.Event):
    """Suspected task ran without crashing its runner."""

    task: str
    attempt: int
    runner: str
    reason: str


@catalogue.event(6103)
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReserved(catalogue.Event):
    """Runner starts nothing else until a suspected task has started."""

    runner: str
    task: str
    runs: int
    reserved_s: float
