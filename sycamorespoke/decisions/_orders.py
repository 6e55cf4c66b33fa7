"""Load orders to model engines: which engine loads which weight version, and when."""

import attrs

from sycamorespoke import domain
from sycamorespoke.decisions import _lease_state, _permits

MAX_ORDER_DURATION_S = 10.0


@attrs.frozen
class LoadOrder:
    """An order to load a weight version.

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
    """An order that was sent and may still be executed.

    Parameters
    ----------
    order : LoadOrder
        Order.
    sent_s : float
        Time at which it was sent, in monotonic seconds.
    """

    order: LoadOrder
    sent_s: float


def may_send_order(held, contract, now):
    """Return whether the holder of a shard may send an order to an upstream.

    A new holder first waits until no order of a previous holder can be pending. An
    upstream that does not check fencing numbers also executes orders that a
    previous holder sends late, so that the wait is longer by the lease duration.

    Parameters
    ----------
    held : HeldLease or None
        Lease of the shard.
    contract : domain.Contract
        Contract of the upstream.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether the lease is held and the wait is over.
    """
    if not _lease_state.is_held(held, now):
        return False
    wait_s = MAX_ORDER_DURATION_S
    if not contract.checks_fencing:
        wait_s += held.duration_s
    return now - held.acquired_s >= wait_s


def plan_load_orders(hosts, groups_by_name, reports_by_name, sent, loads_at_once, now):
    """Return the load orders that may be sent now.

    Parameters
    ----------
    hosts : list of domain.Host
        Upstreams of one data centre.
    groups_by_name : dict of str to domain.UpstreamGroup
        Upstream groups with their target versions.
    reports_by_name : dict of str to domain.LoadReport or domain.Refusal
        Latest load report of each engine.
    sent : list of SentOrder
        Orders sent earlier.
    loads_at_once : int
        Maximum number of concurrent loads in the data centre.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    list of LoadOrder
        Orders, no more than the number of loads that may start now.
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
        is_engine = group is not None and group.kind is domain.UpstreamKind.MODEL
        if not is_engine or host.state is not domain.HostState.LIVE:
            continue
        if host.name in busy or not isinstance(report, domain.LoadReport):
            continue
        if report.version != group.version:
            wanted.append(LoadOrder(host.name, group.model, group.version))
    return wanted[: max(0, loads_at_once - len(busy))]


def is_order_pending(sent, report, now):
    """Return whether an order may still be executed.

    Parameters
    ----------
    sent : SentOrder
        Order.
    report : domain.LoadReport or domain.Refusal or None
        Latest load report of the engine.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether the maximum duration of an order has not passed and no report that
        is certainly later than the order shows its version.
    """
    if now - sent.sent_s >= MAX_ORDER_DURATION_S:
        return False
    if not isinstance(report, domain.LoadReport):
        return True
    is_later = report.reported_s - _permits.REPORT_LAG_S >= sent.sent_s
    return not (is_later and report.version == sent.order.version)


def choose_shards(data_centre, view, now):
    """Choose the data centres whose shards a steward tries to hold.

    Parameters
    ----------
    data_centre : str
        Data centre of the steward.
    view : membership.View
        View of the steward.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    list of str
        Its own data centre and every other one without a live entry host.
    """
    alive = {
        host.data_centre
        for host in view.hosts.select(domain.HostRole.ENTRY)
        if now - view.last_heartbeat_s_by_name.get(host.name, float("-inf"))
        <= MAX_ORDER_DURATION_S
    }
    known = sorted(view.configuration.data_centres_by_name)
    return [each for each in known if each == data_centre or each not in alive]
