"""Objects of one kind and their recent changes, to be relayed to other hosts."""

import collections
import functools
import threading

from sycamorespoke import messages
from sycamorespoke.objects import _source

# A host that is further behind than this many changed objects gets all of them.
MAX_LOGGED_CHANGES = 1000


class ObjectHistory:
    """Current objects of one kind, and which have changed lately; thread-safe.

    Parameters
    ----------
    has_values : bool, default=True
        Whether pages include the objects, or only whether these have changed. The
        objects are not kept in the latter case.

    Notes
    -----
    Each object is kept at most once, as it is now: a host that is behind gets the
    latest value of what has changed, not the values between.
    """

    def __init__(self, has_values=True):
        self.has_values = has_values
        self.revision = 0
        self._changed = 0
        self._log_start = 0
        # Revision of the latest change by name, the oldest first.
        self._revisions_by_name = collections.OrderedDict()
        self._values_by_name = {}
        self._confirmed_s = float("-inf")
        self._lock = threading.Lock()

    def record(self, response, now):
        """Record a response of the source.

        Parameters
        ----------
        response : Listing, Changes, HistoryGone or Unavailable
            The response.
        now : float
            When it was received, seconds of the boot clock.
        """
        with self._lock:
            self._record(response, now)

    def is_current(self, now, max_age_s):
        """Return whether the source confirmed the state at most ``max_age_s`` ago."""
        return now - self._confirmed_s <= max_age_s

    def make_page(self, since, now):
        """Make the page for a host that has the changes up to a revision.

        Parameters
        ----------
        since : int
            The revision; 0 requests all objects.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        messages.ObjectsPage
            Contains all objects if the changes since the revision are no longer
            logged.
        """
        with self._lock:
            is_whole = self.has_values and since < self._log_start
            changes = []
            if is_whole:
                changes = [(value, False) for value in self._values_by_name.values()]
            elif self.has_values:
                changes = self._list_changes(since)
            return messages.ObjectsPage(
                since,
                self.revision,
                self._changed,
                is_whole,
                changes,
                now - self._confirmed_s,
            )

    def count_objects(self):
        """Return the number of objects that are kept."""
        return len(self._values_by_name)

    def _list_changes(self, since):
        return [
            self._make_change(name, revision)
            for name, revision in self._revisions_by_name.items()
            if revision > since
        ]

    def _make_change(self, name, revision):
        value = self._values_by_name.get(name)
        if value is None:
            return _source.make_removed(name, revision), True
        return value, False

    @functools.singledispatchmethod
    def _record(self, response, now):
        # Changes may have been missed until the next list or watch succeeds.
        self._confirmed_s = float("-inf")

    @_record.register
    def _(self, response: _source.Listing, now):
        self._revisions_by_name.clear()
        self._values_by_name.clear()
        for value in response.values:
            self._set_value(_source.get_name(value), value)
        self._log_start = response.revision
        self._changed = response.revision
        self._confirm(response, now)

    @_record.register
    def _(self, response: _source.Changes, now):
        for change in response.changes:
            name = _source.get_name(change.value)
            if change.is_deleted:
                self._values_by_name.pop(name, None)
            else:
                self._set_value(name, change.value)
            self._log_change(name, response.revision)
        self._confirm(response, now)

    def _set_value(self, name, value):
        if self.has_values:
            self._values_by_name[name] = value

    def _log_change(self, name, revision):
        self._changed = revision
        self._revisions_by_name.pop(name, None)
        if len(self._revisions_by_name) == MAX_LOGGED_CHANGES:
            self._log_start = self._revisions_by_name.popitem(last=False)[1]
        self._revisions_by_name[name] = revision

    def _confirm(self, response, now):
        self.revision = response.revision
        self._confirmed_s = _source.get_confirmed_s(response, now)
