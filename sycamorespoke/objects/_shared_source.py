"""A source of shared objects that a few hosts read and relay to the others."""

import threading

import attrs

from sycamorespoke import clients, domain, messages
from sycamorespoke.objects import _object_history, _source

# Relayed state expires this long after the source confirmed it. Even if this
# host then has to request a change from another host, the change arrives within the
# limit that the platform sets.
MAX_RELAYED_AGE_S = 1.8
# How long a list waits for a relayed page before it reads the source.
LIST_WAIT_S = 0.6
# Timeout of a watch for a change that another host reported, which the source
# therefore already has.
CHANGE_READ_WAIT_S = 0.1


@attrs.frozen
class RelayedPage:
    """A page of objects that another host relayed.

    Parameters
    ----------
    page : messages.ObjectsPage
        The page.
    confirmed_s : float
        When the source confirmed the page, seconds of the boot clock.
    """

    page: messages.ObjectsPage
    confirmed_s: float


class SharedSource:
    """Lists and watches objects from relayed pages or directly from a source.

    Parameters
    ----------
    source : object
        Has ``list(kind)`` and ``watch(kind, revision, wait_s)``.
    large_kinds : frozenset of str
        Kinds with large objects. Other hosts only relay that these have changed, and
        each host reads them from the source itself.
    read_clock : callable
        Returns seconds of the boot clock.
    history : clients.StoreHistory or None, default=None
        Learns the era of the source from relayed pages, too.

    Notes
    -----
    A host in relayed mode reads the source directly as soon as the relayed pages are
    too old. Pages that are older than the known revision are ignored, so that the
    state never reverts.
    """

    def __init__(self, source, large_kinds, read_clock, history=None):
        self.source = source
        self.large_kinds = large_kinds
        self.read_clock = read_clock
        self.history = history or clients.StoreHistory()
        self._is_relayed = False
        self._confirmed_s = float("-inf")
        self._requested_revisions_by_kind = {}
        self._known_revisions_by_kind = {}
        self._relayed_by_kind = {}
        self._histories_by_kind = {}
        self._changed = threading.Condition()

    def set_relayed(self, is_relayed):
        """Set whether other hosts relay objects to this one."""
        with self._changed:
            if is_relayed != self._is_relayed:
                self._is_relayed = is_relayed
                self._changed.notify_all()

    def is_relayed(self, now):
        """Return whether this host uses relayed pages at ``now``.

        It does in relayed mode while the pages are recent enough.
        """
        return self._is_relayed and now - self._confirmed_s <= MAX_RELAYED_AGE_S

    def list(self, kind):
        """List all objects of a kind, see `Follower`."""
        relayed = None
        if kind not in self.large_kinds:
            relayed = self._wait_relayed(kind, 0, LIST_WAIT_S)
        if relayed is None:
            response = self.source.list(kind)
            self._record(kind, response)
            return response
        return self._read_relayed(kind, relayed)

    def watch(self, kind, revision, wait_s):
        """Wait for changes of a kind after a revision, see `Follower`."""
        relayed = self._wait_relayed(kind, revision, wait_s)
        if relayed is not None and not self._must_read(kind, relayed, revision):
            return self._read_relayed(kind, relayed)
        response = self.source.watch(
            kind, revision, wait_s if relayed is None else CHANGE_READ_WAIT_S
        )
        self._record(kind, response)
        return response

    def get_requested_revisions(self):
        """Return the revision from which each kind is requested of other hosts.

        Empty unless this host is in relayed mode.
        """
        with self._changed:
            return dict(self._requested_revisions_by_kind) if self._is_relayed else {}

    def handle_pages(self, pages_by_kind, requested_s):
        """Handle the pages that another host relayed.

        Parameters
        ----------
        pages_by_kind : dict of str to messages.ObjectsPage
            The pages of its reply.
        requested_s : float
            When they were requested, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the pages cover all requested kinds.
        """
        with self._changed:
            if not self._is_relayed:
                return True
            if not pages_by_kind.keys() >= self._requested_revisions_by_kind.keys():
                return False
            has_changes = False
            for kind, page in pages_by_kind.items():
                relayed = RelayedPage(page, requested_s - page.age_s)
                self._relayed_by_kind[kind] = relayed
                has_changes = has_changes or self._has_changes(kind, page)
            ages_s = [page.age_s for page in pages_by_kind.values()]
            was_relayed = self.is_relayed(requested_s)
            self._confirmed_s = max(
                self._confirmed_s, requested_s - max(ages_s, default=0.0)
            )
            if has_changes or not was_relayed:
                self._changed.notify_all()
            return True

    def wake_if_stale(self, now):
        """Wake waiting followers to read the source if relayed pages are too old."""
        with self._changed:
            if self._is_relayed and not self.is_relayed(now):
                self._changed.notify_all()

    def make_pages(self, revisions_by_kind, now):
        """Make the pages that this host relays to another.

        Parameters
        ----------
        revisions_by_kind : dict of str to int
            For each requested kind, the revision up to which the other host has the
            changes.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        dict of str to messages.ObjectsPage
            By kind. Kinds that this host has not read recently are left out.
        """
        histories_by_kind = dict(self._histories_by_kind)
        return {
            kind: histories_by_kind[kind].make_page(since, now)
            for kind, since in revisions_by_kind.items()
            if kind in histories_by_kind
            and histories_by_kind[kind].is_current(now, MAX_RELAYED_AGE_S)
        }

    def count_objects(self):
        """Return the number of objects that are kept to be relayed, by kind."""
        return {
            kind: history.count_objects()
            for kind, history in dict(self._histories_by_kind).items()
        }

    def _wait_relayed(self, kind, revision, wait_s):
        """Wait for a relayed page that starts at a revision.

        Returns the page when it has changes or the wait ends, and ``None`` if the
        source must be read directly.
        """
        now = self.read_clock()
        deadline_s = now + wait_s
        with self._changed:
            self._requested_revisions_by_kind[kind] = revision
            while self.is_relayed(now):
                relayed = self._relayed_by_kind.get(kind)
                is_applicable = relayed is not None and self._is_applicable(
                    kind, relayed.page, revision
                )
                if is_applicable and (
                    now >= deadline_s or self._has_changes(kind, relayed.page)
                ):
                    return relayed
                if now >= deadline_s:
                    return None
                self._changed.wait(deadline_s - now)
                now = self.read_clock()
        return None

    def _is_applicable(self, kind, page, revision):
        known = self._known_revisions_by_kind.get(kind, 0)
        return page.since == revision and page.revision >= max(revision, known)

    def _has_changes(self, kind, page):
        if kind in self.large_kinds:
            return page.changed > page.since
        return page.is_whole or bool(page.changes)

    def _must_read(self, kind, relayed, revision):
        return kind in self.large_kinds and relayed.page.changed > revision

    def _read_relayed(self, kind, relayed):
        page = relayed.page
        self.history.record_era(domain.get_era(page.revision), self.read_clock())
        self._known_revisions_by_kind[kind] = page.revision
        if page.is_whole:
            values = tuple(value for value, _ in page.changes)
            return _source.Listing(values, page.revision, relayed.confirmed_s)
        changes = tuple(_source.Change(*change) for change in page.changes)
        return _source.Changes(changes, page.revision, relayed.confirmed_s)

    def _record(self, kind, response):
        history = self._histories_by_kind.get(kind)
        if history is None:
            has_values = kind not in self.large_kinds
            history = _object_history.ObjectHistory(has_values)
            self._histories_by_kind[kind] = history
        history.record(response, self.read_clock())
        if isinstance(response, _source.Listing | _source.Changes):
            self._known_revisions_by_kind[kind] = response.revision
