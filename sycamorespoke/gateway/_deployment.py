"""What the gateway needs of the platform that it runs on."""

import attrs


@attrs.frozen
class Deployment:
    """What the gateway needs of the platform that it runs on.

    Parameters
    ----------
    protocol : object
        Reads and writes requests and answers, see `Gateway`.
    source : object
        Source of shared objects, see `Follower`.
    kinds : ObjectKinds
        Names and readers of the kinds of shared objects.
    registry : object
        Has ``register(host)``, ``unregister(name)`` and ``agree_key(proposed)``.
    leases : object
        Lease objects, see `Rollout`.
    engines : object
        Reports of engines and orders to them, see `Rollout`.
    block_stores : object
        Stores of cached prompt parts, see `BlockPlanner`.
    ready_path : str
        Path on which the balancer asks.
    """

    protocol: object
    source: object
    kinds: object
    registry: object
    leases: object
    engines: object
    block_stores: object
    ready_path: str


@attrs.frozen
class ObjectKind:
    """One kind of shared objects.

    Parameters
    ----------
    name : str
        Its name at the source.
    parse : callable
        Makes an item of a JSON value and the time, see `Subscription`.
    """

    name: str
    parse: object


@attrs.frozen
class ObjectKinds:
    """The kinds of shared objects that a gateway follows.

    Parameters
    ----------
    configuration, upstreams, data_centres_out, versions, hosts, leases : ObjectKind
        One for each part of the view, and the leases.
    """

    configuration: ObjectKind
    upstreams: ObjectKind
    data_centres_out: ObjectKind
    versions: ObjectKind
    hosts: ObjectKind
    leases: ObjectKind
