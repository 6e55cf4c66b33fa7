"""Leases as objects of the platform's store."""

from sycamorespoke import clients, gateway
from sycamorespoke.platform import _names, _store


class LeaseStore:
    """Reads and writes lease objects under their versions.

    Parameters
    ----------
    store : ObjectStoreClient
        The store; the version of an object is its revision there.
    """

    def __init__(self, store):
        self.store = store

    def get(self, name):
        """Read an object.

        Returns
        -------
        clients.Stored, clients.Missing or clients.Unavailable
            The value and its version.
        """
        stored = self.store.read(_names.KIND_LEASES, _object_name(name))
        if stored is None:
            return clients.Missing()
        if isinstance(stored, gateway.Unavailable):
            return clients.Unavailable(stored.reason)
        return clients.Stored(stored.spec, stored.revision)

    def put(self, name, value, version):
        """Write an object if it still has a version.

        Parameters
        ----------
        name : str
            Name of the object.
        value : object
            JSON value.
        version : int
            Version that it must have; 0 if there must be no such object.

        Returns
        -------
        clients.Stored, clients.Conflict, clients.Unavailable or clients.Uncertain
            With the new version.
        """
        if version == 0:
            written = self.store.create(_names.KIND_LEASES, _object_name(name), value)
        else:
            written = self.store.replace(
                _names.KIND_LEASES, _object_name(name), value, version
            )
        if written.outcome is _store.WriteOutcome.CONFLICT:
            return clients.Conflict()
        if written.outcome is _store.WriteOutcome.REJECTED:
            return clients.Unavailable(written.reason)
        if written.outcome is _store.WriteOutcome.UNKNOWN or written.stored is None:
            return clients.Uncertain(written.reason)
        return clients.Stored(None, written.stored.revision)

    def announce(self, name, value):
        """Write an object for all hosts to see, whatever it held.

        Returns
        -------
        bool
            Whether it is written.
        """
        written = self.store.replace(_names.KIND_LEASES, name, value)
        if written.outcome is _store.WriteOutcome.REJECTED:
            written = self.store.create(_names.KIND_LEASES, name, value)
        return written.outcome is _store.WriteOutcome.APPLIED


def parse_lease(stored, now):
    """Read a lease object that was received by a watch."""
    return gateway.LeaseUpdate(stored.name, stored.spec, stored.revision)


def _object_name(name):
    return name.rpartition("/")[2]
