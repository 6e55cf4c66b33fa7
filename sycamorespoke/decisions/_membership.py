"""Who asks whom, who watches the platform, and whether a daemon may serve."""

import fractions

import attrs
import xxhash

from sycamorespoke import world

MAX_CONFIRMATION_AGE_S = 2.5
MAX_HEARTBEAT_AGE_S = 3.0
WATCHERS_PER_DATA_CENTRE = 3
PEERS_PER_OTHER_DATA_CENTRE = 3
NEVER_S = float("-inf")


@attrs.frozen
class Neighbours:
    """The entry hosts that a host exchanges heartbeats with.

    Parameters
    ----------
    data_centre : str
        Data centre of the host itself.
    names_by_data_centre : dict of str to tuple of str
        All others of its own data centre, a few of each other one.
    """

    data_centre: str
    names_by_data_centre: dict[str, tuple[str, ...]]


def is_ready(view, now):
    """Decide whether a daemon may serve with the view that it has.

    Call it on the path of each request with the present time: a process that
    was frozen then serves nothing before its view was confirmed anew.

    Parameters
    ----------
    view : membership.View
        The daemon's view.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        It has rules, and its view was confirmed within the last 2.5 s.
    """
    if view.configuration.revision == 0:
        return False
    return now - view.confirmed_s <= MAX_CONFIRMATION_AGE_S


def is_alive(view, name, now):
    """Decide whether another entry host is alive.

    Parameters
    ----------
    view : membership.View
        The daemon's view.
    name : str
        Name of the other host.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        It was heard within the last 3 s.
    """
    return now - view.alive_by_name.get(name, NEVER_S) <= MAX_HEARTBEAT_AGE_S


def rank_hosts(key, names):
    """Rank hosts for a key by rendezvous hashing.

    Parameters
    ----------
    key : str
        What the hosts are ranked for.
    names : iterable of str
        Names of the hosts.

    Returns
    -------
    list of str
        The names, highest rank first; one that comes or goes moves no other.

    Examples
    --------
    >>> rank_hosts("a", ["x", "y", "z"]) == rank_hosts("a", ["z", "y", "x"])
    True
    """

    def weigh(name):
        return (xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name)

    return sorted(names, key=weigh, reverse=True)


def choose_neighbours(name, data_centre, hosts):
    """Choose the entry hosts to exchange heartbeats with.

    Parameters
    ----------
    name : str
        Name of the host that asks.
    data_centre : str
        Its data centre.
    hosts : world.HostList
        Hosts that may exist.

    Returns
    -------
    Neighbours
        Hosts that are leaving are no neighbours.
    """
    names_by_data_centre = {}
    for host in hosts.select(world.HostRole.ENTRY):
        if host.name != name and host.state is world.HostState.LIVE:
            names_by_data_centre.setdefault(host.data_centre, []).append(host.name)
    chosen = {}
    for other, names in names_by_data_centre.items():
        if other != data_centre:
            names = rank_hosts(f"neighbours of {name}", names)
            names = names[:PEERS_PER_OTHER_DATA_CENTRE]
        chosen[other] = tuple(names)
    return Neighbours(data_centre, chosen)


def is_watcher(name, data_centre, view, now):
    """Decide whether a host watches the platform for its data centre.

    Parameters
    ----------
    name : str
        Name of the host that asks.
    data_centre : str
        Its data centre.
    view : membership.View
        Its view.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        It is among the three highest in rank of those alive.
    """
    alive = [name]
    for host in view.hosts.select(world.HostRole.ENTRY):
        is_other = host.name != name and host.data_centre == data_centre
        if is_other and is_alive(view, host.name, now):
            alive.append(host.name)
    ranked = rank_hosts(f"watchers of {data_centre}", alive)
    return name in ranked[:WATCHERS_PER_DATA_CENTRE]


def compute_peers_confirmed_s(neighbours, asked_s_by_name):
    """Compute since when peers confirm that a host is not in a cut-off minority.

    Each data centre weighs the same, whatever its size, so that one that is cut
    off as a whole cannot confirm itself. A host counts as covered itself.

    Parameters
    ----------
    neighbours : Neighbours
        Who could have answered.
    asked_s_by_name : dict of str to float
        When each peer that confirms the view was last asked, seconds of the
        monotonic clock.

    Returns
    -------
    float
        The latest time such that the peers asked since cover more than half;
        minus infinity for none.

    Examples
    --------
    >>> three = Neighbours("seeb", {"ruwi": ("r",), "qurum": ("q",)})
    >>> [compute_peers_confirmed_s(three, asked) for asked in ({"r": 7.0}, {})]
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
        (asked_s, name)
        for name, asked_s in asked_s_by_name.items()
        if name in weight_by_name
    )
    for asked_s, name in reversed(latest_first):
        covered += weight_by_name[name]
        if 2 * covered > len(data_centres):
            return asked_s
    return NEVER_S
