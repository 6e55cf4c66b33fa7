"""Which upstreams are cold, and who may use them when no owner is reachable."""

from sycamorespoke import world
from sycamorespoke.decisions import _lease_state, _membership, _permits


def has_majority(view, now):
    """Decide whether a host is in touch with more than half of its neighbours.

    Parameters
    ----------
    view : membership.View
        The daemon's view.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        Peers confirmed its view within the last 2.5 s, or it is the only entry
        host in the list.
    """
    if len(view.hosts.select(world.HostRole.ENTRY)) == 1:
        return True
    return now - view.peers_confirmed_s <= _membership.MAX_CONFIRMATION_AGE_S


def may_grant_permits(held, view, now):
    """Decide whether an owner may grant permits.

    Parameters
    ----------
    held : HeldLease or None
        The lease of the shard.
    view : membership.View
        The owner's view.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        It holds the lease and is not cut off from the others, who might take
        the platform for down and use `compute_limit_without_owner`.
    """
    return _lease_state.is_held(held, now) and has_majority(view, now)


def compute_limit_without_owner(name, upstream, budget, view, longest_request_s, now):
    """Compute how many requests a host may run at a cold upstream on its own.

    While the platform is down there is no owner. Then the hosts of highest rank
    share the budget. It is safe only after the last owner's lease and permits
    have ended and the requests under them too.

    Parameters
    ----------
    name : str
        Name of the entry host that asks.
    upstream : str
        Name of the upstream.
    budget : int
        Requests that the upstream bears at once.
    view : membership.View
        The host's view.
    longest_request_s : float
        Longest deadline of a request to the upstream, seconds.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    int
        Requests that this host may have running at the upstream; 0 unless it is
        in touch with a majority none of which has reached the platform.
    """
    quiet_s = (
        _lease_state.LEASE_DURATION_S + _permits.PERMIT_LIFETIME_S + longest_request_s
    )
    # A process that started meanwhile cannot know of an owner before it.
    since_s = max(view.platform_confirmed_s, view.started_s)
    if now - since_s < quiet_s or not has_majority(view, now):
        return 0
    names = [
        host.name
        for host in view.hosts.select(world.HostRole.ENTRY)
        if host.state is world.HostState.LIVE
    ]
    ranked = _membership.rank_hosts(f"cold {upstream}", names)
    if name not in ranked:
        return 0
    share, rest = divmod(budget, len(ranked))
    return share + (ranked.index(name) < rest)
