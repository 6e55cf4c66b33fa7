"""Recent changes of one kind of shared objects, to be relayed to other hosts."""

import collections
import functools
import threading

from sycamorespoke import messages
from sycamorespoke.gateway import _source

# A host that is further behind than this many changes gets all objects.
MAX_LOGGED_CHANGES = 1000


class ObjectHistory:
    """Current objects and recent changes of one kind; thread-safe."""

    def __init__(self):
        self.revision = 0
        self._changed = 0
        self._log_start = 0
        self._log = collections.deque()
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

    def make_page(self, since, has_values, now):
        """Make the page for a host that has the changes up to a revision.

        Parameters
        ----------
        since : int
            The revision; 0 requests all objects.
        has_values : bool
            Whether to include the objects, or only whether they have changed.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        messages.ObjectsPage
            Contains all objects if the changes since the revision are no longer
            logged.
        """
        with self._lock:
            is_whole = has_values and since < self._log_start
            changes = []
            if is_whole:
                changes = [(value, False) for value in self._values_by_name.values()]
            elif has_values:
                changes = [
                    (change.value, change.is_deleted)
                    for revision, change in self._log
                    if revision > since
                ]
            return messages.ObjectsPage(
                since,
                self.revision,
                self._changed,
                is_whole,
                changes,
                now - self._confirmed_s,
            )

    @functools.singledispatchmethod
    def _record(self, response, now):
        # Changes may have been missed until the next list or watch succeeds.
        self._confirmed_s = float("-inf")

    @_record.register
    def _(self, response: _source.Listing, now):
        self._values_by_name = {
            _source.get_name(value): value for value in response.values
        }
        self._log.clear()
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
                self._values_by_name[name] = change.value
            if len(self._log) == MAX_LOGGED_CHANGES:
                self._log_start = self._log.popleft()[0]
            self._log.append((response.revision, change))
            self._changed = response.revision
        self._confirm(response, now)

    def _confirm(self, response, now):
        self.revision = response.revision
        self._confirmed_s = _source.get_confirmed_s(response, now)
