"""Software versions that upstreams had lately, as this host was told."""

import collections
import threading

# Streams of a version may go on for this long after its upstreams have left the list.
RECENT_S = 60.0


class SoftwareVersions:
    """Software versions of each service over time; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._known_since_s = None
        self._listed_s_by_version = {}

    def record(self, upstreams, now):
        """Record the versions of the upstreams that are listed from ``now`` on.

        Parameters
        ----------
        upstreams : iterable of Upstream
            All listed upstreams.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            if self._known_since_s is None:
                self._known_since_s = now
            # A version that was listed until now counts as seen now.
            for key, listed_s in self._listed_s_by_version.items():
                if listed_s == float("inf"):
                    self._listed_s_by_version[key] = now
            for upstream in upstreams:
                key = upstream.service, upstream.software_version
                self._listed_s_by_version[key] = float("inf")

    def record_used(self, service, version, now):
        """Record that a stream of a version goes on at ``now``, listed or not.

        Parameters
        ----------
        service, version : str
            The service and the software version.
        now : float
            Current time, seconds of the boot clock.
        """
        key = service, version
        with self._lock:
            listed_s = self._listed_s_by_version.get(key, now)
            self._listed_s_by_version[key] = max(listed_s, now)

    def list_services_with_several(self, now):
        """Return the services that have, or lately had, several versions, as a set."""
        with self._lock:
            counts = collections.Counter(
                service
                for (service, _), listed_s in self._listed_s_by_version.items()
                if listed_s >= now - RECENT_S
            )
        return {service for service, count in counts.items() if count > 1}

    def find_only(self, service, since_s):
        """Return the only version that upstreams of a service have had since a time.

        Parameters
        ----------
        service : str
            Name of the service.
        since_s : float
            Time, seconds of the boot clock.

        Returns
        -------
        str or None
            ``None`` if there were several or none, or if it is not known that there
            was only one.
        """
        with self._lock:
            if self._known_since_s is None or self._known_since_s > since_s:
                return None
            versions = [
                version
                for (name, version), listed_s in self._listed_s_by_version.items()
                if name == service and listed_s >= since_s
            ]
        return versions[0] if len(versions) == 1 and versions[0] else None
