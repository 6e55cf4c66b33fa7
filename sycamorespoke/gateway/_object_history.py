"""The recent changes of one kind of shared objects, kept to tell other hosts."""

import collections
import functools
import threading

from sycamorespoke import messages
from sycamorespoke.gateway import _source

# Changes kept; a host that is further behind gets all objects.
MAX_LOGGED_CHANGES = 1000


class ObjectHistory:
    """What the source answered about one kind; safe to share among threads."""

    def __init__(self):
        self.revision = 0
        self._changed = 0
        self._log_start = 0
        self._log = collections.deque()
        self._values_by_name = {}
        self._confirmed_s = float("-inf")
        self._lock = threading.Lock()

    def record(self, answer, now):
        """Take an answer of the source that came at ``now``, seconds."""
        with self._lock:
            self._record(answer, now)

    def is_current(self, now, max_age_s):
        """Return whether the source confirmed it in the last ``max_age_s`` seconds."""
        return now - self._confirmed_s <= max_age_s

    def make_page(self, since, has_values, now):
        """Make the page for a host that knows the changes up to a revision.

        Parameters
        ----------
        since : int
            The revision; 0 asks for all objects.
        has_values : bool
            Tell the objects; else only that they have changed.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        messages.ObjectsPage
            All objects, if the changes since are not kept.
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
    def _record(self, answer, now):
        # Without an answer it is not known what has changed meanwhile.
        self._confirmed_s = float("-inf")

    @_record.register
    def _(self, answer: _source.Listing, now):
        self._values_by_name = {
            _source.get_name(value): value for value in answer.values
        }
        self._log.clear()
        self._log_start = answer.revision
        self._changed = answer.revision
        self._confirm(answer, now)

    @_record.register
    def _(self, answer: _source.Changes, now):
        for change in answer.changes:
            name = _source.get_name(change.value)
            if change.is_deleted:
                self._values_by_name.pop(name, None)
            else:
                self._values_by_name[name] = change.value
            if len(self._log) == MAX_LOGGED_CHANGES:
                self._log_start = self._log.popleft()[0]
            self._log.append((answer.revision, change))
            self._changed = answer.revision
        self._confirm(answer, now)

    def _confirm(self, answer, now):
        self.revision = answer.revision
        self._confirmed_s = now
