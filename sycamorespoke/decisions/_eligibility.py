"""Which upstreams and data centres may get new work."""

from sycamorespoke import world
from sycamorespoke.decisions import _membership


def is_upstream_eligible(host, view, now):
    """Decide whether an upstream may get new work.

    Call it right before the request is sent, with the present time: a process
    that was frozen since it chose the upstream sends nothing on an old view.

    Parameters
    ----------
    host : world.Host
        The upstream.
    view : membership.View
        The daemon's view.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        The view is confirmed, the upstream is listed and not leaving, and
        neither it nor its data centre was taken out.
    """
    if not _membership.is_ready(view, now):
        return False
    listed = view.hosts.by_name.get(host.name)
    if listed is None or listed.state is not world.HostState.LIVE:
        return False
    state = view.service_state
    return (
        listed.data_centre not in state.data_centres_out
        and listed.name not in state.upstreams_out
    )


def is_ready_for_traffic(data_centre, view, now):
    """Decide whether an entry host tells the balancer that it is ready.

    Parameters
    ----------
    data_centre : str
        Data centre of the entry host.
    view : membership.View
        The daemon's view.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        The view is confirmed and the data centre was not taken out. Requests
        that come nevertheless are served by other data centres.
    """
    is_out = data_centre in view.service_state.data_centres_out
    return not is_out and _membership.is_ready(view, now)
