"""Division of a cold upstream's rate limit among the entry hosts.

Upstreams may start, or turn cold again, under full traffic. Each host computes its
own share, so that all hosts together keep to the rate limit without exchanging
messages.
"""

import math

import attrs

from sycamorespoke.decisions import _placement, _rate_share


@attrs.frozen
class ColdRateLimit:
    """The rate limit of a cold upstream.

    Parameters
    ----------
    requests_per_s : float
        Sustained rate of all hosts together.
    burst_factor : float
        Multiple of the rate that is tolerated within one second, 1 or more.
    slack : float
        Requests tolerated within one second in addition to that multiple.
    """

    requests_per_s: float
    burst_factor: float
    slack: float


def compute_cold_share(rate, host, hosts, upstream):
    """Compute one host's share of a cold upstream's rate limit.

    Parameters
    ----------
    rate : ColdRateLimit
        Rate limit of the upstream.
    host : str
        Name of this host.
    hosts : collection of str
        Names of all hosts, reachable or not.
    upstream : str
        Boot ID of the upstream.

    Returns
    -------
    RateShare
        All hosts may send their burst of one request at the same moment.
        Therefore only as many hosts get a share as bursts fit within the
        tolerated excess over the rate.

    Examples
    --------
    >>> rate = ColdRateLimit(requests_per_s=20.0, burst_factor=1.5, slack=5.0)
    >>> share = compute_cold_share(rate, "h1", ["h1", "h2"], "engine")
    >>> share.requests_per_s, share.burst
    (9.0, 1.0)
    """
    max_requests = rate.requests_per_s * rate.burst_factor + rate.slack
    # A tenth of the rate is reserved for requests that are still in flight.
    shared_per_s = rate.requests_per_s * 0.9
    max_senders = max(math.floor(max_requests - shared_per_s) - 1, 1)
    senders = _placement.rank_by_key(upstream, set(hosts) | {host})[:max_senders]
    if host not in senders:
        return _rate_share.RateShare(0.0, 0.0)
    return _rate_share.RateShare(shared_per_s / len(senders), 1.0)
