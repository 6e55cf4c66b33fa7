"""Implementation of `gateway.Deployment` for the platform."""

from sycamorespoke import gateway, objects, quarantine
from sycamorespoke.platform import (
    _block_stores,
    _engines,
    _names,
    _objects,
    _protocol,
    _rollouts,
    _store,
)


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
        registry=gateway.HostRegistry(
            objects.SharedObjects(store, _names.KIND_HOSTS),
            objects.SharedObjects(store, _names.KIND_PEER_KEYS),
            _objects.encode_host,
        ),
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
    return quarantine.parse_crash_record(stored.name, stored.spec, now, stored.revision)
