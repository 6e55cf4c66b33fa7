"""Check that every host spreads claims over the same number of shards."""

from sycamorespoke import clients

LAYOUT_NAME = "claims/layout"
ATTEMPTS = 3


class Layout:
    """The number of shards as the platform keeps it, written by the first host.

    Parameters
    ----------
    platform_client : clients.PlatformClient
        The platform.
    shards : int
        Number of shards that this host uses.

    Notes
    -----
    With another number a key would be looked for in another shard than the one
    that holds its claim, and could run again.
    """

    def __init__(self, platform_client, shards):
        self.platform_client = platform_client
        self.shards = shards
        self._is_confirmed = False

    def confirm(self):
        """Return whether the platform holds this number of shards.

        Returns
        -------
        bool
            False also when the platform does not answer.
        """
        if not self._is_confirmed:
            self._is_confirmed = self._ask_platform()
        return self._is_confirmed

    def _ask_platform(self):
        for _ in range(ATTEMPTS):
            found = self.platform_client.get(LAYOUT_NAME)
            if isinstance(found, clients.StoredObject):
                return found.value["shards"] == self.shards
            if not isinstance(found, clients.Missing):
                return False
            # Whatever becomes of this write, the next read tells who was first.
            self.platform_client.put(LAYOUT_NAME, {"shards": self.shards}, 0)
        return False
