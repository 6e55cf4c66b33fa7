"""Decides which connections of callers are closed, and when.

Progress is that a caller sent or read a stated number of bytes, sent the rest of a
request, or read the rest of an answer.
"""

import enum

import attrs

# From when on a caller counts as too slow if it makes no progress, while others wait.
SLOW_S = 2.0
# The same, if its request is still running.
SLOW_STREAM_S = 5.0
# Callers that made progress within this time keep their bytes.
RECENT_S = 0.25
# Longest time without progress while nobody waits.
MAX_STILL_S = 60.0
# Callers send a head within the configured time; the network may delay it.
HEAD_TIMEOUT_FACTOR = 2.0
HEAD_TIMEOUT_MARGIN_S = 1.0


class Stage(enum.Enum):
    """What a connection waits for."""

    # An answer, of which nothing is unread.
    RUNNING = enum.auto()
    # An answer of which the caller has not read what there is.
    STREAMING = enum.auto()
    # The caller, for the rest of a request or to read an answer.
    SLOW = enum.auto()
    # The first request.
    NEW = enum.auto()
    # The next request, after an answer.
    IDLE = enum.auto()


class CloseReason(enum.Enum):
    """Why connections are closed before their callers do."""

    PLACES = "places"
    BYTES = "bytes"
    HEAD_TIMEOUT = "head_timeout"
    SLOW = "slow"
    IDLE = "idle"


@attrs.frozen
class Connection:
    """A connection of a caller, as seen by the decision.

    Parameters
    ----------
    key : int
        Identifies it.
    stage : Stage
        What it waits for.
    still_since_s : float
        Time of the last progress, seconds of the boot clock.
    held_bytes : int
        Bytes that are held for it.
    head_since_s : float or None, default=None
        When the head that is not complete yet began; ``None`` without one.
    """

    key: int
    stage: Stage
    still_since_s: float
    held_bytes: int
    head_since_s: float | None = None


def choose_for_places(connections, now, idle_s, count):
    """Choose connections to close so that others have a place.

    Idle connections beyond the stated time go first, then slow callers, then other
    idle connections, then callers that made progress lately; of each, the one that
    made no progress for longest. Running requests stay, so that a new connection is
    chosen itself where all others have one.

    Parameters
    ----------
    connections : iterable of Connection
        All of them.
    now : float
        Current time, seconds of the boot clock.
    idle_s : float
        For how long an idle connection is kept, seconds.
    count : int
        How many places are missing.

    Returns
    -------
    list of int
        Keys, at most ``count``.
    """
    return [each.key for each in _sort(connections, now, idle_s)[:count]]


def choose_for_bytes(connections, now, idle_s, missing_bytes):
    """Choose connections to close so that others have room in memory.

    Callers that made progress within `RECENT_S`, and idle connections within the
    stated time, stay.

    Parameters
    ----------
    connections, now, idle_s
        As for `choose_for_places`.
    missing_bytes : int
        How many bytes are missing.

    Returns
    -------
    list of int
        Keys; none if all together would not be enough.
    """
    chosen = []
    for each in _sort(connections, now, idle_s):
        if _may_lose_bytes(each, now, idle_s):
            chosen.append(each.key)
            missing_bytes -= each.held_bytes
            if missing_bytes <= 0:
                return chosen
    return []


def find_overdue(connection, now, header_s, idle_timeout_s):
    """Find why a connection is closed though nobody waits for its place.

    Parameters
    ----------
    connection : Connection
        The connection.
    now : float
        Current time, seconds of the boot clock.
    header_s : float
        Time within which callers send a head, seconds.
    idle_timeout_s : float
        Longest time without a request, seconds.

    Returns
    -------
    CloseReason or None
        ``None`` if it stays.
    """
    still_s = now - connection.still_since_s
    if connection.stage in {Stage.IDLE, Stage.NEW}:
        return CloseReason.IDLE if still_s > idle_timeout_s else None
    if connection.stage is Stage.RUNNING:
        return None
    if connection.head_since_s is not None:
        head_timeout_s = header_s * HEAD_TIMEOUT_FACTOR + HEAD_TIMEOUT_MARGIN_S
        if now - connection.head_since_s > head_timeout_s:
            return CloseReason.HEAD_TIMEOUT
    return CloseReason.SLOW if still_s > MAX_STILL_S else None


def _sort(connections, now, idle_s):
    ranked = [(_rank(each, now, idle_s), each) for each in connections]
    candidates = [pair for pair in ranked if pair[0] is not None]
    candidates.sort(key=lambda pair: (pair[0], pair[1].still_since_s))
    return [each for _, each in candidates]


def _rank(connection, now, idle_s):
    """Return the place of a connection in the order, lowest first; or ``None``."""
    still_s = now - connection.still_since_s
    match connection.stage:
        case Stage.RUNNING:
            return None
        case Stage.STREAMING:
            return 1 if still_s >= SLOW_STREAM_S else None
        case Stage.IDLE:
            return 0 if still_s > idle_s else 2
    return 1 if still_s >= SLOW_S else 3


def _may_lose_bytes(connection, now, idle_s):
    still_s = now - connection.still_since_s
    if connection.stage is Stage.IDLE:
        return still_s > idle_s
    return still_s >= RECENT_S
