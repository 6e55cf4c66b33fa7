"""Types of the deployment: routes, services, client accounts and upstreams."""

import enum

import attrs

from sycamorespoke import decisions, serving


class RouteKind(enum.Enum):
    """Kind of a route, which determines whether its requests may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class Route:
    """Route for requests with one host name and path prefix.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host name in the requests of callers.
    path_prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        Determines whether requests may be retried.
    timeout_s : float
        Maximum time until the response is complete, seconds, above 0.
    target_latency_s : float
        Latency beyond which a response loses value, seconds, above 0.
    priority : int
        Priority, 0 is the highest.
    weights_by_service : dict of str to float
        Services that serve the route, with their relative weights.
    attempts : int
        Maximum number of upstreams that may receive one request, 1 or more.
    is_anonymous : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether a stream may resume at another upstream after its last event.
    carries_prompt : bool
        Whether requests list the blocks of their prompt.
    event_gap_s : float
        Pause between events beyond which a stream loses value, seconds.
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
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class EngineSpec:
    """Specification that all model engines of a service share.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests, above 0.
    cache_tokens : int
        Capacity of the KV cache for running requests and cached blocks, tokens.
    token_bytes : int
        Size of one token in the KV cache, bytes.
    """

    slots: int
    cache_tokens: int
    token_bytes: int


@attrs.frozen
class BlockStore:
    """A store that holds blocks of the KV cache.

    Parameters
    ----------
    address : str
        IP address and port.
    data_centre : str
        Data centre of the store.
    capacity_tokens : int
        Capacity, tokens.
    link_bits_per_s : float
        Bandwidth of its network link, bits per second.
    first_byte_s : float
        Latency that each transfer has in addition, seconds.
    is_managed : bool
        Whether the gateway evicts its blocks; the store evicts none by itself.
    readers : int, default=12
        Maximum number of hosts that read its events at the same time.
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
    """A group of interchangeable upstreams.

    Parameters
    ----------
    name : str
        Unique name.
    connection_limit : int
        Maximum number of connections that one upstream accepts from all hosts
        together; 0 if not stated.
    cold_start_s : float
        Time for which an upstream is cold after its start, seconds; 0 if never.
    cold_requests_per_s : float
        Request rate that a cold upstream sustains, per second.
    engine : EngineSpec or None, default=None
        Specification of the engines; only for model engines.
    store : BlockStore or None, default=None
        The block store; only for block stores, which serve no route.
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
        Overrides the priority of the route.
    is_isolated : bool, default=False
        Whether the account shares no cached block with other accounts.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False


@attrs.frozen
class Configuration:
    """One version of the configuration that operators write.

    Parameters
    ----------
    version : int
        Version, which increases with each change.
    routes : tuple of Route
        All routes.
    services_by_name : dict of str to Service
        All services.
    accounts_by_key : dict of str to Account
        Client accounts by API key.
    needs_key : bool
        Whether requests need an API key unless their route is anonymous.
    limits : CallerLimits
        Limits on requests and connections of callers.
    isolated_accounts : frozenset of str
        Names of the accounts that share no cached block, also of those without a key.

    Attributes
    ----------
    exclusion : str
        Digest of the isolated accounts, see `decisions.compute_exclusion`.
    highest_prompt_priority : int
        Priority of the most urgent routes that carry prompts, the lowest number.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    accounts_by_key: dict[str, Account] = attrs.field(repr=False, factory=dict)
    needs_key: bool = False
    limits: serving.CallerLimits = attrs.field(factory=serving.CallerLimits)
    isolated_accounts: frozenset[str] = frozenset()
    exclusion: str = attrs.field(init=False, eq=False)
    highest_prompt_priority: int = attrs.field(init=False, eq=False)
    _routes_by_host: dict = attrs.field(init=False, repr=False, eq=False)

    @highest_prompt_priority.default
    def _find_highest_prompt_priority(self):
        return min(
            (route.priority for route in self.routes if route.carries_prompt), default=0
        )

    @exclusion.default
    def _compute_exclusion(self):
        return decisions.compute_exclusion(self.isolated_accounts)

    def __attrs_post_init__(self):
        routes_by_host = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        object.__setattr__(self, "_routes_by_host", routes_by_host)

    def find_route(self, host, path):
        """Find the route with the longest prefix that matches a path.

        Parameters
        ----------
        host : str
            Host name of the request, with or without a port.
        path : str
            Path without the query.

        Returns
        -------
        Route or None
            ``None`` if no route matches.

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
    """An upstream as it registered itself.

    Parameters
    ----------
    id : str
        ID, usually new with each start.
    started_ms : int
        Start time, Unix milliseconds; distinguishes two starts under one ID.
    service : str
        Name of its service.
    address : str
        IP address and port.
    data_centre : str
        Data centre of the upstream.
    slots : int
        Maximum number of concurrent requests.
    is_draining : bool
        Whether it is about to stop and gets no new requests.
    cold_s : float
        Remaining time for which it was cold at ``seen_s``, seconds.
    seen_s : float
        When the registration was received, seconds of the boot clock.
    versions_by_model : dict of str to int
        Weight versions that it holds.
    software_version : str, default=""
        Version of its software, which has no order; empty if unknown.

    Attributes
    ----------
    boot_id : str
        Identifies one start of the upstream by its ID and start time.
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
    software_version: str = ""
    boot_id: str = attrs.field(init=False, eq=False, repr=False)

    @boot_id.default
    def _make_boot_id(self):
        return f"{self.id}@{self.started_ms}"

    def is_same_start(self, other):
        """Return whether another entry is of the same start, with the same software."""
        is_same_software = self.software_version == other.software_version
        return self.boot_id == other.boot_id and is_same_software

    def is_cold(self, now):
        """Return whether it is cold at ``now``, seconds of the boot clock."""
        return self.cold_s > 0 and now < self.seen_s + self.cold_s


@attrs.frozen
class Host:
    """An entry host as it registered itself.

    Parameters
    ----------
    name : str
        Unique name.
    data_centre : str
        Data centre of the host.
    peer_address : str
        IP address and port for messages between hosts.
    """

    name: str
    data_centre: str
    peer_address: str
