"""Hosts that were in force before the platform came back from an older copy."""

import attrs

from sycamorespoke import domain
from sycamorespoke.membership import _documents

# Time in which hosts that an older copy lacks are written again.
RETENTION_S = 10.0


class RetainedHosts:
    """Keeps hosts in force that the list of a new era lacks; not thread-safe."""

    def __init__(self):
        self._by_name = {}
        self._since_s = None

    def merge(self, current, offered):
        """Return the document to adopt in place of the current one.

        Parameters
        ----------
        current, offered : Document
            Host lists in force and offered. The value of the result is that of the
            offered one.

        Returns
        -------
        Document
            The offered one, with the retained hosts that it lacks.
        """
        if domain.get_era(offered.revision) > domain.get_era(current.revision):
            self._by_name = current.content.by_name
            self._since_s = None
        by_name = {**self._by_name, **offered.content.by_name}
        content = attrs.evolve(offered.content, by_name=by_name)
        return attrs.evolve(offered, content=content)

    def expire(self, current, requested_s):
        """Return the document in force after a read of the platform.

        Parameters
        ----------
        current : Document
            Host list in force.
        requested_s : float
            Monotonic time at which the read was sent, in seconds.

        Returns
        -------
        Document
            The same, from ``RETENTION_S`` after the first read of an era without
            retained hosts.
        """
        if not self._by_name:
            return current
        if self._since_s is None:
            self._since_s = requested_s
        if requested_s - self._since_s < RETENTION_S:
            return current
        self._by_name = {}
        return _documents.parse_document(current.kind, current.value)
