"""Planning of weight loads and upstream warm-ups ahead of an announced event."""

import collections
import enum
import math

import attrs

from sycamorespoke import domain


class PreparationKind(enum.Enum):
    """The preparation that an upstream needs before an event."""

    NONE = "none"
    WARM = "warm"
    LOAD_AND_WARM = "load_and_warm"


@attrs.frozen
class EventEstimates:
    """Durations that a deployment assumes when it plans preparations.

    Parameters
    ----------
    load_s : float, default=0.3
        Time to load a weight version, seconds, 0 to 3600.
    request_duration_s : float, default=1.0
        Time that one request occupies a slot of an upstream, seconds, above 0.
    margin_s : float, default=10.0
        Time before the start of an event at which all preparations should be
        complete, seconds, 0 to 3600.
    """

    load_s: float = 0.3
    request_duration_s: float = 1.0
    margin_s: float = 10.0


@attrs.frozen
class Preparation:
    """The preparation of one upstream for an event, and when to start it.

    Parameters
    ----------
    event : str
        Name of the event.
    upstream : str
        Name of the upstream.
    kind : PreparationKind
        ``WARM`` or ``LOAD_AND_WARM``.
    version : str
        Weight version that the upstream should have loaded; empty for a plain
        service.
    latest_start_s : float
        Latest start at which the preparation still completes in time, seconds
        since the epoch.
    """

    event: str
    upstream: str
    kind: PreparationKind
    version: str
    latest_start_s: float


def count_needed_upstreams(event, group, estimates):
    """Compute how many warm upstreams an event needs.

    Parameters
    ----------
    event : domain.Event
        The event.
    group : domain.UpstreamGroup
        Group of the event's route.
    estimates : EventEstimates
        Durations, of which the request duration is used.

    Returns
    -------
    int
        Number of upstreams by Little's law, at least 1.

    Examples
    --------
    >>> event = domain.Event("race", "chat", 1000.0, rate=40.0)
    >>> group = domain.UpstreamGroup("scribe", domain.UpstreamKind.MODEL, limit=8)
    >>> count_needed_upstreams(event, group, EventEstimates(request_duration_s=0.5))
    3
    """
    running = event.rate * estimates.request_duration_s
    return max(1, math.ceil(running / group.limit))


def determine_preparation(group, report):
    """Determine the preparation an upstream needs to run at its group's full limit.

    Parameters
    ----------
    group : domain.UpstreamGroup
        Group of the upstream.
    report : domain.LoadReport or domain.Refusal or None
        Newest load report of the upstream.

    Returns
    -------
    PreparationKind
        An upstream without a load report is assumed to need a full preparation.
    """
    is_known = isinstance(report, domain.LoadReport)
    if is_known and report.version == group.version:
        return PreparationKind.NONE if report.warm else PreparationKind.WARM
    if group.kind is domain.UpstreamKind.SERVICE:
        is_warm = is_known and report.warm
        return PreparationKind.NONE if is_warm else PreparationKind.WARM
    return PreparationKind.LOAD_AND_WARM


def plan_preparations(
    event, configuration, service_state, hosts, reports_by_name, estimates
):
    """Plan the preparations for an event.

    Parameters
    ----------
    event : domain.Event
        The event.
    configuration : domain.Configuration
        The configuration in force.
    service_state : domain.ServiceState
        Data centres and upstreams that are out of service. They are not prepared.
    hosts : domain.HostList
        All hosts in the platform's list.
    reports_by_name : dict of str to domain.LoadReport
        Newest load reports by upstream.
    estimates : EventEstimates
        Assumed durations.

    Returns
    -------
    list of Preparation
        Ordered by their latest start. No data centre loads weights on more
        upstreams at once than its ``loads_at_once`` allows.

    Notes
    -----
    Upstreams that need the least preparation are selected first, in turn from each
    data centre.
    """
    group = _find_group(event, configuration)
    if group is None:
        return []
    candidates = _select_upstreams(group, service_state, hosts)
    needs_by_name = {
        host.name: determine_preparation(group, reports_by_name.get(host.name))
        for host in candidates
    }
    count = count_needed_upstreams(event, group, estimates)
    chosen = _order_by_need(candidates, needs_by_name)[:count]
    preparations = _schedule(
        event, group, chosen, needs_by_name, configuration, estimates
    )
    return sorted(preparations, key=lambda each: (each.latest_start_s, each.upstream))


def select_due(preparations, event, now):
    """Select the preparations that have to start now.

    Parameters
    ----------
    preparations : list of Preparation
        Preparations planned from the newest load reports.
    event : domain.Event
        Event of the preparations.
    now : float
        Current time, seconds since the epoch.

    Returns
    -------
    list of Preparation
        Empty once the event has started: from then on its own requests warm
        upstreams that are still cold.

    Examples
    --------
    >>> event = domain.Event("race", "chat", 1000.0, rate=1.0)
    >>> warm = Preparation(
    ...     "race", "u", PreparationKind.WARM, "v1", latest_start_s=985.0
    ... )
    >>> [len(select_due([warm], event, now)) for now in (984, 985, 999, 1000)]
    [0, 1, 1, 0]
    """
    if now >= event.start_s:
        return []
    return [each for each in preparations if each.latest_start_s <= now]


def _find_group(event, configuration):
    route = configuration.routes_by_name.get(event.route)
    if route is None:
        return None
    return configuration.groups_by_name.get(route.group)


def _select_upstreams(group, service_state, hosts):
    return [
        host
        for host in hosts.select(domain.HostRole.UPSTREAM)
        if host.group == group.name
        and host.state is domain.HostState.LIVE
        and host.name not in service_state.upstreams_out
        and host.data_centre not in service_state.data_centres_out
    ]


def _order_by_need(hosts, needs_by_name):
    kinds = list(PreparationKind)
    turns = collections.Counter()
    keys_by_name = {}
    for host in hosts:
        need = kinds.index(needs_by_name[host.name])
        turn = turns[host.data_centre, need]
        turns[host.data_centre, need] += 1
        keys_by_name[host.name] = (need, turn, host.name)
    return sorted(hosts, key=lambda host: keys_by_name[host.name])


def _schedule(event, group, hosts, needs_by_name, configuration, estimates):
    # Rounds of loads are planned backwards from the time at which warm-up starts.
    warm_up_start_s = event.start_s - estimates.margin_s - group.warm_up_s
    loads_by_data_centre = collections.Counter()
    for host in hosts:
        kind = needs_by_name[host.name]
        if kind is PreparationKind.NONE:
            continue
        latest_start_s = warm_up_start_s
        if kind is PreparationKind.LOAD_AND_WARM:
            max_loads = _get_max_loads(host.data_centre, configuration)
            later_rounds = loads_by_data_centre[host.data_centre] // max_loads
            loads_by_data_centre[host.data_centre] += 1
            latest_start_s -= (later_rounds + 1) * estimates.load_s
        yield Preparation(event.name, host.name, kind, group.version, latest_start_s)


def _get_max_loads(data_centre, configuration):
    known = configuration.data_centres_by_name.get(data_centre)
    return (known or domain.DataCentre(data_centre)).loads_at_once
