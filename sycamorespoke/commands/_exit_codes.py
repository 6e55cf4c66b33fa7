"""Exit codes of the operators' command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, on which scripts can rely.

    After ``REFUSED``, ``USAGE``, ``PLATFORM_UNAVAILABLE`` and ``CONFLICT`` nothing
    was applied; after ``NOT_IN_FORCE`` the change is committed.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    PLATFORM_UNAVAILABLE = 3
    CONFLICT = 4
    NOT_IN_FORCE = 5
    OUTCOME_UNKNOWN = 6
    INTERNAL = 70
    INTERRUPTED = 130
