"""Registers entry hosts in the store, and holds the key that they share."""

from sycamorespoke import clients

# Name of the object with the shared key.
PEER_KEY_NAME = "peers"


class HostRegistry:
    """Registers entry hosts as objects of the store.

    Parameters
    ----------
    hosts, keys : objects.SharedObjects
        Objects of the hosts, and the object with their shared key.
    encode : callable
        Returns the JSON value of a `Host`.
    """

    def __init__(self, hosts, keys, encode):
        self.hosts = hosts
        self.keys = keys
        self.encode = encode

    def register(self, host):
        """Register a `Host`, or update its entry.

        Returns
        -------
        bool
            Whether the store holds the entry; false also if the outcome is unknown.
        """
        value = self.encode(host)
        result = self.hosts.create(host.name, value)
        if result.outcome is clients.WriteOutcome.CONFLICT:
            if result.stored is not None and result.stored.spec == value:
                return True
            # The host registered earlier, with another address.
            return self.hosts.write(host.name, value)
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
        result = self.keys.create(PEER_KEY_NAME, proposed)
        if result.outcome is clients.WriteOutcome.APPLIED:
            return proposed
        try:
            key = result.stored.spec if result.stored else self.keys.read(PEER_KEY_NAME)
        except LookupError:
            return None
        return key if isinstance(key, str) else None

    def unregister(self, name):
        """Remove the entry of a host; return whether it is gone."""
        return self.hosts.delete(name)
