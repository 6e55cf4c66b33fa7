"""The platform as the gateway needs it."""

from sycamorespoke import gateway
from sycamorespoke.platform import (
    _block_stores,
    _engines,
    _leases,
    _names,
    _objects,
    _protocol,
    _store,
)


class HostRegistry:
    """Registers hosts as objects of the store.

    Parameters
    ----------
    store : ObjectStoreClient
        The store.
    """

    def __init__(self, store):
        self.store = store

    def register(self, host):
        """Register a host.

        Parameters
        ----------
        host : gateway.Host
            The host.

        Returns
        -------
        bool
            Whether it is registered; one that was before counts too.
        """
        spec = _objects.encode_host(host)
        written = self.store.create(_names.KIND_HOSTS, host.name, spec)
        if written.outcome is _store.WriteOutcome.CONFLICT:
            # It was registered before, maybe at another address.
            written = self.store.replace(_names.KIND_HOSTS, host.name, spec)
        return written.outcome is _store.WriteOutcome.APPLIED

    def agree_key(self, proposed):
        """Agree on the key of the messages between hosts.

        Parameters
        ----------
        proposed : str
            Key that counts if none has been agreed yet.

        Returns
        -------
        str or None
            The key; ``None`` if it is not known.
        """
        written = self.store.create(
            _names.KIND_PEER_KEYS, _names.PEER_KEY_NAME, proposed
        )
        if written.outcome is _store.WriteOutcome.APPLIED:
            return proposed
        stored = self.store.read(_names.KIND_PEER_KEYS, _names.PEER_KEY_NAME)
        if stored is None or isinstance(stored, gateway.Unavailable):
            return None
        return stored.spec if isinstance(stored.spec, str) else None

    def unregister(self, name):
        """Take a host out of the registry.

        Returns
        -------
        bool
            Whether it is out.
        """
        written = self.store.delete(_names.KIND_HOSTS, name)
        return written.outcome is _store.WriteOutcome.APPLIED


def make_deployment(host, address):
    """Make the platform for a gateway.

    Parameters
    ----------
    host : str
        Name of this host.
    address : str
        IP number and port of the store.

    Returns
    -------
    gateway.Deployment
        Names, formats and calls of the platform.
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
            leases=_make_kind(_names.KIND_LEASES, _leases.parse_lease),
        ),
        registry=HostRegistry(store),
        leases=_leases.LeaseStore(store),
        engines=_engines.EngineClient(host),
        block_stores=_block_stores.BlockStoreClient(),
        ready_path=_names.READY_PATH,
    )


def _make_kind(name, read):
    def read_value(value, now):
        return read(_objects.parse_object(value), now)

    return gateway.ObjectKind(name, read_value)
