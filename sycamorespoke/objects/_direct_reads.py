"""Reads of shared objects directly from their source, with few calls."""

import threading

import attrs

from sycamorespoke import domain
from sycamorespoke.objects import _revision_log, _source

# A watch without changes lasts so long, since other reads confirm meanwhile that
# nothing has changed.
WATCH_S = 15.0
# Time that the watch of a kind has to return a change that other reads show.
CHANGE_GRACE_S = 0.15
# Time that the read of another kind has to confirm the state of all kinds.
OTHER_ASKS_S = 0.3


class _PendingWatch:
    """A watch in a thread of its own, which the reader need not wait for.

    Parameters
    ----------
    revision : int
        Revision after which changes are returned.
    """

    def __init__(self, revision):
        self.revision = revision
        self.response = None


class DirectReads:
    """Lists and watches objects; safe to share among threads.

    A watch is kept open for long. Until it returns, the revisions in the responses
    for other kinds show whether anything may have changed in this one. If so, or if
    no response is recent enough, the source is asked without waiting. A watch whose
    connection or response is lost is found out in this way, too.

    Parameters
    ----------
    source : object
        Has ``list(kind)`` and ``watch(kind, revision, wait_s)``.
    read_clock : callable
        Returns seconds of the boot clock.
    find_arrival_s : callable or None, default=None
        Takes the time and returns the earliest time at which what is received then
        may have arrived, see `SuspensionMonitor`.
    """

    def __init__(self, source, read_clock, find_arrival_s=None):
        self.source = source
        self.read_clock = read_clock
        self.find_arrival_s = find_arrival_s or _find_no_delay
        self._log = _revision_log.RevisionLog()
        self._pending_by_kind = {}
        self._is_asking = False
        self._changed = threading.Condition()

    def list(self, kind):
        """List all objects of a kind, see `Follower`."""
        with self._changed:
            self._pending_by_kind.pop(kind, None)
        requested_s = self.read_clock()
        response = _confirm(self.source.list(kind), requested_s)
        self._record(kind, response, requested_s)
        return response

    def watch(self, kind, revision, wait_s):
        """Wait for changes of a kind after a revision, see `Follower`.

        Returns
        -------
        Changes, HistoryGone or Unavailable
            After about ``wait_s`` at the latest, without changes if there are none.
        """
        begun_s = self.read_clock()
        with self._changed:
            pending = self._get_pending(kind, revision)
            # A confirmation that is older than half of the time is renewed first.
            wanted_s = begun_s + wait_s / 2
            self._wait(pending, kind, revision, begun_s + wait_s, wanted_s)
            if self._is_asking:
                deadline_s = self.read_clock() + OTHER_ASKS_S
                self._wait(pending, kind, revision, deadline_s, wanted_s)
            if pending.response is not None:
                self._pending_by_kind.pop(kind, None)
                return pending.response
            if self._is_confirmed(kind, revision, wanted_s):
                confirmed_s = self._log.confirmed_s
                revision = max(self._log.revision, revision)
                return _source.Changes((), revision, confirmed_s)
            self._is_asking = True
        try:
            return self._ask(kind, revision)
        finally:
            with self._changed:
                self._is_asking = False
                self._changed.notify_all()

    def _ask(self, kind, revision):
        """Ask the source for changes without waiting for any."""
        requested_s = self.read_clock()
        response = _confirm(self.source.watch(kind, revision, 0.0), requested_s)
        self._record(kind, response, requested_s)
        is_empty = isinstance(response, _source.Changes) and not response.changes
        if not is_empty:
            with self._changed:
                # The pending watch would return the same changes again, or is lost.
                self._pending_by_kind.pop(kind, None)
        return response

    def _is_confirmed(self, kind, revision, wanted_s):
        is_recent = self._log.confirmed_s >= wanted_s
        return is_recent and self._log.is_unchanged(kind, revision)

    def _get_pending(self, kind, revision):
        pending = self._pending_by_kind.get(kind)
        # One of an earlier era would bring back what the store no longer holds.
        is_usable = (
            pending is not None
            and pending.revision <= revision
            and domain.get_era(pending.revision) == domain.get_era(revision)
        )
        if not is_usable:
            pending = _PendingWatch(revision)
            self._pending_by_kind[kind] = pending
            threading.Thread(
                target=self._run_watch,
                args=(kind, pending),
                name=f"watch {kind}",
                daemon=True,
            ).start()
        return pending

    def _run_watch(self, kind, pending):
        requested_s = self.read_clock()
        response = self.source.watch(kind, pending.revision, WATCH_S)
        now = self.read_clock()
        confirmed_s = self.find_arrival_s(now)
        if isinstance(response, _source.Changes) and not response.changes:
            # It may have been held up on the way.
            confirmed_s = min(confirmed_s, requested_s + WATCH_S)
        with self._changed:
            pending.response = _confirm(response, confirmed_s)
            self._log.record(kind, response, confirmed_s, now)
            self._changed.notify_all()

    def _wait(self, pending, kind, revision, deadline_s, wanted_s):
        """Wait until the watch returns or the source must be asked.

        It must be at the deadline, and once a change may have been missed, unless
        the state is confirmed at ``wanted_s`` or later.
        """
        while pending.response is None:
            now = self.read_clock()
            wake_s = deadline_s
            if not self._log.is_unchanged(kind, revision):
                wake_s = min(deadline_s, self._log.raised_s + CHANGE_GRACE_S)
            if now >= wake_s or self._is_confirmed(kind, revision, wanted_s):
                return
            self._changed.wait(wake_s - now)

    def _record(self, kind, response, requested_s):
        now = self.read_clock()
        with self._changed:
            self._log.record(kind, response, requested_s, now)
            self._changed.notify_all()


def _confirm(response, confirmed_s):
    """Return a response with the time for which it shows the state of the source."""
    if isinstance(response, _source.Listing | _source.Changes):
        return attrs.evolve(response, confirmed_s=confirmed_s)
    return response


def _find_no_delay(now):
    """Return ``now``, for processes that are never suspended."""
    return now
