"""Timeouts and pauses with which a host watches the platform for changes.

When every host watches the platform, each change takes one API call per host, so that
the calls grow with hosts times changes. In a large deployment a few readers watch the
platform and relay the changes to the other hosts.
"""

import enum

import attrs

# With at most this many hosts, each host reads every change itself without a pause.
MAX_DIRECT_HOSTS = 16
URGENT_TIMEOUT_S = 2.5
CONFIRMED_TIMEOUT_S = 1.0
RELAXED_TIMEOUT_S = 15.0
# Readers detect a silent connection before the hosts that depend on them do.
READER_TIMEOUT_S = 1.5
READER_PAUSE_S = 0.05
# Relayed changes take no API call; they are confirmed at this interval.
RELAYED_TIMEOUT_S = 1.0
PAUSE_S_PER_HOST = 0.004
MAX_PAUSE_S = 0.3


class Freshness(enum.Enum):
    """How fresh a host's copy of one kind of object has to be."""

    RELAXED = "relaxed"
    # An outdated copy soon leads to wrongly served requests.
    URGENT = "urgent"
    # Work also waits for the confirmation that nothing has changed.
    CONFIRMED = "confirmed"


TIMEOUT_S_BY_FRESHNESS = {
    Freshness.RELAXED: RELAXED_TIMEOUT_S,
    Freshness.URGENT: URGENT_TIMEOUT_S,
    Freshness.CONFIRMED: CONFIRMED_TIMEOUT_S,
}


class ReadMode(enum.Enum):
    """How a host gets shared objects: directly, as a reader for others, or relayed."""

    DIRECT = "for itself"
    READER = "for others"
    RELAYED = "told"


@attrs.frozen
class WatchTiming:
    """Timing of one watch.

    Parameters
    ----------
    timeout_s : float
        Timeout of one long poll, seconds. A connection that has become silent is
        detected within this time.
    pause_s : float
        Pause after a change, seconds, so that the next API call returns several
        changes.
    """

    timeout_s: float
    pause_s: float


def choose_watch_timing(hosts, freshness, mode):
    """Choose the timing of a watch.

    Parameters
    ----------
    hosts : int
        Number of entry hosts, 0 or more.
    freshness : Freshness
        Freshness that the watched objects require.
    mode : ReadMode
        How this host currently reads the objects.

    Returns
    -------
    WatchTiming
        Short timeouts without pauses in a small deployment. In a large one the
        timing depends on the required freshness and the read mode.

    Examples
    --------
    >>> choose_watch_timing(9, Freshness.RELAXED, ReadMode.DIRECT)
    WatchTiming(timeout_s=2.5, pause_s=0.0)
    >>> choose_watch_timing(74, Freshness.URGENT, ReadMode.DIRECT)
    WatchTiming(timeout_s=2.5, pause_s=0.296)
    >>> choose_watch_timing(74, Freshness.RELAXED, ReadMode.READER)
    WatchTiming(timeout_s=1.5, pause_s=0.05)
    >>> choose_watch_timing(74, Freshness.RELAXED, ReadMode.RELAYED)
    WatchTiming(timeout_s=1.0, pause_s=0.0)
    """
    if hosts <= MAX_DIRECT_HOSTS:
        return WatchTiming(
            min(TIMEOUT_S_BY_FRESHNESS[freshness], URGENT_TIMEOUT_S), 0.0
        )
    if mode is ReadMode.READER:
        return WatchTiming(READER_TIMEOUT_S, READER_PAUSE_S)
    if mode is ReadMode.RELAYED:
        return WatchTiming(RELAYED_TIMEOUT_S, 0.0)
    return WatchTiming(
        TIMEOUT_S_BY_FRESHNESS[freshness], min(hosts * PAUSE_S_PER_HOST, MAX_PAUSE_S)
    )
