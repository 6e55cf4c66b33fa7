"""Leases as objects of the store."""

from sycamorespoke import clients, domain, objects


class LeaseStore:
    """Reads lease objects and writes them if their version is unchanged.

    Parameters
    ----------
    store : object
        Client of the store. The version of a lease object is its revision there.
    kind : str
        Kind of the objects.
    """

    def __init__(self, store, kind):
        self.store = store
        self.kind = kind

    def get(self, name):
        """Read a lease object.

        Parameters
        ----------
        name : str
            Name of the lease; the object is named by the text after the last slash.

        Returns
        -------
        clients.StoredObject, clients.Missing or clients.Unavailable
            Value and version, if there is such an object.
        """
        stored = self.store.read(self.kind, _object_name(name))
        if isinstance(stored, objects.Missing):
            return clients.Missing(version=stored.revision)
        if isinstance(stored, objects.Unavailable):
            return clients.Unavailable(stored.reason)
        return clients.StoredObject(stored.spec, stored.revision)

    def put(self, name, value, version):
        """Write a lease object if its version is unchanged.

        Parameters
        ----------
        name : str
            Name of the lease, as in `get`.
        value : object
            JSON value.
        version : int
            Version that the object must have, as last read. That of a missing object
            states that it must not exist.

        Returns
        -------
        clients.StoredObject, clients.Conflict, clients.Unavailable or \
clients.Uncertain
            `clients.StoredObject` has the new version and no value.
            `clients.Uncertain` if the write may have been applied.
        """
        if domain.get_era(version) != self.store.history.era:
            # The store has been back from an older copy since the version was read.
            return clients.Conflict()
        if domain.get_number(version) == 0:
            result = self.store.create(self.kind, _object_name(name), value)
        else:
            result = self.store.replace(self.kind, _object_name(name), value, version)
        if result.outcome is clients.WriteOutcome.CONFLICT:
            return clients.Conflict()
        if result.outcome is clients.WriteOutcome.REJECTED:
            return clients.Unavailable(result.reason)
        if result.outcome is clients.WriteOutcome.UNKNOWN or result.stored is None:
            return clients.Uncertain(result.reason)
        return clients.StoredObject(None, result.stored.revision)

    def announce(self, name, value):
        """Write an object that all hosts watch, whatever its version.

        Parameters
        ----------
        name : str
            Name of the object.
        value : object
            JSON value.

        Returns
        -------
        bool
            Whether the store confirmed the write.
        """
        shared_objects = objects.SharedObjects(self.store, self.kind)
        return shared_objects.write(name, value)


def _object_name(name):
    return name.rpartition("/")[2]
