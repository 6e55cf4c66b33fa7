"""Objects of one kind in the store that hosts write for each other."""

from sycamorespoke import clients
from sycamorespoke.objects import _source


class SharedObjects:
    """Writes and deletes objects of one kind, whatever their version.

    Parameters
    ----------
    store : object
        Client of the store, with ``read``, ``create``, ``replace`` and ``delete``.
    kind : str
        Kind of the objects.
    """

    def __init__(self, store, kind):
        self.store = store
        self.kind = kind

    def read(self, name):
        """Return the JSON value of an object, ``None`` if there is none.

        Raises
        ------
        LookupError
            If the store does not tell.
        """
        stored = self.store.read(self.kind, name)
        if isinstance(stored, _source.Unavailable):
            raise LookupError(stored.reason)
        return None if isinstance(stored, _source.Missing) else stored.spec

    def write(self, name, value):
        """Write the JSON value of an object; return whether the store confirmed it."""
        result = self.store.replace(self.kind, name, value)
        if result.outcome is clients.WriteOutcome.REJECTED:
            result = self.store.create(self.kind, name, value)
        return result.outcome is clients.WriteOutcome.APPLIED

    def create(self, name, value):
        """Create an object.

        Returns
        -------
        clients.WriteResult
            A conflict if there is such an object.
        """
        return self.store.create(self.kind, name, value)

    def delete(self, name):
        """Delete an object; return whether it is gone, also if there was none."""
        result = self.store.delete(self.kind, name)
        return result.outcome is clients.WriteOutcome.APPLIED
