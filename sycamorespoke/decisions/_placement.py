"""Placement of requests on upstreams: prompt affinity with bounded loads.

Requests that share a long prompt prefix should run on the upstream that has the
prefix in its cache. Rendezvous hashing sends them from every host to the same
upstream, without messages between hosts, unless that upstream is clearly more loaded
than the others.
"""

import math

import attrs
import xxhash

HASH_RANGE = 2**64


@attrs.frozen
class PlacementCandidate:
    """An upstream that is eligible for a request.

    Parameters
    ----------
    name : str
        Unique name.
    load : float
        Work in progress at the upstream, 0 or more, in a unit that is the same for
        all candidates.
    capacity : float, default=1.0
        Work that the upstream can run at once, in the same unit, above 0.
    is_near : bool, default=True
        Whether the upstream is in this host's data centre.
    """

    name: str
    load: float
    capacity: float = 1.0
    is_near: bool = True

    @property
    def utilisation(self):
        """Load divided by capacity."""
        return self.load / self.capacity


def rank_by_key(key, names):
    """Rank names for a key by rendezvous hashing, equally on every host.

    Parameters
    ----------
    key : str
        Requests or items with the same key get the same ranking.
    names : iterable of str
        Names to rank.

    Returns
    -------
    list of str
        Best first. Adding or removing a name changes which name is first only for
        the keys for which that name is first.

    Examples
    --------
    >>> ranked = rank_by_key("prompt", ["a", "b", "c"])
    >>> ranked == rank_by_key("prompt", ["c", "a", "b"])
    True
    >>> rank_by_key("prompt", set("abc") - {ranked[0]}) == ranked[1:]
    True
    """
    return sorted(
        names,
        key=lambda name: (_hash(f"{key}\0{name}"), name),
        reverse=True,
    )


def rank_spread(key, data_centres_by_name):
    """Rank names for a key so that any first few are spread over the data centres.

    Parameters
    ----------
    key : str
        Items with the same key get the same ranking.
    data_centres_by_name : dict of str to str
        Data centre of each name.

    Returns
    -------
    list of str
        The best of each data centre first, then the second of each, and so on.

    Examples
    --------
    >>> names = {f"h{n}": f"dc{n % 3}" for n in range(9)}
    >>> {names[name] for name in rank_spread("key", names)[:3]} == set(names.values())
    True
    """
    turns_by_data_centre = {}
    order = []
    for rank, name in enumerate(rank_by_key(key, data_centres_by_name)):
        data_centre = data_centres_by_name[name]
        turn = turns_by_data_centre.get(data_centre, 0)
        turns_by_data_centre[data_centre] = turn + 1
        order.append((turn, rank, name))
    return [name for _, _, name in sorted(order)]


def rank_weighted(key, weights_by_name):
    """Rank names for a key by weighted rendezvous hashing.

    Parameters
    ----------
    key : str
        Items with the same key get the same ranking.
    weights_by_name : dict of str to float
        Weights above 0.

    Returns
    -------
    list of str
        Best first, the same on every host. Over many keys, each name is first in
        proportion to its weight.

    Examples
    --------
    >>> first = [rank_weighted(str(n), {"a": 3.0, "b": 1.0})[0] for n in range(1000)]
    >>> 700 < first.count("a") < 800
    True
    """

    def score(name):
        uniform = (_hash(f"{key}\0{name}") + 1) / (HASH_RANGE + 1)
        return -weights_by_name[name] / math.log(uniform)

    return sorted(weights_by_name, key=lambda name: (score(name), name), reverse=True)


def place_by_key(key, candidates, cost, bound, slack):
    """Choose the upstream for a request by key affinity within a load bound.

    Parameters
    ----------
    key : str
        Requests with the same key prefer the same upstream, such as the ID of the
        longest prompt block that they share.
    candidates : sequence of PlacementCandidate
        At least one.
    cost : float
        Work of the request, in the unit of the candidates' load.
    bound : float
        Allowed load of an upstream, this request included, as a multiple of the
        load that corresponds to its share of the total capacity, 1 or more.
    slack : float
        Load that is allowed in addition to the bound.

    Returns
    -------
    PlacementCandidate
        The first candidate in the ranking for the key that is within the bound; the
        least utilised one if none is.

    Examples
    --------
    >>> busy = [PlacementCandidate("a", 9.0), PlacementCandidate("b", 0.0)]
    >>> {place_by_key(str(n), busy, 1.0, 1.3, 1.0).name for n in range(20)}
    {'b'}
    """
    by_name = {candidate.name: candidate for candidate in candidates}
    total = sum(candidate.load for candidate in candidates) + cost
    capacity = sum(candidate.capacity for candidate in candidates)
    for name in rank_by_key(key, by_name):
        candidate = by_name[name]
        limit = bound * total * candidate.capacity / capacity + slack
        if candidate.load + cost <= limit:
            return candidate
    return min(
        candidates, key=lambda candidate: (candidate.utilisation, candidate.name)
    )


def place_by_load(candidates, near_advantage, pick):
    """Choose the least utilised upstream, with a preference for near ones.

    Parameters
    ----------
    candidates : sequence of PlacementCandidate
        At least one.
    near_advantage : float
        A near candidate is preferred unless its utilisation exceeds that of another
        candidate by more than this amount.
    pick : callable
        Chooses one item of a sequence. A random choice spreads the requests of
        different hosts over equally utilised candidates.

    Returns
    -------
    PlacementCandidate
        The chosen upstream.
    """

    def score(candidate):
        return candidate.utilisation - (near_advantage if candidate.is_near else 0.0)

    least = min(score(candidate) for candidate in candidates)
    return pick([candidate for candidate in candidates if score(candidate) <= least])


def pick_weighted(key, weights_by_name):
    """Pick a name in proportion to its weight, always the same one for a key.

    Parameters
    ----------
    key : str
        Equal keys pick the same name.
    weights_by_name : dict of str to float
        Weights of 0 or more, not all 0.

    Returns
    -------
    str
        A name. Over many keys, each name is picked in proportion to its weight.

    Examples
    --------
    >>> picked = [pick_weighted(str(n), {"a": 3.0, "b": 1.0}) for n in range(1000)]
    >>> 700 < picked.count("a") < 800
    True
    """
    names = sorted(weights_by_name)
    total = sum(weights_by_name.values())
    point = _hash(key) / HASH_RANGE * total
    for name in names:
        point -= weights_by_name[name]
        if point < 0:
            return name
    return max(names, key=weights_by_name.get)


def _hash(text):
    return xxhash.xxh64_intdigest(text.encode())
