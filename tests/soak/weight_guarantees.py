"""Checks of the weight versions on which engines began requests."""

import attrs

from tests.soak import guarantees

# Bound of the users' platform.
VERSION_S = 6.0


@attrs.frozen
class Disturbances:
    """Times that excuse older weights; all in seconds of the monotonic clock.

    Parameters
    ----------
    processes_s_by_host : dict of str to list of float
        When the processes of each host were started or signalled.
    links_s_by_host : dict of str to list of float
        When links of each host were disturbed or restored.
    store_s : list of float
        When the store was disturbed or restored.
    link_faults_by_id : dict of str to list of (float, float)
        Faults of the link to each engine, by its ID.
    """

    processes_s_by_host: dict[str, list[float]] = attrs.field(factory=dict)
    links_s_by_host: dict[str, list[float]] = attrs.field(factory=dict)
    store_s: list[float] = attrs.field(factory=list)
    link_faults_by_id: dict[str, list[list[float]]] = attrs.field(factory=dict)


def check_begins(outcomes, runs, acked_s_by_version, disturbances):
    """Check that no request begins on older weights after the grace period.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        Outcomes that the callers observed, with the hosts that sent the requests on.
    runs : list of run_log.Run
        Requests that the upstreams ran.
    acked_s_by_version : dict of int to float
        When the store had acknowledged each weight version, monotonic time in seconds.
    disturbances : Disturbances
        Faults of hosts, links and store.

    Returns
    -------
    list of str
        One line for each request that began on older weights too late.
    """
    host_by_request = {each.request_id: each.host for each in outcomes}
    violations = []
    for run in runs:
        host = host_by_request.get(run.request_id)
        late_s = _compute_lateness_s(run, acked_s_by_version)
        is_late = run.weight_version > 0 and late_s > 0 and host is not None
        if is_late and not _is_excused(run, host, disturbances):
            violations.append(
                f"{run.request_id} of {host} began at {run.upstream} on weight "
                f"version {run.weight_version}, {late_s:.3f} s after the grace "
                f"period and {run.at_s - run.arrived_s:.3f} s after it arrived"
            )
    return violations


def _compute_lateness_s(run, acked_s_by_version):
    """Return the time since the grace period of the next version ended."""
    acked_s = min(
        (
            acked_s
            for version, acked_s in acked_s_by_version.items()
            if version > run.weight_version
        ),
        default=float("inf"),
    )
    return run.at_s - acked_s - VERSION_S


def _is_excused(run, host, disturbances):
    in_touch_since_s = run.arrived_s - guarantees.STABILITY_WINDOW_S
    # The grace period counts while the store is stable.
    stable_since_s = run.at_s - VERSION_S - guarantees.STABILITY_WINDOW_S
    processes_s = disturbances.processes_s_by_host.get(host, ())
    links_s = disturbances.links_s_by_host.get(host, ())
    link_faults = disturbances.link_faults_by_id.get(run.upstream, ())
    return (
        any(in_touch_since_s <= each <= run.arrived_s for each in processes_s)
        or any(in_touch_since_s <= each <= run.at_s for each in links_s)
        or any(stable_since_s <= each <= run.at_s for each in disturbances.store_s)
        or any(
            began_s <= run.at_s and ended_s >= run.arrived_s
            for began_s, ended_s in link_faults
        )
    )


def check_engines(versions_by_id, target_version):
    """Check that all engines have the target version.

    Parameters
    ----------
    versions_by_id : dict of str to int
        Weight version of each engine.
    target_version : int
        Weight version that was named last, long before.

    Returns
    -------
    list of str
        One line for each engine that has an older version.
    """
    return [
        f"{engine} has weight version {version} in place of {target_version}"
        for engine, version in versions_by_id.items()
        if version < target_version
    ]
