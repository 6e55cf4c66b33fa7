"""Implementation of `gateway.Deployment` for the platform."""

from sycamorespoke import clients, gateway, objects, quarantine
from sycamorespoke.platform import (
    _block_stores,
    _engines,
    _names,
    _objects,
    _protocol,
    _rollouts,
    _store,
)


class HostRegistry:
    """Registers entry hosts as objects of the platform's store.

    Parameters
    ----------
    store : ObjectStoreClient
        Client of the store.
    """

    def __init__(self, store):
        self.store = store

    def register(self, host):
        """Register a `gateway.Host`, or update its entry.

        Returns
        -------
        bool
            Whether the store holds the entry; false also if the outcome is unknown.
        """
        spec = _objects.encode_host(host)
        result = self.store.create(_names.KIND_HOSTS, host.name, spec)
        if result.outcome is clients.WriteOutcome.CONFLICT:
            # The host registered earlier, possibly with another address.
            result = self.store.replace(_names.KIND_HOSTS, host.name, spec)
        return result.outcome is clients.WriteOutcome.APPLIED

    def get_or_create_peer_key(self, proposed):
        """Return the shared key of peer messages; create it if there is none.

        Parameters
        ----------
        proposed : str
            Key to store if the store holds none yet.

        Returns
        -------
        str or None
            Key that the store holds, the same one for every host; ``None`` if it could
            not be read.
        """
        key_object = (_names.KIND_PEER_KEYS, _names.PEER_KEY_NAME)
        result = self.store.create(*key_object, proposed)
        if result.outcome is clients.WriteOutcome.APPLIED:
            return proposed
        stored = result.stored or self.store.read(*key_object)
        if stored is None or isinstance(stored, objects.Unavailable):
            return None
        return stored.spec if isinstance(stored.spec, str) else None

    def unregister(self, name):
        """Remove the entry of a host; return whether it is gone."""
        return objects.SharedObjects(self.store, _names.KIND_HOSTS).delete(name)


def make_deployment(host, address):
    """Create the clients and formats of the platform that a gateway uses.

    Parameters
    ----------
    host : str
        Name of this host, which is the holder in its orders to engines.
    address : str
        IP address and port of the object store.

    Returns
    -------
    gateway.Deployment
        Protocol, object store, leases, engines and block stores of the platform.
    """
    store = _store.ObjectStoreClient(address)
    return gateway.Deployment(
        protocol=_protocol,
        source=store,
        kinds=gateway.ObjectKinds(
            configuration=_make_kind(
                _names.KIND_CONFIGURATION, _objects.parse_configuration
            ),
            upstreams=_make_kind(_names.KIND_UPSTREAMS, _objects.parse_upstream),
            data_centres_out=_make_kind(
                _names.KIND_DATA_CENTRES_OUT, _objects.parse_name
            ),
            versions=_make_kind(_names.KIND_VERSIONS, _objects.parse_target_version),
            hosts=_make_kind(_names.KIND_HOSTS, _objects.parse_host),
            leases=_make_kind(_names.KIND_LEASES, _parse_lease),
            crashes=_make_kind(_names.KIND_CRASHES, _parse_crash_record),
            rollouts=_make_kind(_names.KIND_ROLLOUTS, _rollouts.parse_order),
        ),
        registry=HostRegistry(store),
        leases=gateway.LeaseStore(store, _names.KIND_LEASES),
        engines=_engines.EngineClient(host),
        block_stores=_block_stores.BlockStoreClient(),
        crash_records=objects.SharedObjects(store, _names.KIND_CRASHES),
        stream_records=objects.SharedObjects(store, _names.KIND_STREAMS),
        ready_path=_names.READY_PATH,
        rollout_states=_rollouts.RolloutStates(store),
    )


def _make_kind(name, parse):
    def parse_value(value, now):
        return parse(_objects.parse_object(value), now)

    return gateway.ObjectKind(name, parse_value)


def _parse_lease(stored, now):
    return gateway.LeaseUpdate(stored.name, stored.spec, stored.revision)


def _parse_crash_record(stored, now):
    return quarantine.parse_crash_record(stored.name, stored.spec, now)
