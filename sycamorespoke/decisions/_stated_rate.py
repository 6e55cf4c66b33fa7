"""Division of a rate limit that an upstream states among the entry hosts.

An upstream in need states in its responses how many requests per second it accepts
from all hosts together. Each host computes its own share, so that all hosts together
keep to the limit without exchanging messages.
"""

import math

import attrs

from sycamorespoke.decisions import _placement, _rate_share

# The limit holds over any span of this length.
WINDOW_S = 4.0
# Multiple of the limit that is tolerated within a window, and requests in addition.
TOLERANCE = 1.5
SLACK_REQUESTS = 5.0
# A tenth of the rate is reserved for requests that are still in flight.
SHARED_RATIO = 0.9
# Part of the slack that is left for hosts in their turn.
RESERVED_REQUESTS = 3.0
# Length of a turn. The turns of two hosts do not overlap.
TURN_S = 4.0


@attrs.frozen
class TurnShare:
    """Turns of a host without a share of the rate.

    In each turn the host may send one request, whose response shows whether the
    upstream still states a limit.

    Parameters
    ----------
    first_s : float
        Time from when the host learned of the limit to its first turn, seconds.
    period_s : float
        Time from one turn to the next, seconds.
    """

    first_s: float
    period_s: float


def compute_stated_share(limit_per_s, host, hosts, upstream):
    """Compute one host's share of a rate limit that an upstream states.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that the upstream accepts from all hosts, 0 or more.
    host : str
        Name of this host.
    hosts : collection of str
        Names of all hosts, reachable or not.
    upstream : str
        Boot ID of the upstream.

    Returns
    -------
    RateShare or TurnShare
        All hosts with a share may send their burst of one request at the same
        moment. Therefore only as many hosts get a share as bursts fit within what
        is tolerated; the others have turns.

    Examples
    --------
    >>> compute_stated_share(2.0, "h1", ["h1", "h2"], "engine")
    RateShare(requests_per_s=0.9, burst=1.0)
    >>> hosts = [f"h{n}" for n in range(40)]
    >>> shares = [compute_stated_share(2.0, each, hosts, "engine") for each in hosts]
    >>> sum(isinstance(share, TurnShare) for share in shares)
    34
    """
    ranked = _placement.rank_by_key(upstream, set(hosts) | {host})
    rank = ranked.index(host)
    max_senders = _count_senders(limit_per_s)
    if rank < max_senders:
        senders = min(max_senders, len(ranked))
        return _rate_share.RateShare(limit_per_s * SHARED_RATIO / senders, 1.0)
    others = len(ranked) - max_senders
    position = rank - max_senders
    return TurnShare(first_s=(1 + position) * TURN_S, period_s=(1 + others) * TURN_S)


def find_turn(share, elapsed_s):
    """Return the number of a host's current turn.

    Parameters
    ----------
    share : TurnShare
        Turns of the host.
    elapsed_s : float
        Time since the host learned of the limit, seconds.

    Returns
    -------
    int or None
        0 for the first turn; ``None`` between turns.

    Examples
    --------
    >>> share = TurnShare(first_s=8.0, period_s=20.0)
    >>> [find_turn(share, elapsed_s) for elapsed_s in (7.9, 8.0, 11.9, 12.0, 28.0)]
    [None, 0, 0, None, 1]
    """
    turn, since_s = divmod(elapsed_s - share.first_s, share.period_s)
    return int(turn) if turn >= 0 and since_s < TURN_S else None


def _count_senders(limit_per_s):
    if limit_per_s <= 0:
        return 0
    tolerated = TOLERANCE * limit_per_s * WINDOW_S + SLACK_REQUESTS
    sustained = SHARED_RATIO * limit_per_s * WINDOW_S
    return max(math.floor(tolerated - sustained - RESERVED_REQUESTS), 1)
