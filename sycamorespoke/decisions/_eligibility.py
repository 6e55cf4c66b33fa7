"""Eligibility of upstreams and entry hosts for new requests."""

from sycamorespoke import domain
from sycamorespoke.decisions import _availability, _membership


def is_upstream_eligible(host, view, now, backoff_until_s=_availability.NEVER_S):
    """Decide whether an upstream is eligible for a new request.

    Call it immediately before a request is sent, with the current time, so that a
    process that was suspended after it chose the upstream does not send on the basis
    of an outdated view.

    Parameters
    ----------
    host : domain.Host
        The upstream.
    view : membership.View
        The daemon's view.
    now : float
        Current monotonic time, in seconds.
    backoff_until_s : float, default=-inf
        Time until which it wants no requests from this host, monotonic, in seconds.

    Returns
    -------
    bool
        Whether the view is confirmed, the upstream is listed as live and wants no
        backoff, and neither the upstream nor its data centre is out of service.
    """
    if not _membership.is_ready(view, now):
        return False
    availability = assess_host(host, view, now, backoff_until_s)
    return availability.find_bar() is None


def assess_host(host, view, now, backoff_until_s):
    """Assess an upstream as a host of a membership; parameters as above.

    Returns
    -------
    Availability
        What stands against sending a request to it.
    """
    listed = view.hosts.by_name.get(host.name)
    state = view.service_state
    is_out = listed is not None and (
        listed.data_centre in state.data_centres_out
        or listed.name in state.upstreams_out
    )
    signals = _availability.UpstreamSignals(
        is_listed=listed is not None,
        is_leaving=listed is not None and listed.state is not domain.HostState.LIVE,
        is_data_centre_out=is_out,
        backoff_until_s=backoff_until_s,
    )
    return _availability.assess_upstream(signals, now)


def is_ready_for_traffic(data_centre, view, now):
    """Decide whether an entry host reports itself as ready to the load balancer.

    Parameters
    ----------
    data_centre : str
        Data centre of the entry host.
    view : membership.View
        The daemon's view.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether the view is confirmed and the data centre is not out of service.
        Requests that arrive nevertheless are sent to upstreams in other data centres.
    """
    is_out = data_centre in view.service_state.data_centres_out
    return not is_out and _membership.is_ready(view, now)
