"""Interface between the gateway and the platform that it runs on."""

import attrs


@attrs.frozen
class Deployment:
    """Clients and formats of the platform that the gateway uses.

    Parameters
    ----------
    protocol : object
        Parses and builds HTTP requests and responses, see `Gateway`.
    source : object
        Source of shared objects, see `objects.Follower`; its ``history`` is an
        `clients.StoreHistory`.
    kinds : ObjectKinds
        Names and parsers of the kinds of shared objects.
    registry : object
        Has ``register(host)``, ``unregister(name)`` and
        ``get_or_create_peer_key(proposed)``.
    leases : object
        Client of lease objects, see `TaskLease` and `WeightRollout`.
    engines : object
        Client that reads reports of engines and sends orders, see `WeightRollout`.
    block_stores : object
        Client of the block stores, see `BlockPlanner` and `Retirement`.
    crash_records : object
        Writes the objects of the kind ``crashes``, see `Quarantine`.
    stream_records : object
        Objects with records of streams, see `StoredOrigins`.
    ready_path : str
        Path that the load balancer polls for readiness.
    rollout_states : object, default=None
        Has ``write(order, state)``, see `RolloutStates`.
    """

    protocol: object
    source: object
    kinds: object
    registry: object
    leases: object
    engines: object
    block_stores: object
    crash_records: object
    stream_records: object
    ready_path: str
    rollout_states: object = None


@attrs.frozen
class ObjectKind:
    """A kind of shared objects.

    Parameters
    ----------
    name : str
        Name of the kind at the source.
    parse : callable
        Takes a JSON value and the time and returns an item, see `Subscription`.
    """

    name: str
    parse: object


@attrs.frozen
class ObjectKinds:
    """The kinds of shared objects that a gateway follows.

    Parameters
    ----------
    configuration, upstreams, data_centres_out, versions, hosts : ObjectKind
        One kind for each section of the view.
    leases : ObjectKind
        The leases.
    crashes : ObjectKind
        `CrashReport` and `QuarantinedBlock` objects.
    rollouts : ObjectKind or None, default=None
        Orders to bring in a software version of a service.
    """

    configuration: ObjectKind
    upstreams: ObjectKind
    data_centres_out: ObjectKind
    versions: ObjectKind
    hosts: ObjectKind
    leases: ObjectKind
    crashes: ObjectKind
    rollouts: ObjectKind | None = None
