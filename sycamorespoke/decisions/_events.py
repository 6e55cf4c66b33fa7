"""What is due ahead of an announced event: versions to load, upstreams to warm."""

import collections
import enum
import math

import attrs

from sycamorespoke import world


class PreparationKind(enum.Enum):
    """What an upstream needs before an event."""

    NONE = "none"
    WARM = "warm"
    LOAD_AND_WARM = "load_and_warm"


@attrs.frozen
class EventEstimates:
    """What a deployment assumes about its preparations.

    Parameters
    ----------
    load_s : float, default=0.3
        Seconds that loading a version takes, 0 to 3600.
    request_duration_s : float, default=1.0
        Seconds that one request occupies an upstream, above 0.
    margin_s : float, default=10.0
        Seconds before the start at which all is to be ready, 0 to 3600.
    """

    load_s: float = 0.3
    request_duration_s: float = 1.0
    margin_s: float = 10.0


@attrs.frozen
class Preparation:
    """What one upstream needs before an event, and from when.

    Parameters
    ----------
    event : str
        Name of the event.
    upstream : str
        Name of the upstream.
    kind : PreparationKind
        ``WARM`` or ``LOAD_AND_WARM``.
    version : str
        Weight version to be held; empty for a plain service.
    latest_start_s : float
        Latest begin that ends in time, seconds since the epoch.
    """

    event: str
    upstream: str
    kind: PreparationKind
    version: str
    latest_start_s: float


def count_needed_upstreams(event, group, estimates):
    """Count the warm upstreams that an event needs.

    Parameters
    ----------
    event : world.Event
        The event.
    group : world.UpstreamGroup
        Group of its route.
    estimates : EventEstimates
        Time that a request occupies an upstream.

    Returns
    -------
    int
        By Little's law, at least 1.

    Examples
    --------
    >>> event = world.Event("race", "chat", 1000.0, rate=40.0)
    >>> group = world.UpstreamGroup("scribe", world.UpstreamKind.MODEL, limit=8)
    >>> count_needed_upstreams(event, group, EventEstimates(request_duration_s=0.5))
    3
    """
    running = event.rate * estimates.request_duration_s
    return max(1, math.ceil(running / group.limit))


def determine_preparation(group, report):
    """Decide what an upstream needs to serve its group at its full limit.

    Parameters
    ----------
    group : world.UpstreamGroup
        Its group.
    report : world.LoadReport or world.Refusal or None
        Its newest load report.

    Returns
    -------
    PreparationKind
        An upstream that says nothing needs everything.
    """
    is_known = isinstance(report, world.LoadReport)
    if is_known and report.version == group.version:
        return PreparationKind.NONE if report.warm else PreparationKind.WARM
    if group.kind is world.UpstreamKind.SERVICE:
        is_warm = is_known and report.warm
        return PreparationKind.NONE if is_warm else PreparationKind.WARM
    return PreparationKind.LOAD_AND_WARM


def plan_preparations(
    event, configuration, service_state, hosts, reports_by_name, estimates
):
    """Plan what has to be done ahead of an event.

    Parameters
    ----------
    event : world.Event
        The event.
    configuration : world.Configuration
        The rules.
    service_state : world.ServiceState
        What is out of service; nothing of it is prepared.
    hosts : world.HostList
        The platform's list of hosts.
    reports_by_name : dict of str to world.LoadReport
        Newest load reports by upstream.
    estimates : EventEstimates
        Durations.

    Returns
    -------
    list of Preparation
        Ordered by their begin. No data centre loads more at once than its rule
        allows.

    Notes
    -----
    Upstreams that need least are taken first, by turns from each data centre.
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
    """Select the preparations whose time has come.

    Parameters
    ----------
    preparations : list of Preparation
        As planned from the newest reports.
    event : world.Event
        Their event.
    now : float
        Present time, seconds since the epoch.

    Returns
    -------
    list of Preparation
        Empty from the start of the event on: what is cold then is warmed by the
        requests themselves.

    Examples
    --------
    >>> event = world.Event("race", "chat", 1000.0, rate=1.0)
    >>> warm = Preparation("race", "u", PreparationKind.WARM, "v1", 985.0)
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
        for host in hosts.select(world.HostRole.UPSTREAM)
        if host.group == group.name
        and host.state is world.HostState.LIVE
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
    # Planned backwards: the last round of loads ends when warming has to begin.
    warm_from_s = event.start_s - estimates.margin_s - group.warm_up_s
    loads_by_data_centre = collections.Counter()
    for host in hosts:
        kind = needs_by_name[host.name]
        if kind is PreparationKind.NONE:
            continue
        latest_start_s = warm_from_s
        if kind is PreparationKind.LOAD_AND_WARM:
            at_once = _loads_at_once(host.data_centre, configuration)
            later_rounds = loads_by_data_centre[host.data_centre] // at_once
            loads_by_data_centre[host.data_centre] += 1
            latest_start_s -= (later_rounds + 1) * estimates.load_s
        yield Preparation(event.name, host.name, kind, group.version, latest_start_s)


def _loads_at_once(data_centre, configuration):
    known = configuration.data_centres_by_name.get(data_centre)
    return (known or world.DataCentre(data_centre)).loads_at_once
