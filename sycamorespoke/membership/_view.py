"""View of the deployment from one process."""

import attrs

from sycamorespoke import domain

NEVER_S = float("-inf")


@attrs.frozen
class View:
    """Immutable view of the deployment; an update replaces it as a whole.

    Parameters
    ----------
    configuration : domain.Configuration
        Configuration in force; revision 0 before one is received.
    service_state : domain.ServiceState
        Data centres and upstreams that operators took out of service; revision 0
        if there were none so far.
    hosts : domain.HostList
        Hosts in the platform's last host list; some may no longer exist.
    last_heartbeat_s_by_name : dict of str to float
        Monotonic time of the last heartbeat of each other entry host, in seconds.
    confirmed_s : float
        Latest monotonic time at which the view is known to have been up to date,
        in seconds; minus infinity if it was never confirmed.
    platform_confirmed_s : float
        The same, confirmed by the platform only, directly or through peers.
    peers_confirmed_s : float
        The same, confirmed by a majority of peers, see
        `decisions.compute_peers_confirmed_s`.
    started_s : float
        Monotonic time at which the process started, in seconds.
    in_flight_by_upstream : dict of str to int
        Running requests at each upstream, as reported by the other hosts.
    holder_by_shard : dict of str to str
        Name of the other host that reports holding the lease, by shard.
    """

    configuration: domain.Configuration = attrs.field(factory=domain.Configuration)
    service_state: domain.ServiceState = attrs.field(factory=domain.ServiceState)
    hosts: domain.HostList = attrs.field(factory=domain.HostList)
    last_heartbeat_s_by_name: dict[str, float] = attrs.field(factory=dict)
    confirmed_s: float = NEVER_S
    platform_confirmed_s: float = NEVER_S
    peers_confirmed_s: float = NEVER_S
    started_s: float = NEVER_S
    in_flight_by_upstream: dict[str, int] = attrs.field(factory=dict)
    holder_by_shard: dict[str, str] = attrs.field(factory=dict)
