"""What the revisions of one source show of kinds whose own watch is still waiting.

A source numbers the changes of all kinds with one revision. If each change up to the
newest revision is known, and none is of a kind, then nothing has changed in that kind.
"""

import collections

import attrs

from sycamorespoke import domain
from sycamorespoke.objects import _source

# Of more changes at once, none is told apart.
MAX_KNOWN_CHANGES = 2000


@attrs.define
class RevisionLog:
    """Changes that the responses of a source contained; not thread-safe.

    Attributes
    ----------
    revision : int
        Newest revision of the source.
    raised_s : float
        When a response first had it, seconds of the boot clock.
    confirmed_s : float
        Latest time at which the source still had it, seconds of the boot clock.
    """

    revision: int = 0
    raised_s: float = float("-inf")
    confirmed_s: float = float("-inf")
    _kinds_by_revision: dict = attrs.field(factory=collections.OrderedDict)

    def record(self, kind, response, requested_s, now):
        """Record a response of the source.

        Parameters
        ----------
        kind : str
            Kind that was read.
        response : Listing, Changes, HistoryGone or Unavailable
            The response.
        requested_s : float
            Time by which the source had received the request, at the earliest,
            seconds of the boot clock.
        now : float
            When the response was received, seconds of the boot clock.
        """
        if not isinstance(response, _source.Listing | _source.Changes):
            return
        if isinstance(response, _source.Changes):
            for change in response.changes:
                revision = _source.get_metadata(change.value, "Revision")
                self._kinds_by_revision[revision] = kind
            while len(self._kinds_by_revision) > MAX_KNOWN_CHANGES:
                self._kinds_by_revision.popitem(last=False)
        went_back = response.revision < self.revision and requested_s >= self.raised_s
        if went_back:
            # A store that states no era is back from an older copy.
            self._kinds_by_revision.clear()
        if response.revision > self.revision or went_back:
            self.revision = response.revision
            self.raised_s = now
            self.confirmed_s = requested_s
        elif response.revision == self.revision:
            self.confirmed_s = max(self.confirmed_s, requested_s)

    def is_unchanged(self, kind, revision):
        """Return whether a kind is known not to have changed since a revision.

        Parameters
        ----------
        kind : str
            The kind.
        revision : int
            Revision up to which its changes are known.

        Returns
        -------
        bool
            False also if a change has been missed that may be one of the kind.

        Examples
        --------
        >>> value = {"Metadata": {"Name": "a", "Revision": 8}}
        >>> changes = _source.Changes((_source.Change(value, False),), 8)
        >>> log = RevisionLog()
        >>> log.record("servers", changes, 0.0, 0.1)
        >>> log.is_unchanged("hosts", 7), log.is_unchanged("hosts", 6)
        (True, False)
        """
        if domain.get_era(revision) != domain.get_era(self.revision):
            return False
        if self.revision - revision > MAX_KNOWN_CHANGES:
            return False
        return all(
            self._kinds_by_revision.get(each, kind) != kind
            for each in range(revision + 1, self.revision + 1)
        )
