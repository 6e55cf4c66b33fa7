"""Orders to model engines: which of them load which version, and when."""

import attrs

from sycamorespoke import world
from sycamorespoke.decisions import _lease_state, _permits

MAX_ORDER_DURATION_S = 10.0


@attrs.frozen
class LoadOrder:
    """An order to load a version.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    model : str
        Model name.
    version : str
        Weight version.
    """

    upstream: str
    model: str
    version: str


@attrs.frozen
class SentOrder:
    """An order that was sent and may still be carried out.

    Parameters
    ----------
    order : LoadOrder
        The order.
    sent_s : float
        When it was sent, seconds of the monotonic clock.
    """

    order: LoadOrder
    sent_s: float


def may_send_order(held, contract, now):
    """Decide whether the holder of a shard may give an upstream an order.

    A new holder first waits until no order of a former one can be under way.
    An upstream that ignores fencing would also carry out what a former holder
    sent late, so that the lease is waited out once more.

    Parameters
    ----------
    held : HeldLease or None
        The lease of the shard.
    contract : world.Contract
        What the upstream promises.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        The lease is held and the wait is over.
    """
    if not _lease_state.is_held(held, now):
        return False
    wait_s = MAX_ORDER_DURATION_S
    if not contract.checks_fencing:
        wait_s += held.duration_s
    return now - held.acquired_s >= wait_s


def plan_load_orders(hosts, groups_by_name, reports_by_name, sent, loads_at_once, now):
    """Choose the next orders to load a version.

    Parameters
    ----------
    hosts : list of world.Host
        Engines of one data centre.
    groups_by_name : dict of str to world.UpstreamGroup
        Groups, which name the version wanted.
    reports_by_name : dict of str to world.LoadReport or world.Refusal
        Newest load report of each engine.
    sent : list of SentOrder
        Orders sent earlier.
    loads_at_once : int
        Loads that may run at the same time in the data centre.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    list of LoadOrder
        At most as many as may start now.
    """
    busy = {
        each.order.upstream
        for each in sent
        if is_order_pending(each, reports_by_name.get(each.order.upstream), now)
    }
    wanted = []
    for host in hosts:
        group = groups_by_name.get(host.group)
        report = reports_by_name.get(host.name)
        is_engine = group is not None and group.kind is world.UpstreamKind.MODEL
        if not is_engine or host.state is not world.HostState.LIVE:
            continue
        if host.name in busy or not isinstance(report, world.LoadReport):
            continue
        if report.version != group.version:
            wanted.append(LoadOrder(host.name, group.model, group.version))
    return wanted[: max(0, loads_at_once - len(busy))]


def is_order_pending(sent, report, now):
    """Decide whether an order may still be carried out.

    Parameters
    ----------
    sent : SentOrder
        The order.
    report : world.LoadReport or world.Refusal or None
        Newest load report of the engine.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        The longest order's time has not passed, and no report that is surely
        later than the order shows its version.
    """
    if now - sent.sent_s >= MAX_ORDER_DURATION_S:
        return False
    if not isinstance(report, world.LoadReport):
        return True
    is_later = report.reported_s - _permits.REPORT_LAG_S >= sent.sent_s
    return not (is_later and report.version == sent.order.version)


def choose_shards(data_centre, view, now):
    """Choose the data centres whose shard a steward tries to hold.

    Parameters
    ----------
    data_centre : str
        Data centre of the steward.
    view : membership.View
        Its view.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    list of str
        Its own, and each other one that has no entry host alive.
    """
    alive = {
        host.data_centre
        for host in view.hosts.select(world.HostRole.ENTRY)
        if now - view.alive_by_name.get(host.name, float("-inf"))
        <= MAX_ORDER_DURATION_S
    }
    known = sorted(view.configuration.data_centres_by_name)
    return [each for each in known if each == data_centre or each not in alive]
