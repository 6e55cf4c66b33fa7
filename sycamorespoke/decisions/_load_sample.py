"""Estimation of the load at upstreams from a sample of the hosts.

In a deployment of many hosts with little traffic each, a host's own requests do not
show how busy an upstream is.
"""


def scale_sample(work_by_name, sampled, hosts):
    """Estimate the work of many hosts at each upstream from a sample of them.

    Parameters
    ----------
    work_by_name : dict of str to float
        Total work of the sampled hosts by upstream, 0 or more.
    sampled : int
        Number of hosts in the sample, 1 or more.
    hosts : int
        Number of hosts to estimate for, 0 or more.

    Returns
    -------
    dict of str to float
        Estimated work by upstream, never less than that of the sample.

    Examples
    --------
    >>> scale_sample({"a": 6.0}, sampled=12, hosts=72)
    {'a': 36.0}
    >>> scale_sample({"a": 6.0}, sampled=12, hosts=9)
    {'a': 6.0}
    """
    factor = max(hosts / sampled, 1.0)
    return {name: work * factor for name, work in work_by_name.items()}
