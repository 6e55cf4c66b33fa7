"""Checks that hosts are in the store's list again after it came back from a copy."""

from tests.soak import guarantees

# Time in which the entry of a host is written again.
ENTRY_S = 5.0


def check_entries(returns, host_lists, host_names, disturbances):
    """Check that hosts write their entries again after the store has lost them.

    Parameters
    ----------
    returns : list of store_returns.StoreReturn
        Returns of the store from an older copy.
    host_lists : list of store_copies.HostList
        Hosts that the store listed, at many times.
    host_names : collection of str
        Names of all hosts.
    disturbances : weight_guarantees.Disturbances
        Faults of hosts, links and store.

    Returns
    -------
    list of str
        One line for each return and undisturbed host without an entry in time.
    """
    violations = []
    for store_return in returns:
        bound_s = store_return.back_s + ENTRY_S
        listed = next((each for each in host_lists if each.at_s >= bound_s), None)
        if listed is None or _is_away(store_return, listed.at_s, disturbances):
            continue
        violations += [
            f"{name} had no entry {ENTRY_S} s after the store was back"
            for name in sorted(set(host_names) - listed.names)
            if not _is_disturbed(name, store_return, listed.at_s, disturbances)
        ]
    return violations


def _is_away(store_return, listed_s, disturbances):
    return any(store_return.back_s < each <= listed_s for each in disturbances.store_s)


def _is_disturbed(name, store_return, listed_s, disturbances):
    times_s = [
        *disturbances.processes_s_by_host.get(name, ()),
        *disturbances.links_s_by_host.get(name, ()),
    ]
    since_s = store_return.back_s - guarantees.STABILITY_WINDOW_S
    return any(since_s <= each <= listed_s for each in times_s)
