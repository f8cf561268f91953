"""Exit codes of the operators' commands."""

import enum


class ExitCode(enum.IntEnum):
    """Outcome of a command, for use in scripts."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    NOT_FOUND = 7
