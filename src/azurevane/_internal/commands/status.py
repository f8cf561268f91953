"""Status codes of the operators' command."""

import enum


class ExitCode(enum.IntEnum):
    """What a script learns from the exit code."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    NOT_FOUND = 7
