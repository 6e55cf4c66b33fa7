"""How often one host asks the platform for changes.

Answers large deployments: each change is told to every host by a call of its
own, so that calls grow with hosts times changes. There a few hosts read and tell
the others.
"""

import enum

import attrs

# Up to this many hosts each reads everything by itself, at once.
SMALL_HOSTS = 16
URGENT_WATCH_S = 2.5
CONFIRMED_WATCH_S = 1.0
RELAXED_WATCH_S = 15.0
# Hosts that read for others notice a silent connection before these would.
TELLER_WATCH_S = 1.5
TELLER_PAUSE_S = 0.05
# Costs no call; what other hosts told is confirmed this often.
TOLD_WATCH_S = 1.0
PAUSE_S_PER_HOST = 0.004
LONGEST_PAUSE_S = 0.3


class ChangeNeed(enum.Enum):
    """What depends on hearing of the changes of one kind."""

    RELAXED = "relaxed"
    # Requests are wrongly served soon after a change that is not known.
    URGENT = "urgent"
    # Work waits for the confirmation that nothing has changed, too.
    CONFIRMED = "confirmed"


WATCH_S_BY_NEED = {
    ChangeNeed.RELAXED: RELAXED_WATCH_S,
    ChangeNeed.URGENT: URGENT_WATCH_S,
    ChangeNeed.CONFIRMED: CONFIRMED_WATCH_S,
}


class Reading(enum.Enum):
    """How a host learns of the shared objects."""

    FOR_ITSELF = "for itself"
    FOR_OTHERS = "for others"
    TOLD = "told"


@attrs.frozen
class WatchPace:
    """The pace of one watch.

    Parameters
    ----------
    watch_s : float
        Longest wait of one call, seconds. A connection that has fallen silent is
        noticed within this time.
    pause_s : float
        Wait after a change, so that one call brings several, seconds.
    """

    watch_s: float
    pause_s: float


def pace_watch(hosts, need, reading):
    """Choose the pace of a watch.

    Parameters
    ----------
    hosts : int
        Entry hosts, 0 or more.
    need : ChangeNeed
        What depends on it.
    reading : Reading
        How this host learns of changes at present.

    Returns
    -------
    WatchPace
        Slower at large size.

    Examples
    --------
    >>> pace_watch(9, ChangeNeed.RELAXED, Reading.FOR_ITSELF)
    WatchPace(watch_s=2.5, pause_s=0.0)
    >>> pace_watch(74, ChangeNeed.URGENT, Reading.FOR_ITSELF)
    WatchPace(watch_s=2.5, pause_s=0.296)
    >>> pace_watch(74, ChangeNeed.RELAXED, Reading.FOR_OTHERS)
    WatchPace(watch_s=1.5, pause_s=0.05)
    >>> pace_watch(74, ChangeNeed.RELAXED, Reading.TOLD)
    WatchPace(watch_s=1.0, pause_s=0.0)
    """
    if hosts <= SMALL_HOSTS:
        return WatchPace(min(WATCH_S_BY_NEED[need], URGENT_WATCH_S), 0.0)
    if reading is Reading.FOR_OTHERS:
        return WatchPace(TELLER_WATCH_S, TELLER_PAUSE_S)
    if reading is Reading.TOLD:
        return WatchPace(TOLD_WATCH_S, 0.0)
    return WatchPace(
        WATCH_S_BY_NEED[need], min(hosts * PAUSE_S_PER_HOST, LONGEST_PAUSE_S)
    )
