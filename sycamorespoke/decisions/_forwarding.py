"""Which other host serves the requests of a host that has lost its links."""

import attrs

from sycamorespoke.decisions import _placement

# Hosts that are asked at a time.
ASKED_HOSTS = 12
# A reply is used for this long.
REPORT_LIFETIME_S = 1.5
# A host may not have had a request for a service for a while.
MAX_ANSWER_AGE_S = 60.0
# Requests in progress by which a host may be ahead of one in another data centre.
NEAR_BONUS_REQUESTS = 4


@attrs.frozen
class PeerReport:
    """What another host says of the services that it reaches.

    Parameters
    ----------
    host : str
        Name of the host.
    data_centre : str
        Its data centre.
    address : str
        IP address and port for forwarded requests; empty if it accepts none.
    answer_age_s_by_service : dict of str to float
        Time since each service that it reaches last answered it, seconds.
    forwarded : int
        Forwarded requests in progress there.
    seen_s : float
        When the report arrived, seconds.
    """

    host: str
    data_centre: str
    address: str
    answer_age_s_by_service: dict[str, float]
    forwarded: int
    seen_s: float

    def reaches(self, services, now):
        """Return whether the host is known to reach some services at ``now``."""
        if not self.address or now - self.seen_s > REPORT_LIFETIME_S:
            return False
        ages_s = map(self.answer_age_s_by_service.get, services)
        return all(age_s is not None and age_s <= MAX_ANSWER_AGE_S for age_s in ages_s)


def choose_forwarding_peer(
    reports, services, in_flight_by_host, data_centre, excluded, now
):
    """Choose the host to which a request is forwarded.

    Parameters
    ----------
    reports : iterable of PeerReport
        Latest report of each host.
    services : collection of str
        Services that the host must reach.
    in_flight_by_host : dict of str to int
        Requests that this host has forwarded to each host.
    data_centre : str
        Data centre of this host, whose hosts are preferred.
    excluded : collection of str
        Hosts that are not chosen.
    now : float
        Current time, seconds.

    Returns
    -------
    PeerReport or None
        The least loaded host; ``None`` if none reaches the services.

    Examples
    --------
    >>> near = PeerReport("h1", "dc-1", "10.0.0.1:1", {"s": 0.1}, 3, seen_s=9.0)
    >>> far = PeerReport("h2", "dc-2", "10.0.0.2:1", {"s": 0.1}, 0, seen_s=9.0)
    >>> choose_forwarding_peer([near, far], ["s"], {}, "dc-1", (), 9.5).host
    'h1'
    >>> choose_forwarding_peer([near, far], ["s"], {"h1": 2}, "dc-1", (), 9.5).host
    'h2'
    >>> choose_forwarding_peer([near, far], ["t"], {}, "dc-1", (), 9.5) is None
    True
    """

    def estimate_cost(report):
        # The larger one: reports contain the requests of this host, of a moment ago.
        load = max(report.forwarded, in_flight_by_host.get(report.host, 0))
        load += in_flight_by_host.get(report.host, 0)
        is_near = report.data_centre == data_centre
        return load if is_near else load + NEAR_BONUS_REQUESTS, report.host

    candidates = [
        report
        for report in reports
        if report.host not in excluded and report.reaches(services, now)
    ]
    return min(candidates, key=estimate_cost, default=None)


def choose_asked_hosts(host, data_centres_by_host, asked_rounds):
    """Choose the hosts to ask which services they reach.

    Parameters
    ----------
    host : str
        Name of the host that asks.
    data_centres_by_host : dict of str to str
        Data centres of all hosts.
    asked_rounds : int
        Number of groups that were asked in vain before, 0 or more.

    Returns
    -------
    list of str
        At most `ASKED_HOSTS` names, spread over the data centres, other ones for
        other hosts.

    Examples
    --------
    >>> hosts = {f"h{n}": f"dc{n % 3}" for n in range(30)}
    >>> first, second, third, again = (
    ...     choose_asked_hosts("h0", hosts, rounds) for rounds in range(4)
    ... )
    >>> len(first), len({*first, *second, *third}), again == first
    (12, 29, True)
    """
    others = {
        name: data_centre
        for name, data_centre in data_centres_by_host.items()
        if name != host
    }
    ranked = _placement.rank_spread(host, others)
    groups = max(-(-len(ranked) // ASKED_HOSTS), 1)
    first = asked_rounds % groups * ASKED_HOSTS
    return ranked[first : first + ASKED_HOSTS]
