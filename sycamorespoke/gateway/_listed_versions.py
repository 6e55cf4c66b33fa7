"""Software versions that the source of the list of upstreams states when asked."""

import threading

import loguru

from sycamorespoke import objects


class ListedVersions:
    """Reads the list of upstreams itself; safe to share among threads.

    The view of a host may be some seconds old: it was cut off, stood still, or other
    hosts relay to it. Where a version that it does not know would do harm, it asks.

    Parameters
    ----------
    source : object
        Has ``list(kind)``.
    kind : ObjectKind
        Kind of the upstreams.
    read_clock : callable
        Returns seconds of the boot clock.
    """

    def __init__(self, source, kind, read_clock):
        self.source = source
        self.kind = kind
        self.read_clock = read_clock
        self._lock = threading.Lock()
        self._requested_s = float("-inf")
        self._upstreams = ()

    def read(self, service, since_s):
        """Return the software versions that are listed for a service.

        Parameters
        ----------
        service : str
            Name of the service.
        since_s : float
            The list must have been requested at this time or later, seconds of the
            boot clock.

        Returns
        -------
        frozenset of str or None
            ``None`` if the source does not reply.
        """
        with self._lock:
            if self._requested_s < since_s and not self._request():
                return None
            return frozenset(
                upstream.software_version
                for upstream in self._upstreams
                if upstream.service == service
            )

    def _request(self):
        requested_s = self.read_clock()
        response = self.source.list(self.kind.name)
        if isinstance(response, objects.Unavailable):
            loguru.logger.bind(reason=response.reason).info("versions not listed")
            return False
        self._upstreams = tuple(self._parse(response, requested_s))
        self._requested_s = requested_s
        return True

    def _parse(self, listing, now):
        for value in listing.values:
            try:
                yield self.kind.parse(value, now)
            except ValueError:
                # The follower of the list logs what is wrong with an entry.
                continue
