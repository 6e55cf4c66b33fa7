"""Which upstream gets a request: affinity by prompt within a bound on load.

Answers the load of prompts that come back: requests that share a long part of
their prompt go to the same upstream from every host, without any message
between hosts, until that upstream has clearly more to do than the others.
"""

import math

import attrs
import xxhash

HASH_RANGE = 2**64


@attrs.frozen
class PlacementCandidate:
    """An upstream that could get a request.

    Parameters
    ----------
    name : str
        Unique name.
    load : float
        Work under way there, in any unit that all candidates share, 0 or more.
    capacity : float, default=1.0
        Work that it bears, in the same unit, above 0.
    is_near : bool, default=True
        It stands in the data centre of this host.
    """

    name: str
    load: float
    capacity: float = 1.0
    is_near: bool = True

    @property
    def utilisation(self):
        """Load as a share of the capacity."""
        return self.load / self.capacity


def rank_by_key(key, names):
    """Rank names for a key, the same on every host.

    Parameters
    ----------
    key : str
        What shall stay together.
    names : iterable of str
        Names to rank.

    Returns
    -------
    list of str
        Best first. A name that is added or removed moves only the keys that
        it gains or loses.

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


def rank_weighted(key, weights_by_name):
    """Rank names for a key, each first as often as its weight says.

    Parameters
    ----------
    key : str
        What shall stay together.
    weights_by_name : dict of str to float
        Weights above 0.

    Returns
    -------
    list of str
        Best first, the same on every host.

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
    """Choose the upstream for a request by what it shares with others.

    Parameters
    ----------
    key : str
        What shall stay together, such as the longest shared part of a prompt.
    candidates : sequence of PlacementCandidate
        At least one.
    cost : float
        Work of the request.
    bound : float
        An upstream is passed over when its load with this request is more than
        this many times the mean, 1 or more.
    slack : float
        Load in addition to the bound that is always allowed.

    Returns
    -------
    PlacementCandidate
        The best ranked one within the bound; else the least loaded.

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
    """Choose the upstream for a request that shares nothing with others.

    Parameters
    ----------
    candidates : sequence of PlacementCandidate
        At least one.
    near_advantage : float
        Utilisation by which a near one may be higher and still be taken.
    pick : callable
        Chooses one of a sequence; spreads the hosts over equal candidates.

    Returns
    -------
    PlacementCandidate
        The least utilised.
    """

    def weigh(candidate):
        return candidate.utilisation - (near_advantage if candidate.is_near else 0.0)

    least = min(weigh(candidate) for candidate in candidates)
    return pick([candidate for candidate in candidates if weigh(candidate) <= least])


def pick_weighted(key, weights_by_name):
    """Pick a name by its weight, always the same one for a key.

    Parameters
    ----------
    key : str
        Equal keys pick the same name.
    weights_by_name : dict of str to float
        Weights of 0 or more, not all 0.

    Returns
    -------
    str
        A name; over many keys each as often as its weight says.

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
