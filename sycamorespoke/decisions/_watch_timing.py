"""How often one host asks the platform for changes.

Answers large deployments: each change is told to every host by a call of its
own, so that calls grow with hosts times changes. There a few hosts read and tell
the others.
"""

import enum

import attrs

# Up to this many hosts each reads everything by itself, at once.
MAX_DIRECT_HOSTS = 16
URGENT_TIMEOUT_S = 2.5
CONFIRMED_TIMEOUT_S = 1.0
RELAXED_TIMEOUT_S = 15.0
# Hosts that read for others notice a silent connection before these would.
READER_TIMEOUT_S = 1.5
READER_PAUSE_S = 0.05
# Costs no call; what other hosts told is confirmed this often.
RELAYED_TIMEOUT_S = 1.0
PAUSE_S_PER_HOST = 0.004
MAX_PAUSE_S = 0.3


class Freshness(enum.Enum):
    """What depends on hearing of the changes of one kind."""

    RELAXED = "relaxed"
    # Requests are wrongly served soon after a change that is not known.
    URGENT = "urgent"
    # Work waits for the confirmation that nothing has changed, too.
    CONFIRMED = "confirmed"


TIMEOUT_S_BY_FRESHNESS = {
    Freshness.RELAXED: RELAXED_TIMEOUT_S,
    Freshness.URGENT: URGENT_TIMEOUT_S,
    Freshness.CONFIRMED: CONFIRMED_TIMEOUT_S,
}


class ReadMode(enum.Enum):
    """How a host learns of the shared objects."""

    DIRECT = "for itself"
    READER = "for others"
    RELAYED = "told"


@attrs.frozen
class WatchTiming:
    """The pace of one watch.

    Parameters
    ----------
    timeout_s : float
        Longest wait of one call, seconds. A connection that has fallen silent is
        noticed within this time.
    pause_s : float
        Wait after a change, so that one call brings several, seconds.
    """

    timeout_s: float
    pause_s: float


def choose_watch_timing(hosts, freshness, mode):
    """Choose the pace of a watch.

    Parameters
    ----------
    hosts : int
        Entry hosts, 0 or more.
    freshness : Freshness
        What depends on it.
    mode : ReadMode
        How this host learns of changes at present.

    Returns
    -------
    WatchTiming
        Slower at large size.

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
