"""A source of shared objects that a few hosts read and tell the others."""

import threading

import attrs

from sycamorespoke import messages
from sycamorespoke.gateway import _object_history, _source

# What a host tells counts this long after the source confirmed it. With one more
# question to another host, a change is known in less time than the platform gives.
TOLD_S = 1.8
LIST_WAIT_S = 0.6
# A change that another host told of is there already.
READ_CHANGE_S = 0.1


@attrs.frozen
class Told:
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
        self._is_told = False
        self._heard_s = float("-inf")
        self._wanted_by_kind = {}
        self._known_by_kind = {}
        self._told_by_kind = {}
        self._histories_by_kind = {}
        self._changed = threading.Condition()

    def set_told(self, is_told):
        """Choose whether other hosts tell this one; else it reads by itself."""
        with self._changed:
            if is_told != self._is_told:
                self._is_told = is_told
                self._changed.notify_all()

    def is_told(self, now):
        """Return whether what others told is recent enough at ``now``."""
        return self._is_told and now - self._heard_s <= TOLD_S

    def list(self, kind):
        """List all objects of a kind, see `Follower`."""
        told = None
        if kind not in self.large_kinds:
            told = self._wait_told(kind, 0, LIST_WAIT_S)
        if told is None:
            answer = self.source.list(kind)
            self._record(kind, answer)
            return answer
        return self._read_told(kind, told)

    def watch(self, kind, revision, wait_s):
        """Wait for changes of a kind after a revision, see `Follower`."""
        told = self._wait_told(kind, revision, wait_s)
        if told is not None and not self._must_read(kind, told, revision):
            return self._read_told(kind, told)
        answer = self.source.watch(
            kind, revision, wait_s if told is None else READ_CHANGE_S
        )
        self._record(kind, answer)
        return answer

    def list_wanted(self):
        """Return the kinds to ask for, with the revisions that are known."""
        with self._changed:
            return dict(self._wanted_by_kind) if self._is_told else {}

    def take(self, pages_by_kind, asked_s):
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
            if not self._is_told:
                return True
            if not pages_by_kind.keys() >= self._wanted_by_kind.keys():
                return False
            has_news = False
            for kind, page in pages_by_kind.items():
                told = Told(page, asked_s - page.age_s)
                self._told_by_kind[kind] = told
                has_news = has_news or self._is_news(kind, page)
            ages_s = [page.age_s for page in pages_by_kind.values()]
            was_told = self.is_told(asked_s)
            self._heard_s = max(self._heard_s, asked_s - max(ages_s, default=0.0))
            if has_news or not was_told:
                self._changed.notify_all()
            return True

    def check(self, now):
        """Let followers read by themselves, if nothing recent was told."""
        with self._changed:
            if self._is_told and not self.is_told(now):
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
            and histories_by_kind[kind].is_known(now, TOLD_S)
        }

    def _wait_told(self, kind, revision, wait_s):
        """Return what was told after a revision; ``None`` to read the source."""
        now = self.read_clock()
        ends_s = now + wait_s
        with self._changed:
            self._wanted_by_kind[kind] = revision
            while self.is_told(now):
                told = self._told_by_kind.get(kind)
                fits = told is not None and self._fits(kind, told.page, revision)
                if fits and (now >= ends_s or self._is_news(kind, told.page)):
                    return told
                if now >= ends_s:
                    return None
                self._changed.wait(ends_s - now)
                now = self.read_clock()
        return None

    def _fits(self, kind, page, revision):
        known = self._known_by_kind.get(kind, 0)
        return page.since == revision and page.revision >= max(revision, known)

    def _is_news(self, kind, page):
        if kind in self.large_kinds:
            return page.changed > page.since
        return page.is_whole or bool(page.changes)

    def _must_read(self, kind, told, revision):
        return kind in self.large_kinds and told.page.changed > revision

    def _read_told(self, kind, told):
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
        history.take(answer, self.read_clock())
        if isinstance(answer, _source.Listing | _source.Changes):
            self._known_by_kind[kind] = answer.revision
