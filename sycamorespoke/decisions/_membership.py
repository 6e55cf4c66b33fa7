"""Neighbours, platform watchers and readiness of the entry hosts."""

import fractions

import attrs
import xxhash

from sycamorespoke import domain

MAX_CONFIRMATION_AGE_S = 2.5
MAX_HEARTBEAT_AGE_S = 3.0
WATCHERS_PER_DATA_CENTRE = 3
NEIGHBOURS_PER_OTHER_DATA_CENTRE = 3
NEVER_S = float("-inf")


@attrs.frozen
class Neighbours:
    """The entry hosts with which a host exchanges heartbeats.

    Parameters
    ----------
    data_centre : str
        Data centre of the host itself.
    names_by_data_centre : dict of str to tuple of str
        All other entry hosts of its own data centre and a few of each other data
        centre.
    """

    data_centre: str
    names_by_data_centre: dict[str, tuple[str, ...]]


def is_ready(view, now):
    """Return whether a daemon may serve with its current view.

    Call it for each request with the current time, so that a process that was
    suspended serves nothing until its view is confirmed again.

    Parameters
    ----------
    view : membership.View
        View of the daemon.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether the view contains rules and was confirmed within the last 2.5 s.
    """
    if view.configuration.revision == 0:
        return False
    return now - view.confirmed_s <= MAX_CONFIRMATION_AGE_S


def is_alive(view, name, now):
    """Return whether another entry host is alive.

    Parameters
    ----------
    view : membership.View
        View of the daemon.
    name : str
        Name of the other host.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether a heartbeat from it was received within the last 3 s.
    """
    return now - view.last_heartbeat_s_by_name.get(name, NEVER_S) <= MAX_HEARTBEAT_AGE_S


def rank_hosts(key, names):
    """Rank hosts for a key by rendezvous hashing.

    Parameters
    ----------
    key : str
        Key for which the hosts are ranked.
    names : iterable of str
        Names of the hosts.

    Returns
    -------
    list of str
        Names, highest rank first. Adding or removing a name does not change the
        order of the others.

    Examples
    --------
    >>> rank_hosts("a", ["x", "y", "z"]) == rank_hosts("a", ["z", "y", "x"])
    True
    """

    def hash_name(name):
        return (xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name)

    return sorted(names, key=hash_name, reverse=True)


def choose_neighbours(name, data_centre, hosts):
    """Choose the entry hosts with which a host exchanges heartbeats.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Data centre of the host.
    hosts : domain.HostList
        Listed hosts, which need not be running.

    Returns
    -------
    Neighbours
        Neighbours without the hosts that are leaving.
    """
    names_by_data_centre = {}
    for host in hosts.select(domain.HostRole.ENTRY):
        if host.name != name and host.state is domain.HostState.LIVE:
            names_by_data_centre.setdefault(host.data_centre, []).append(host.name)
    chosen = {}
    for other, names in names_by_data_centre.items():
        if other != data_centre:
            names = rank_hosts(f"neighbours of {name}", names)
            names = names[:NEIGHBOURS_PER_OTHER_DATA_CENTRE]
        chosen[other] = tuple(names)
    return Neighbours(data_centre, chosen)


def is_watcher(name, data_centre, view, now):
    """Return whether a host watches the platform for its data centre.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Data centre of the host.
    view : membership.View
        View of the host.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether it ranks among the first three live entry hosts of its data centre.
    """
    alive = [name]
    for host in view.hosts.select(domain.HostRole.ENTRY):
        is_other = host.name != name and host.data_centre == data_centre
        if is_other and is_alive(view, host.name, now):
            alive.append(host.name)
    ranked = rank_hosts(f"watchers of {data_centre}", alive)
    return name in ranked[:WATCHERS_PER_DATA_CENTRE]


def compute_peers_confirmed_s(neighbours, requested_s_by_name):
    """Compute when a majority of peers last confirmed the view of a host.

    A host in a minority that is cut off gets no such confirmation. Each data centre
    has the same weight, whatever its size, so that one that is cut off as a whole
    cannot confirm itself. The host itself counts towards the majority.

    Parameters
    ----------
    neighbours : Neighbours
        Hosts that could have replied.
    requested_s_by_name : dict of str to float
        For each peer that confirms the view, time at which the heartbeat that it
        last replied to was sent, in monotonic seconds.

    Returns
    -------
    float
        Latest time such that the peers which replied to heartbeats sent since then
        hold more than half of the total weight, in monotonic seconds; minus infinity
        if there is none.

    Examples
    --------
    >>> neighbours = Neighbours("seeb", {"ruwi": ("r",), "qurum": ("q",)})
    >>> [compute_peers_confirmed_s(neighbours, sent) for sent in ({"r": 7.0}, {})]
    [7.0, -inf]
    """
    data_centres = {neighbours.data_centre, *neighbours.names_by_data_centre}
    own_size = 1 + len(neighbours.names_by_data_centre.get(neighbours.data_centre, ()))
    covered = fractions.Fraction(1, own_size)
    weight_by_name = {}
    for data_centre, names in neighbours.names_by_data_centre.items():
        size = own_size if data_centre == neighbours.data_centre else len(names)
        weight_by_name.update(dict.fromkeys(names, fractions.Fraction(1, size)))
    latest_first = sorted(
        (requested_s, name)
        for name, requested_s in requested_s_by_name.items()
        if name in weight_by_name
    )
    for requested_s, name in reversed(latest_first):
        covered += weight_by_name[name]
        if 2 * covered > len(data_centres):
            return requested_s
    return NEVER_S
