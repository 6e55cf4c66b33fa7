"""A source of shared objects that a few hosts read and tell the others."""

import threading

import attrs

from sycamorespoke import messages
from sycamorespoke.gateway import _object_history, _source

# What a host tells counts this long after the source confirmed it. With one more
# question to another host, a change is known in less time than the platform gives.
MAX_RELAYED_AGE_S = 1.8
LIST_WAIT_S = 0.6
# A change that another host told of is there already.
CHANGE_READ_WAIT_S = 0.1


@attrs.frozen
class RelayedPage:
    """A page that another host told.

    Parameters
    ----------
    page : messages.ObjectsPage
        The page.
    confirmed_s : float
        When the source had confirmed it, seconds of the boot clock.
    """

    page: messages.ObjectsPage
    confirmed_s: float


class SharedSource:
    """Lists and watches like the source that it stands before.

    Parameters
    ----------
    source : object
        Has ``list(kind)`` and ``watch(kind, revision, wait_s)``.
    large_kinds : frozenset of str
        Kinds with large objects: of these a host is told that they have changed,
        and reads them itself.
    read_clock : callable
        Returns seconds of the boot clock.

    Notes
    -----
    A host that is told by others reads the source itself as soon as what it was
    told is too old. What it knows never goes back.
    """

    def __init__(self, source, large_kinds, read_clock):
        self.source = source
        self.large_kinds = large_kinds
        self.read_clock = read_clock
        self._is_relayed = False
        self._confirmed_s = float("-inf")
        self._wanted_by_kind = {}
        self._known_by_kind = {}
        self._relayed_by_kind = {}
        self._histories_by_kind = {}
        self._changed = threading.Condition()

    def set_relayed(self, is_relayed):
        """Choose whether other hosts tell this one; else it reads by itself."""
        with self._changed:
            if is_relayed != self._is_relayed:
                self._is_relayed = is_relayed
                self._changed.notify_all()

    def is_relayed(self, now):
        """Return whether what others told is recent enough at ``now``."""
        return self._is_relayed and now - self._confirmed_s <= MAX_RELAYED_AGE_S

    def list(self, kind):
        """List all objects of a kind, see `Follower`."""
        told = None
        if kind not in self.large_kinds:
            told = self._wait_relayed(kind, 0, LIST_WAIT_S)
        if told is None:
            answer = self.source.list(kind)
            self._record(kind, answer)
            return answer
        return self._read_relayed(kind, told)

    def watch(self, kind, revision, wait_s):
        """Wait for changes of a kind after a revision, see `Follower`."""
        told = self._wait_relayed(kind, revision, wait_s)
        if told is not None and not self._must_read(kind, told, revision):
            return self._read_relayed(kind, told)
        answer = self.source.watch(
            kind, revision, wait_s if told is None else CHANGE_READ_WAIT_S
        )
        self._record(kind, answer)
        return answer

    def list_wanted_revisions(self):
        """Return the kinds to ask for, with the revisions that are known."""
        with self._changed:
            return dict(self._wanted_by_kind) if self._is_relayed else {}

    def handle_pages(self, pages_by_kind, asked_s):
        """Take what another host told.

        Parameters
        ----------
        pages_by_kind : dict of str to messages.ObjectsPage
            Its answer.
        asked_s : float
            When it was asked, seconds of the boot clock.

        Returns
        -------
        bool
            Whether it tells all that is wanted.
        """
        with self._changed:
            if not self._is_relayed:
                return True
            if not pages_by_kind.keys() >= self._wanted_by_kind.keys():
                return False
            has_changes = False
            for kind, page in pages_by_kind.items():
                told = RelayedPage(page, asked_s - page.age_s)
                self._relayed_by_kind[kind] = told
                has_changes = has_changes or self._has_changes(kind, page)
            ages_s = [page.age_s for page in pages_by_kind.values()]
            was_relayed = self.is_relayed(asked_s)
            self._confirmed_s = max(
                self._confirmed_s, asked_s - max(ages_s, default=0.0)
            )
            if has_changes or not was_relayed:
                self._changed.notify_all()
            return True

    def wake_if_stale(self, now):
        """Let followers read by themselves, if nothing recent was told."""
        with self._changed:
            if self._is_relayed and not self.is_relayed(now):
                self._changed.notify_all()

    def make_pages(self, revisions_by_kind, now):
        """Make what this host tells another, by kind.

        Parameters
        ----------
        revisions_by_kind : dict of str to int
            What the other host knows.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        dict of str to messages.ObjectsPage
            Kinds that this host has not read lately are left out.
        """
        histories_by_kind = dict(self._histories_by_kind)
        return {
            kind: histories_by_kind[kind].make_page(
                since, kind not in self.large_kinds, now
            )
            for kind, since in revisions_by_kind.items()
            if kind in histories_by_kind
            and histories_by_kind[kind].is_current(now, MAX_RELAYED_AGE_S)
        }

    def _wait_relayed(self, kind, revision, wait_s):
        """Return what was told after a revision; ``None`` to read the source."""
        now = self.read_clock()
        deadline_s = now + wait_s
        with self._changed:
            self._wanted_by_kind[kind] = revision
            while self.is_relayed(now):
                told = self._relayed_by_kind.get(kind)
                fits = told is not None and self._fits(kind, told.page, revision)
                if fits and (now >= deadline_s or self._has_changes(kind, told.page)):
                    return told
                if now >= deadline_s:
                    return None
                self._changed.wait(deadline_s - now)
                now = self.read_clock()
        return None

    def _fits(self, kind, page, revision):
        known = self._known_by_kind.get(kind, 0)
        return page.since == revision and page.revision >= max(revision, known)

    def _has_changes(self, kind, page):
        if kind in self.large_kinds:
            return page.changed > page.since
        return page.is_whole or bool(page.changes)

    def _must_read(self, kind, told, revision):
        return kind in self.large_kinds and told.page.changed > revision

    def _read_relayed(self, kind, told):
        page = told.page
        self._known_by_kind[kind] = page.revision
        age_s = max(self.read_clock() - told.confirmed_s, 0.0)
        if page.is_whole:
            values = tuple(value for value, _ in page.changes)
            return _source.Listing(values, page.revision, age_s)
        changes = tuple(_source.Change(*change) for change in page.changes)
        return _source.Changes(changes, page.revision, age_s)

    def _record(self, kind, answer):
        history = self._histories_by_kind.get(kind)
        if history is None:
            history = _object_history.ObjectHistory()
            self._histories_by_kind[kind] = history
        history.record(answer, self.read_clock())
        if isinstance(answer, _source.Listing | _source.Changes):
            self._known_by_kind[kind] = answer.revision
