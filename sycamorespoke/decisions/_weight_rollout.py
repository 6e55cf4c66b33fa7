"""Which engines load new weights next, and who gives the orders.

Answers a new version under full traffic: enough engines keep serving while the
others load.
"""

import math

import attrs

from sycamorespoke.decisions import _placement

# Share of the engines of a model that load at the same time.
LOADING_SHARE = 0.4
# Each host lets those before it try first for this long.
TURN_S = 0.15


@attrs.frozen
class EngineVersion:
    """Weights of one engine.

    Parameters
    ----------
    name : str
        Name of this start of the engine.
    model : str
        The model.
    version : int
        What it holds, 0 if unknown.
    """

    name: str
    model: str
    version: int


def compute_max_loads(engines):
    """Compute how many engines of a model load at once.

    Parameters
    ----------
    engines : int
        Engines of the model, 0 or more.

    Returns
    -------
    int
        1 or more.

    Examples
    --------
    >>> [compute_max_loads(engines) for engines in (1, 5, 9, 45)]
    [1, 2, 3, 18]
    """
    return max(math.floor(engines * LOADING_SHARE), 1)


def select_engines_to_load(engines, wanted_by_model, loading, put_off):
    """Select the engines that start to load now.

    Parameters
    ----------
    engines : list of EngineVersion
        All engines.
    wanted_by_model : dict of str to int
        Version that each model shall have.
    loading : set of str
        Engines that load already.
    put_off : set of str
        Engines that did not answer just now.

    Returns
    -------
    list of EngineVersion
        Those that are behind, as many as may load at once.

    Examples
    --------
    >>> engines = [EngineVersion(name, "m", 1) for name in "abcde"]
    >>> [each.name for each in select_engines_to_load(engines, {"m": 2}, {"a"}, {"b"})]
    ['c']
    """
    selected = []
    for model, version in wanted_by_model.items():
        of_model = [each for each in engines if each.model == model]
        busy = sum(each.name in loading for each in of_model)
        room = compute_max_loads(len(of_model)) - busy
        behind = [
            each
            for each in of_model
            if each.version < version
            and each.name not in loading
            and each.name not in put_off
        ]
        selected.extend(behind[: max(room, 0)])
    return selected


def compute_acquire_delay_s(host, hosts, last_holder, key):
    """Compute how long a host waits before it takes a duty that is free.

    Parameters
    ----------
    host : str
        This host.
    hosts : collection of str
        All hosts.
    last_holder : str
        Host that held the duty last; it does not wait.
    key : str
        Name of the duty and its occasion, so that the order changes.

    Returns
    -------
    float
        Seconds; hosts that try one after the other do not write at once.

    Examples
    --------
    >>> compute_acquire_delay_s("a", ["a", "b"], "a", "weights")
    0.0
    >>> hosts = ["a", "b"]
    >>> sorted(compute_acquire_delay_s(host, hosts, "", "weights") for host in hosts)
    [0.15, 0.3]
    """
    if host == last_holder:
        return 0.0
    ranked = _placement.rank_by_key(key, set(hosts) | {host})
    return TURN_S * (ranked.index(host) + 1)
