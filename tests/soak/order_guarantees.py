"""Checks of the holders and fencing numbers of the orders that engines received."""

import collections

from sycamorespoke import decisions


def check_fences(orders):
    """Check that each number has one holder, and that none falls at an engine.

    Parameters
    ----------
    orders : list of run_log.Order
        Orders that the engines received, also those that they refused.

    Returns
    -------
    list of str
        One line for each number of several hosts, and for each start of an engine that
        got a lower number after a higher one.
    """
    orders = sorted(orders, key=lambda order: order.at_s)
    holders_by_fence = collections.defaultdict(set)
    fences_by_engine = collections.defaultdict(list)
    for order in orders:
        holders_by_fence[order.fence].add(order.holder)
        fences_by_engine[order.upstream].append(order.fence)
    violations = [
        f"the fencing number {fence} was used by {sorted(holders)}"
        for fence, holders in holders_by_fence.items()
        if len(holders) > 1
    ]
    violations += [
        f"{engine} got orders with falling fencing numbers {fences}"
        for engine, fences in fences_by_engine.items()
        if fences != sorted(fences)
    ]
    return violations


def check_turns(orders, processes_s_by_host):
    """Check that two holders do not take turns within the duration of a lease.

    Parameters
    ----------
    orders : list of run_log.Order
        Orders that the engines received.
    processes_s_by_host : dict of str to list of float
        When the processes of each host were started or signalled; one that stops
        releases its lease before the end of the duration.

    Returns
    -------
    list of str
        One line for each order of a holder after one of another after its own.
    """
    orders = sorted(orders, key=lambda order: order.at_s)
    violations = []
    for number, last in enumerate(orders):
        before = [
            order
            for order in orders[:number]
            if last.at_s - order.at_s < decisions.LEASE_DURATION_S
        ]
        first = next((order for order in before if order.holder == last.holder), None)
        if first is None:
            continue
        others = {
            order.holder
            for order in before
            if order.at_s > first.at_s and order.holder != last.holder
        }
        disturbed = {
            host
            for host, times_s in processes_s_by_host.items()
            if any(first.at_s <= each <= last.at_s for each in times_s)
        }
        if others and not disturbed & {last.holder, *others}:
            violations.append(
                f"{last.holder} and {sorted(others)} took turns within "
                f"{last.at_s - first.at_s:.2f} s"
            )
    return violations
