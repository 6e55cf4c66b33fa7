"""Check that all hosts distribute claims over the same number of shards."""

from sycamorespoke import clients

LAYOUT_NAME = "claims/layout"
ATTEMPTS = 3


class Layout:
    """Check the number of shards against the one stored by the first host.

    Parameters
    ----------
    platform_client : clients.PlatformClient
        Client of the platform.
    shards : int
        Number of shards that this host uses.

    Notes
    -----
    A host with another number of shards would look up a key in a shard other than
    the one that holds its claim, and could run the request again.
    """

    def __init__(self, platform_client, shards):
        self.platform_client = platform_client
        self.shards = shards
        self._is_confirmed = False

    def confirm(self):
        """Return whether the platform stores the same number of shards.

        Returns
        -------
        bool
            False also if the platform is unavailable.
        """
        if not self._is_confirmed:
            self._is_confirmed = self._check_platform()
        return self._is_confirmed

    def _check_platform(self):
        for _ in range(ATTEMPTS):
            response = self.platform_client.get(LAYOUT_NAME)
            if isinstance(response, clients.StoredObject):
                return response.value["shards"] == self.shards
            if not isinstance(response, clients.Missing):
                return False
            # Whether or not this write succeeds, the next read returns the number
            # of the first writer.
            self.platform_client.put(LAYOUT_NAME, {"shards": self.shards}, 0)
        return False
