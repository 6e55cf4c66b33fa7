"""Rollout of a weight version: which engines load next and which host orders it.

A new version is rolled out under full traffic, so that enough engines have to keep
serving while the others load.
"""

import collections
import math

import attrs

from sycamorespoke.decisions import _placement

# Maximum fraction of the engines of a model that load at the same time.
MAX_LOADING_RATIO = 0.4
# Maximum number of engines that load or may do so, as a multiple of those that may
# load: an order without a response is known to be lost only after some reports.
MAX_UNCERTAIN_FACTOR = 2
# Each host waits this long for every host that is ranked before it.
ACQUIRE_DELAY_STEP_S = 0.15


@attrs.frozen
class EngineVersion:
    """The weight version of one engine.

    Parameters
    ----------
    boot_id : str
        Boot ID of the engine.
    model : str
        Name of the model.
    version : int
        Loaded weight version, 0 if unknown.
    """

    boot_id: str
    model: str
    version: int


def compute_max_loads(engines):
    """Compute how many engines of a model may load at the same time.

    Parameters
    ----------
    engines : int
        Number of engines of the model, 0 or more.

    Returns
    -------
    int
        Maximum number of concurrent loads, 1 or more.

    Examples
    --------
    >>> [compute_max_loads(engines) for engines in (1, 5, 9, 45)]
    [1, 2, 3, 18]
    """
    return max(math.floor(engines * MAX_LOADING_RATIO), 1)


def compute_max_loads_by_model(engines):
    """Compute how many engines of each model may load at the same time.

    Parameters
    ----------
    engines : list of EngineVersion
        All engines.

    Returns
    -------
    dict of str to int
        Maximum number of concurrent loads, by model.

    Examples
    --------
    >>> compute_max_loads_by_model([EngineVersion(boot, "m", 1) for boot in "abcde"])
    {'m': 2}
    """
    counts_by_model = collections.Counter(engine.model for engine in engines)
    return {model: compute_max_loads(count) for model, count in counts_by_model.items()}


def compute_free_loads(max_loads, loading, uncertain):
    """Compute how many more engines of a model may be ordered to load.

    Parameters
    ----------
    max_loads : int
        Maximum number of concurrent loads.
    loading : int
        Engines that load as far as known.
    uncertain : int
        Other engines that may have begun to load: an order had no response and is too
        recent to be seen in a report.

    Returns
    -------
    int
        Number of engines, 0 or more.

    Examples
    --------
    >>> compute_free_loads(3, 1, 0), compute_free_loads(3, 1, 4)
    (2, 1)
    """
    free = max_loads - loading
    free_if_all_load = max_loads * MAX_UNCERTAIN_FACTOR - loading - uncertain
    return max(min(free, free_if_all_load), 0)


def select_engines_to_load(
    engines, targets_by_model, loading, deferred, uncertain=frozenset()
):
    """Select the engines that start to load now.

    Parameters
    ----------
    engines : list of EngineVersion
        All engines.
    targets_by_model : dict of str to int
        Target version of each model.
    loading : set of str
        Boot IDs of the engines that are already loading.
    deferred : set of str
        Boot IDs of the engines that must not be ordered now, for instance since they
        recently failed to respond.
    uncertain : set of str, default=()
        Boot IDs of the engines that may be loading, see `compute_free_loads`.

    Returns
    -------
    list of EngineVersion
        Engines below the target version, no more than may load at the same time.

    Examples
    --------
    >>> engines = [EngineVersion(boot_id, "m", 1) for boot_id in "abcde"]
    >>> selected = select_engines_to_load(engines, {"m": 2}, {"a"}, {"b"})
    >>> [each.boot_id for each in selected]
    ['c']
    """
    selected = []
    for model, version in targets_by_model.items():
        model_engines = [each for each in engines if each.model == model]
        busy = sum(each.boot_id in loading for each in model_engines)
        may_be_busy = sum(each.boot_id in uncertain for each in model_engines)
        max_loads = compute_max_loads(len(model_engines))
        free_loads = compute_free_loads(max_loads, busy, may_be_busy)
        behind = [
            each
            for each in model_engines
            if each.version < version
            and each.boot_id not in loading
            and each.boot_id not in deferred
        ]
        selected.extend(behind[:free_loads])
    return selected


def compute_acquire_delay_s(host, hosts, last_holder, key):
    """Compute how long a host waits before it acquires a free lease.

    Parameters
    ----------
    host : str
        Name of this host.
    hosts : collection of str
        Names of all hosts.
    last_holder : str
        Host that last held the lease; it does not wait.
    key : str
        Name of the lease and of the work to do, so that the order of the hosts
        varies.

    Returns
    -------
    float
        Delay in seconds. It differs between hosts, so that they do not all write at
        the same time.

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
    return ACQUIRE_DELAY_STEP_S * (ranked.index(host) + 1)
