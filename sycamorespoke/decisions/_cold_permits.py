"""Who may grant permits for cold upstreams, and what applies without a permit owner."""

from sycamorespoke import domain
from sycamorespoke.decisions import _lease_state, _membership, _permits


def has_majority(view, now):
    """Decide whether more than half of a host's neighbours confirmed its view recently.

    Parameters
    ----------
    view : membership.View
        The daemon's view.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether the peers confirmed its view within the last 2.5 s, or it is the only
        entry host in the list of hosts.
    """
    if len(view.hosts.select(domain.HostRole.ENTRY)) == 1:
        return True
    return now - view.peers_confirmed_s <= _membership.MAX_CONFIRMATION_AGE_S


def may_grant_permits(held, view, now):
    """Decide whether the owner of a permit shard may grant permits.

    Parameters
    ----------
    held : HeldLease or None
        The lease on the shard.
    view : membership.View
        The owner's view.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether the owner holds the lease and a majority of its peers can reach it.
        Peers that cannot reach it might conclude that the platform is down and send
        requests under `compute_limit_without_owner` at the same time.
    """
    return _lease_state.is_held(held, now) and has_majority(view, now)


def compute_limit_without_owner(name, upstream, budget, view, longest_request_s, now):
    """Compute how many requests a host may run at a cold upstream without permits.

    While the platform is down, no host can hold the lease and grant permits. The
    live entry hosts then divide the upstream's budget among themselves; the
    remainder goes to the hosts of highest rank. This is safe only after the last
    owner's lease, its permits and the requests under these permits have ended.

    Parameters
    ----------
    name : str
        Name of this entry host.
    upstream : str
        Name of the upstream.
    budget : int
        Requests that the upstream can run at once while it is cold.
    view : membership.View
        This host's view.
    longest_request_s : float
        Longest deadline of a request to the upstream, seconds.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    int
        Requests that this host may have running at the upstream; 0 unless this host
        is in contact with a majority of its peers and none of them has reached the
        platform for long enough.
    """
    max_permit_use_s = (
        _lease_state.LEASE_DURATION_S + _permits.PERMIT_LIFETIME_S + longest_request_s
    )
    # A process cannot know of an owner that existed before the process started.
    since_s = max(view.platform_confirmed_s, view.started_s)
    if now - since_s < max_permit_use_s or not has_majority(view, now):
        return 0
    names = [
        host.name
        for host in view.hosts.select(domain.HostRole.ENTRY)
        if host.state is domain.HostState.LIVE
    ]
    ranked = _membership.rank_hosts(f"cold {upstream}", names)
    if name not in ranked:
        return 0
    share, rest = divmod(budget, len(ranked))
    return share + (ranked.index(name) < rest)
