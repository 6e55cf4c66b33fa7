"""Which software versions may be used, given when their upstreams were first listed."""

import collections

# A version that is no longer listed is remembered for so long.
REMEMBERED_S = 60.0


class ListedVersions:
    """Times at which software versions were first listed; used under a lock.

    The order to bring in a version is written before its upstreams register. A host
    may read the two in the other order: a version that is new to it is not used until
    the orders were confirmed after it was first listed.
    """

    def __init__(self):
        self._first_listed_s_by_key = {}
        self._listed_s_by_key = {}
        self._known_services = set()
        self._began_s_by_service = {}

    def record(self, upstreams, now):
        """Record the upstreams that are listed at ``now``, seconds."""
        versions_by_service = collections.defaultdict(set)
        for upstream in upstreams:
            versions_by_service[upstream.service].add(upstream.software_version)
        for service, versions in versions_by_service.items():
            # The only version of a service that was not known cannot be on trial
            # beside another one.
            is_only = service not in self._known_services and len(versions) == 1
            first_s = float("-inf") if is_only else now
            self._known_services.add(service)
            self._began_s_by_service.setdefault(service, first_s)
            for version in versions:
                key = service, version
                self._first_listed_s_by_key.setdefault(key, first_s)
                self._listed_s_by_key[key] = now
        self._forget(versions_by_service, now)

    def may_use(self, upstream, confirmed_s):
        """Return whether the version of an upstream may be used.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        confirmed_s : float
            When the orders were last confirmed, seconds of the boot clock.
        """
        key = upstream.service, upstream.software_version
        return confirmed_s >= self._first_listed_s_by_key.get(key, float("inf"))

    def was_listed_first(self, upstream):
        """Return whether its version was on the first list with the service."""
        began_s = self._began_s_by_service.get(upstream.service)
        key = upstream.service, upstream.software_version
        return began_s is not None and self._first_listed_s_by_key.get(key) == began_s

    def _forget(self, versions_by_service, now):
        for key, listed_s in list(self._listed_s_by_key.items()):
            service, version = key
            is_listed = version in versions_by_service.get(service, ())
            if is_listed:
                self._listed_s_by_key[key] = now
            elif now - listed_s > REMEMBERED_S:
                del self._listed_s_by_key[key]
                self._first_listed_s_by_key.pop(key, None)
