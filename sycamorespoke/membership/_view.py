"""The view that a daemon has of its deployment."""

import attrs

from sycamorespoke import world

NEVER_S = float("-inf")


@attrs.frozen
class View:
    """What a daemon knows at one moment; replaced as a whole, never changed.

    Parameters
    ----------
    configuration : world.Configuration
        Rules in force; revision 0 before any is known.
    service_state : world.ServiceState
        What operators have taken out; revision 0 if they never did.
    hosts : world.HostList
        Hosts that may exist, as the platform last listed them.
    last_heartbeat_s_by_name : dict of str to float
        When each other entry host was last heard, seconds of the monotonic clock.
    confirmed_s : float
        A time at which the view was up to date, seconds of the monotonic clock;
        minus infinity if it was never confirmed.
    platform_confirmed_s : float
        The same, by the platform's word alone, own or passed on by peers.
    peers_confirmed_s : float
        The same, by the word of peers that cover more than half.
    started_s : float
        When the process started, seconds of the monotonic clock.
    in_flight_by_upstream : dict of str to int
        Requests that the other hosts reported running at each upstream.
    holder_by_shard : dict of str to str
        Names of the other hosts that said that they hold a shard's lease.
    """

    configuration: world.Configuration = attrs.field(factory=world.Configuration)
    service_state: world.ServiceState = attrs.field(factory=world.ServiceState)
    hosts: world.HostList = attrs.field(factory=world.HostList)
    last_heartbeat_s_by_name: dict[str, float] = attrs.field(factory=dict)
    confirmed_s: float = NEVER_S
    platform_confirmed_s: float = NEVER_S
    peers_confirmed_s: float = NEVER_S
    started_s: float = NEVER_S
    in_flight_by_upstream: dict[str, int] = attrs.field(factory=dict)
    holder_by_shard: dict[str, str] = attrs.field(factory=dict)
