"""Events about programs: numbers 5000 to 5999."""

import dataclasses

from azurevane._internal.events import catalogue


@catalogue.event(5001)
@dataclasses.dataclass(frozen=True, slots=True)
class ProgramStarted(catalogue.Event):
    """Program started and listening."""

    program: str
    address: str
    version: str


@catalogue.event(5002)
@dataclasses.dataclass(frozen=True, slots=True)
class ProgramStopping(catalogue.Event):
    """Program stops gracefully."""

    program: str
    running: int


@catalogue.event(5003)
@dataclasses.dataclass(frozen=True, slots=True)
class SettingsReloaded(catalogue.Event):
    """Settings reloaded."""

    path: str
