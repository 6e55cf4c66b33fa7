"""How many requests of a service one host may send to the version on trial.

Each host keeps within a share of the requests that it sends itself. The sum over all
hosts then keeps within the share of all requests, however these are spread, and no
host needs to know what the others send.
"""

import math

from sycamorespoke import decisions

# Part of the allowed share that hosts use; the rest covers what they cannot see.
USED_SHARE = 0.8
# Part of the allowed slack with which the hosts begin, all together.
USED_SLACK = 0.4
# Requests that are kept for routes of which too few were tried.
KEPT_FOR_WANTED = 1


def compute_start_credit(host, hosts, key, slack):
    """Compute how many requests a host may try before it has sent any other.

    Parameters
    ----------
    host : str
        Name of this host.
    hosts : collection of str
        Names of all hosts.
    key : str
        Identifies the rollout, so that the hosts that begin vary.
    slack : float
        Requests that all hosts may send in addition to the share.

    Returns
    -------
    int
        The sum over all hosts is at most `USED_SLACK` of the slack.

    Examples
    --------
    >>> hosts = [f"h{number}" for number in range(7)]
    >>> sum(compute_start_credit(host, hosts, "k", 50.0) for host in hosts)
    20
    """
    ranked = decisions.rank_by_key(key, set(hosts) | {host})
    rank = ranked.index(host)
    credit = USED_SLACK * slack
    before = math.floor(credit * rank / len(ranked))
    return math.floor(credit * (rank + 1) / len(ranked)) - before


def may_try(sent, tried, share, credit, is_wanted=True):
    """Decide whether one more request may go to the version on trial.

    Parameters
    ----------
    sent : int
        Requests that this host has sent to the service since the order.
    tried : int
        Those of them that it has sent to the version on trial, or is about to.
    share : float
        Allowed share of the requests, 0 to 1.
    credit : float
        Requests that it may try in addition.
    is_wanted : bool, default=True
        Whether enough requests of other routes have been tried, or this route is one
        of which too few were.

    Examples
    --------
    >>> may_try(100, 7, 0.1, 0)
    True
    >>> may_try(100, 8, 0.1, 0)
    False
    >>> may_try(100, 7, 0.1, 0, is_wanted=False)
    False
    """
    wanted = tried + 1 + (0 if is_wanted else KEPT_FOR_WANTED)
    return wanted <= USED_SHARE * share * sent + credit


def select_subset(upstreams, fraction, key):
    """Select the upstreams that get the requests of a fraction.

    They carry about what an upstream carries ordinarily, so that a version that is bad
    only under load shows.

    Parameters
    ----------
    upstreams : list of Upstream
        Upstreams with the version on trial.
    fraction : float
        Fraction of the requests that go to the version, 0 to 1.
    key : str
        Identifies the rollout; every host selects the same for it.

    Returns
    -------
    list of Upstream
        At least one if there is any.
    """
    count = max(1, math.floor(len(upstreams) * fraction))
    if count >= len(upstreams):
        return upstreams
    by_id = {upstream.id: upstream for upstream in upstreams}
    return [by_id[name] for name in decisions.rank_by_key(key, by_id)[:count]]
