"""The work of all hosts at upstreams, estimated from that of a few.

Answers many hosts with little traffic each, whose own requests say little of how
busy an upstream is.
"""


def scale_sample(work_by_name, sampled, hosts):
    """Estimate the work of some hosts from a sample of them.

    Parameters
    ----------
    work_by_name : dict of str to float
        Work of the sampled hosts at each upstream, 0 or more.
    sampled : int
        Hosts in the sample, 1 or more.
    hosts : int
        Hosts to estimate for, 0 or more.

    Returns
    -------
    dict of str to float
        At least what the sample has.

    Examples
    --------
    >>> scale_sample({"a": 6.0}, sampled=12, hosts=72)
    {'a': 36.0}
    >>> scale_sample({"a": 6.0}, sampled=12, hosts=9)
    {'a': 6.0}
    """
    factor = max(hosts / sampled, 1.0)
    return {name: work * factor for name, work in work_by_name.items()}
