"""Schedules of faults around series of leader changes, drawn from a seed.

Each fault's targets depend only on its own random value and on the state of
the site, so that a schedule without some of its faults is still valid and the
smallest failing one can be searched for.
"""

import dataclasses
import random

FAULTS_BEGIN_S = 4.0
FAULTS_LAST_S = 22.0
LEADER_FAULTS = ("stop", "stop", "stop", "freeze", "freeze", "kill")
OTHER_FAULTS = (
    "lose_writes",
    "lose_writes",
    "late_writes",
    "late_writes",
    "store_slow",
    "store_down",
    "store_refuses",
    "store_silent",
    "reset",
    "reset",
    "reset",
    "unreachable",
    "unreachable",
    "unreachable",
    "flicker",
    "flicker",
    "flicker",
    "flicker",
    "late_commands",
    "crash",
    "restart",
    "unlist",
    "hosts_slow",
    "hosts_connect_slow",
    "hosts_late",
    "lose_for_leader",
    "cut_from_leader",
    "cut_from_others",
    "cut_from_others",
    "wave",
    "cancel",
    "cancel",
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of a schedule.

    Attributes:
        at: seconds after the start of the site.
        pick: random value below 1 that selects the targets.
    """

    at: float
    kind: str
    duration_s: float
    pick: float


def draw_schedule(seed, without=()):
    """Return the faults of a seed, but for the named kinds."""
    draw = random.Random(seed)
    faults = []

    def add(kind, at):
        at = min(max(at, FAULTS_BEGIN_S), FAULTS_LAST_S)
        duration_s = draw.uniform(0.3, 6.0)
        faults.append(Fault(round(at, 3), kind, duration_s, draw.random()))

    for _ in range(draw.randint(2, 4)):
        at = draw.uniform(FAULTS_BEGIN_S, FAULTS_LAST_S - 2.0)
        for _ in range(draw.randint(2, 9)):
            add(draw.choice(OTHER_FAULTS), at + draw.uniform(-2.5, 3.0))
        for _ in range(draw.randint(2, 6)):
            add(draw.choice(LEADER_FAULTS), at)
            at += draw.uniform(0.1, 1.5)
    faults.sort(key=lambda fault: fault.at)
    return [fault for fault in faults if fault.kind not in without]
