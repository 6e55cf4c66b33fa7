"""Checks of the versions of the configuration that are in force at the hosts."""

from tests.soak import guarantees

# Time in which an acknowledged version is in force.
IN_FORCE_S = 2.5


def check_added_routes(probes, acks, returns, disturbances):
    """Check that routes are served once their version was acknowledged long enough.

    Parameters
    ----------
    probes : list of probes.Probe
        Requests on routes that were added.
    acks : list of probes.Ack
        Acknowledgements of versions.
    returns : list of store_returns.StoreReturn
        Returns of the store from an older copy; what was acknowledged before counts
        once it is written again.
    disturbances : weight_guarantees.Disturbances
        Faults of hosts, links and store.

    Returns
    -------
    list of str
        One line for each host and version that was not in force in time.
    """
    late_by_key = {}
    for probe in probes:
        late_s = _compute_lateness_s(probe, acks, returns, disturbances)
        if not probe.is_in_force and late_s > 0:
            key = probe.host, probe.start, probe.version
            late_by_key[key] = max(late_s, late_by_key.get(key, 0.0))
    return [
        f"the route of version {version} was still unknown at {host} "
        f"{late_s + IN_FORCE_S:.1f} s after its acknowledgement or the last fault"
        for (host, _, version), late_s in late_by_key.items()
    ]


def _compute_lateness_s(probe, acks, returns, disturbances):
    """Return how late the route is, in seconds; 0.0 or less if it need not be there."""
    host_s = [
        *disturbances.processes_s_by_host.get(probe.host, ()),
        *disturbances.links_s_by_host.get(probe.host, ()),
    ]
    begins_s = [
        _find_acked_s(probe, acks, returns),
        *(each for each in disturbances.store_s if each <= probe.ended_s),
        *(
            each + guarantees.STABILITY_WINDOW_S
            for each in host_s
            if each <= probe.ended_s
        ),
    ]
    return probe.sent_s - max(begins_s) - IN_FORCE_S


def _find_acked_s(probe, acks, returns):
    """Return when the version was acknowledged by the store as it has been since."""
    away_s = [each.away_s for each in returns if each.away_s <= probe.ended_s]
    lost_s = max(away_s, default=0.0)
    acked_s = [
        ack.at_s for ack in acks if ack.version >= probe.version and ack.at_s > lost_s
    ]
    return min(acked_s, default=float("inf"))


def check_versions_kept(probes):
    """Check that no version is taken back within one start of a process.

    Parameters
    ----------
    probes : list of probes.Probe
        Requests on routes that were added.

    Returns
    -------
    list of str
        One line for each start of a process and version that was taken back.
    """
    newest_by_start = {}
    found = {}
    for probe in sorted(probes, key=lambda each: each.ended_s):
        key = probe.host, probe.start
        newest, seen_s = newest_by_start.get(key, (0, 0.0))
        if probe.is_in_force and probe.version > newest:
            newest_by_start[key] = probe.version, probe.ended_s
        is_later = probe.sent_s > seen_s
        if not probe.is_in_force and probe.version <= newest and is_later:
            found[*key, probe.version] = probe.sent_s - seen_s
    return [
        f"version {version} was in force at {host} and taken back "
        f"(last seen so {after_s:.1f} s after)"
        for (host, _, version), after_s in found.items()
    ]
