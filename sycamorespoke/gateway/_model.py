"""What the gateway serves: routes, services, client accounts and upstreams."""

import enum

import attrs

from sycamorespoke import serving


class RouteKind(enum.Enum):
    """What may be repeated of a request on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class Route:
    """Requests with one host name and path prefix.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host name that callers use.
    path_prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    timeout_s : float
        Longest time for which a caller is kept waiting, seconds, above 0.
    target_latency_s : float
        Time within which an answer has its full value, seconds, above 0.
    priority : int
        Rank, 0 is the highest.
    weights_by_service : dict of str to float
        Services that may serve it, with their shares.
    attempts : int
        Upstreams to which one request may be sent, 1 or more.
    is_anonymous : bool
        No API key is needed.
    is_resumable : bool
        A stream may go on at another upstream after its last event.
    carries_prompt : bool
        Its requests name the parts of their prompt.
    event_gap_s : float
        Longest pause between events of a stream with full value, seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    weights_by_service: dict[str, float]
    attempts: int = 1
    is_anonymous: bool = False
    is_resumable: bool = False
    carries_prompt: bool = False
    event_gap_s: float = 0.0

    @property
    def may_repeat(self):
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class EngineSpec:
    """What the model engines of a service have in common.

    Parameters
    ----------
    slots : int
        Requests that run at once, above 0.
    cache_tokens : int
        Memory for running requests and cached parts, tokens.
    token_bytes : int
        Memory of one token, bytes.
    """

    slots: int
    cache_tokens: int
    token_bytes: int


@attrs.frozen
class BlockStore:
    """A store of cached prompt parts.

    Parameters
    ----------
    address : str
        IP number and port.
    data_centre : str
        Where it stands.
    capacity_tokens : int
        Room, tokens.
    link_bits_per_s : float
        Speed of its link.
    first_byte_s : float
        Time that each transfer waits in addition, seconds.
    is_managed : bool
        Drops nothing by itself.
    readers : int, default=12
        Hosts that may read its events at the same time.
    """

    address: str
    data_centre: str
    capacity_tokens: int
    link_bits_per_s: float
    first_byte_s: float
    is_managed: bool
    readers: int = 12


@attrs.frozen
class Service:
    """A group of alike upstreams.

    Parameters
    ----------
    name : str
        Unique name.
    connection_limit : int
        Connections that one upstream takes from all hosts together; 0 if not
        stated.
    cold_start_s : float
        Time for which a started upstream is cold, seconds; 0 if never.
    cold_requests_per_s : float
        Requests that a cold upstream bears, per second.
    engine : EngineSpec or None, default=None
        Set for model engines.
    store : BlockStore or None, default=None
        Set for stores, which serve no route.
    """

    name: str
    connection_limit: int = 0
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0
    engine: EngineSpec | None = None
    store: BlockStore | None = None


@attrs.frozen
class Account:
    """A client account.

    Parameters
    ----------
    name : str
        Unique name.
    priority : int or None, default=None
        Goes before the priority of the route.
    is_isolated : bool, default=False
        Shares no cached part with another account.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False


@attrs.frozen
class Configuration:
    """One version of what the operators want.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        All routes.
    services_by_name : dict of str to Service
        All services.
    accounts_by_key : dict of str to Account
        Client accounts by API key.
    needs_key : bool
        Requests carry an API key unless their route is anonymous.
    limits : CallerLimits
        Bounds on what callers send.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    accounts_by_key: dict[str, Account] = attrs.field(repr=False, factory=dict)
    needs_key: bool = False
    limits: serving.CallerLimits = attrs.field(factory=serving.CallerLimits)
    _routes_by_host: dict = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self):
        routes_by_host = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        object.__setattr__(self, "_routes_by_host", routes_by_host)

    def find_route(self, host, path):
        """Find the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            Host name of the request, with or without a port.
        path : str
            Path without the query.

        Returns
        -------
        Route or None
            ``None`` if no route covers the path.

        Examples
        --------
        >>> routes = [
        ...     Route(name, "a", prefix, RouteKind.SAFE, 1.0, 1.0, 0, {"s": 1.0})
        ...     for name, prefix in [("short", "/x/"), ("long", "/x/y/")]
        ... ]
        >>> configuration = Configuration(1, tuple(routes), {})
        >>> configuration.find_route("A:80", "/x/y/z").name
        'long'
        >>> configuration.find_route("a", "/x") is None
        True
        """
        name = host.partition(":")[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@attrs.frozen
class Upstream:
    """One upstream as it registered itself.

    Parameters
    ----------
    id : str
        Mostly new with each start.
    started_ms : int
        Unix milliseconds of its start, which tell two starts under one id apart.
    service : str
        Name of its service.
    address : str
        IP number and port.
    data_centre : str
        Where it stands.
    slots : int
        Requests that it works on at once.
    is_draining : bool
        It is about to leave.
    cold_s : float
        How much longer it was cold when the entry was received, seconds.
    seen_s : float
        When the entry was received, seconds of the boot clock.
    versions_by_model : dict of str to int
        Weight versions that it holds.
    """

    id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int = 1
    is_draining: bool = False
    cold_s: float = 0.0
    seen_s: float = 0.0
    versions_by_model: dict[str, int] = attrs.field(factory=dict)

    @property
    def boot_id(self):
        """Id and start, which together name one start."""
        return f"{self.id}@{self.started_ms}"

    def is_cold(self, now):
        """Return whether it is still cold at ``now``, seconds of the boot clock."""
        return self.cold_s > 0 and now < self.seen_s + self.cold_s


@attrs.frozen
class Host:
    """An entry host as it registered itself.

    Parameters
    ----------
    name : str
        Unique name.
    data_centre : str
        Where it stands.
    peer_address : str
        IP number and port for messages between hosts.
    """

    name: str
    data_centre: str
    peer_address: str


@attrs.frozen
class TargetVersion:
    """Weights that the operators want in use.

    Parameters
    ----------
    model : str
        The model.
    version : int
        Increases.
    seen_s : float
        When this host learned of it, seconds of the boot clock.
    """

    model: str
    version: int
    seen_s: float
