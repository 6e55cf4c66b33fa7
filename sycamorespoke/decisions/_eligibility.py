"""Eligibility of upstreams and entry hosts for new requests."""

from sycamorespoke import domain
from sycamorespoke.decisions import _membership


def is_upstream_eligible(host, view, now):
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

    Returns
    -------
    bool
        Whether the view is confirmed, the upstream is listed as live, and neither the
        upstream nor its data centre is out of service.
    """
    if not _membership.is_ready(view, now):
        return False
    listed = view.hosts.by_name.get(host.name)
    if listed is None or listed.state is not domain.HostState.LIVE:
        return False
    state = view.service_state
    return (
        listed.data_centre not in state.data_centres_out
        and listed.name not in state.upstreams_out
    )


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
