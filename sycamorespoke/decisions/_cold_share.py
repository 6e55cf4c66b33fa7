"""The part of a cold upstream's rate that one host may use.

Answers upstreams that start, or turn cold again, under full traffic: the hosts
keep to its rate together, without a message between them.
"""

import math

import attrs

from sycamorespoke.decisions import _placement


@attrs.frozen
class ColdRateLimit:
    """What a cold upstream bears.

    Parameters
    ----------
    requests_per_s : float
        Requests per second from all hosts together.
    burst_factor : float
        Times the rate that is still allowed in one second, 1 or more.
    slack : float
        Requests in addition that are still allowed in one second.
    """

    requests_per_s: float
    burst_factor: float
    slack: float


@attrs.frozen
class ColdShare:
    """What one host may send to a cold upstream.

    Parameters
    ----------
    requests_per_s : float
        Its rate; 0 if it sends nothing.
    burst : float
        Requests at once.
    """

    requests_per_s: float
    burst: float


def compute_cold_share(rate, host, hosts, upstream):
    """Compute the share of one host of a cold upstream's rate.

    Parameters
    ----------
    rate : ColdRateLimit
        What the upstream bears.
    host : str
        This host.
    hosts : collection of str
        All hosts, those in and out of touch.
    upstream : str
        Name of this start of the upstream.

    Returns
    -------
    ColdShare
        Every host may send a burst of one at the same moment; so only as many
        hosts take part as bursts fit beside the rate.

    Examples
    --------
    >>> rate = ColdRateLimit(requests_per_s=20.0, burst_factor=1.5, slack=5.0)
    >>> share = compute_cold_share(rate, "h1", ["h1", "h2"], "engine")
    >>> share.requests_per_s, share.burst
    (9.0, 1.0)
    """
    most = rate.requests_per_s * rate.burst_factor + rate.slack
    # A tenth of the rate is left for requests that are under way between hosts.
    used_per_s = rate.requests_per_s * 0.9
    most_hosts = max(math.floor(most - used_per_s) - 1, 1)
    taking_part = _placement.rank_by_key(upstream, set(hosts) | {host})[:most_hosts]
    if host not in taking_part:
        return ColdShare(0.0, 0.0)
    return ColdShare(used_per_s / len(taking_part), 1.0)
