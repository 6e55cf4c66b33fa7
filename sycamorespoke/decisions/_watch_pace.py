"""How often one host asks the platform for changes.

Answers large deployments: each change is told to every host by a call of its
own, so that calls grow with hosts times changes.
"""

import attrs

# Up to this many hosts every change is fetched at once.
SMALL_HOSTS = 16
URGENT_WATCH_S = 2.5
RELAXED_WATCH_S = 15.0
PAUSE_S_PER_HOST = 0.004
LONGEST_PAUSE_S = 0.3


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


def pace_watch(hosts, is_urgent):
    """Choose the pace of a watch.

    Parameters
    ----------
    hosts : int
        Entry hosts, 0 or more.
    is_urgent : bool
        Requests are wrongly served soon after a change that is not known.

    Returns
    -------
    WatchPace
        Slower at large size.

    Examples
    --------
    >>> pace_watch(9, is_urgent=False)
    WatchPace(watch_s=2.5, pause_s=0.0)
    >>> pace_watch(74, is_urgent=True)
    WatchPace(watch_s=2.5, pause_s=0.296)
    """
    if hosts <= SMALL_HOSTS:
        return WatchPace(URGENT_WATCH_S, 0.0)
    pause_s = min(hosts * PAUSE_S_PER_HOST, LONGEST_PAUSE_S)
    return WatchPace(URGENT_WATCH_S if is_urgent else RELAXED_WATCH_S, pause_s)
