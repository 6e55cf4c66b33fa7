"""Accepted configuration, and service state set by operators."""

import attrs

from sycamorespoke.domain import _client_account, _contract, _data_centre, _link


@attrs.frozen
class CostWeights:
    """Weights of the routing cost of an upstream.

    Parameters
    ----------
    time_to_first_token : float, default=1.0
        Cost per second until the first token, 0 to 1000.
    recomputed : float, default=0.2
        Cost per second of recomputation, in addition to the cost of the wait that
        it causes, 0 to 1000.
    link : float, default=0.1
        Cost per second of link capacity that block transfers use, 0 to 1000.
    """

    time_to_first_token: float = 1.0
    recomputed: float = 0.2
    link: float = 0.1


@attrs.frozen
class Limits:
    """Limits of one entry host.

    Parameters
    ----------
    queue_wait_s : float, default=2.0
        Longest time that a request waits for an upstream before it is refused,
        seconds, 0.01 to 600.
    queue_length : int, default=1000
        Maximum number of waiting requests, 1 to 100000.
    body_bytes : int, default=4194304
        Largest request body, bytes, 1024 to 1073741824.
    retry_ratio : float, default=0.1
        Retries allowed per request, on average, 0 to 1.
    """

    queue_wait_s: float = 2.0
    queue_length: int = 1000
    body_bytes: int = 4194304
    retry_ratio: float = 0.1


@attrs.frozen
class Event:
    """An announced event for which load is expected at a known time.

    Parameters
    ----------
    name : str
        Unique name.
    route : str
        Name of the route whose requests are expected.
    start_s : float
        Start, seconds since the Unix epoch.
    rate : float
        Expected requests per second, above 0.
    """

    name: str
    route: str
    start_s: float
    rate: float


@attrs.frozen
class Configuration:
    """Configuration of a deployment at one revision.

    Parameters
    ----------
    revision : int, default=0
        Increases with each accepted change; 0 if there is none yet.
    deployment : str, default=""
        Name of the deployment.
    cost_weights : CostWeights
        Weights of the routing cost.
    limits : Limits
        Limits of one entry host.
    data_centres_by_name : dict of str to DataCentre
        Data centres.
    links_by_ends : dict of (str, str) to Link
        Links by the sorted names of the data centres that they connect.
    groups_by_name : dict of str to UpstreamGroup
        Upstream groups.
    routes_by_name : dict of str to Route
        Routes.
    accounts_by_name : dict of str to ClientAccount
        Client accounts.
    events_by_name : dict of str to Event
        Announced events.
    """

    revision: int = 0
    deployment: str = ""
    cost_weights: CostWeights = CostWeights()
    limits: Limits = Limits()
    data_centres_by_name: dict[str, _data_centre.DataCentre] = attrs.field(factory=dict)
    links_by_ends: dict[tuple[str, str], _link.Link] = attrs.field(factory=dict)
    groups_by_name: dict[str, _contract.UpstreamGroup] = attrs.field(factory=dict)
    routes_by_name: dict[str, _contract.Route] = attrs.field(factory=dict)
    accounts_by_name: dict[str, _client_account.ClientAccount] = attrs.field(
        factory=dict
    )
    events_by_name: dict[str, Event] = attrs.field(factory=dict)


@attrs.frozen
class ServiceState:
    """Data centres and upstreams that operators took out of service.

    Parameters
    ----------
    revision : int, default=0
        Increases with each change; 0 if there is none yet.
    data_centres_out : frozenset of str
        Names of data centres that get no new requests.
    upstreams_out : frozenset of str
        Names of upstream hosts that get no new requests.
    """

    revision: int = 0
    data_centres_out: frozenset[str] = frozenset()
    upstreams_out: frozenset[str] = frozenset()
