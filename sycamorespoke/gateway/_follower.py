"""Follows one kind of shared objects by a list and then watches."""

import threading

import attrs
import loguru

from sycamorespoke.gateway import _source

# While something is missing it is looked at this often.
MISSING_WATCH_S = 0.5
RETRY_S = 0.1
MAX_RETRY_S = 0.8
# Entries that lapsed while the source was away come back within this time.
RETAIN_MISSING_S = 2.0


@attrs.frozen
class Subscription:
    """How the objects of one kind are read.

    Parameters
    ----------
    section : str
        Part of the view that it keeps.
    kind : str
        Kind of objects at the source.
    read : callable
        Makes an item of a JSON value and the time; raises `ValueError` for one
        that is malformed.
    publish : callable
        Takes the items by name after each change, and the time.
    retains_missing : callable or None, default=None
        Tells of an item whether it is kept for a while when it goes missing
        around an outage of the source.
    """

    section: str
    kind: str
    read: object
    publish: object
    retains_missing: object = None


class Follower:
    """Keeps the items of one kind as the source has them.

    Parameters
    ----------
    source : object
        Has ``list(kind)`` and ``watch(kind, revision, wait_s)``.
    subscription : Subscription
        How to read the objects.
    read_clock : callable
        Returns seconds of the boot clock.
    confirm : callable
        Takes the part and the time of each answer of the source.
    choose_pace : callable
        Returns the `decisions.WatchTiming` to follow at.
    """

    def __init__(self, source, subscription, read_clock, confirm, choose_pace):
        self.source = source
        self.subscription = subscription
        self.read_clock = read_clock
        self.confirm = confirm
        self.choose_pace = choose_pace
        self.items_by_name = {}
        self.revision = None
        self._revisions_by_name = {}
        self._missing_until_s_by_name = {}
        self._unavailable_since_s = None
        self._available_since_s = float("-inf")
        self._retry_s = RETRY_S
        self._published = False
        self._stopped = threading.Event()

    def start(self):
        """Follow in a thread of its own until `stop`."""
        name = f"follow {self.subscription.section}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self):
        """Stop following; a call that waits is not cut."""
        self._stopped.set()

    def step(self):
        """List, or wait for changes, once.

        Returns
        -------
        float
            Seconds to wait before the next step.
        """
        if self.revision is None:
            answer = self.source.list(self.subscription.kind)
        else:
            wait_s = self.choose_pace().timeout_s
            if self._missing_until_s_by_name:
                wait_s = MISSING_WATCH_S
            answer = self.source.watch(self.subscription.kind, self.revision, wait_s)
        now = self.read_clock()
        if isinstance(answer, _source.Unavailable):
            return self._handle_unavailable(answer, now)
        self._handle_available(now)
        if isinstance(answer, _source.HistoryGone):
            self._log("history gone", revision=self.revision)
            self.revision = None
            return 0.0
        changed = self._apply(answer, now)
        changed = self._remove_expired(now) or changed
        if changed or not self._published:
            self._published = True
            self.subscription.publish(dict(self.items_by_name), now)
        self.confirm(self.subscription.section, now - answer.age_s)
        return self.choose_pace().pause_s if changed else 0.0

    def _run(self):
        while not self._stopped.is_set():
            try:
                wait_s = self.step()
            except Exception:
                loguru.logger.exception(f"following {self.subscription.section} failed")
                wait_s = MAX_RETRY_S
            if wait_s:
                self._stopped.wait(wait_s)

    def _handle_unavailable(self, answer, now):
        if self._unavailable_since_s is None:
            self._unavailable_since_s = now
            self._log("source lost", reason=answer.reason)
        # A watch cannot tell what it missed; a list can.
        self.revision = None
        wait_s = self._retry_s
        self._retry_s = min(self._retry_s * 2, MAX_RETRY_S)
        return wait_s

    def _handle_available(self, now):
        self._retry_s = RETRY_S
        if self._unavailable_since_s is None:
            return
        self._log("source regained", away_s=round(now - self._unavailable_since_s, 3))
        self._unavailable_since_s = None
        self._available_since_s = now

    def _apply(self, answer, now):
        if isinstance(answer, _source.Listing):
            changed = self._apply_listing(answer, now)
        else:
            changed = False
            for change in answer.changes:
                changed = self._apply_change(change, now) or changed
        self.revision = answer.revision
        return changed

    def _apply_listing(self, listing, now):
        items_by_name = {}
        for value in listing.values:
            name, item = self._read(value, now)
            if item is not None:
                items_by_name[name] = item
        gone = [name for name in self.items_by_name if name not in items_by_name]
        kept = {
            name: self.items_by_name[name]
            for name in gone
            if self._retain_missing(name, now)
        }
        for name in items_by_name:
            self._missing_until_s_by_name.pop(name, None)
        items_by_name.update(kept)
        changed = items_by_name != self.items_by_name
        self.items_by_name = items_by_name
        return changed

    def _apply_change(self, change, now):
        if change.is_deleted:
            name = _source.get_name(change.value)
            if name not in self.items_by_name or self._retain_missing(name, now):
                return False
            del self.items_by_name[name]
            return True
        name, item = self._read(change.value, now)
        self._missing_until_s_by_name.pop(name, None)
        if item is None:
            return self.items_by_name.pop(name, None) is not None
        self.items_by_name[name] = item
        return True

    def _retain_missing(self, name, now):
        keeps = self.subscription.retains_missing
        if keeps is None or not keeps(self.items_by_name[name]):
            return False
        until_s = self._missing_until_s_by_name.get(name)
        if until_s is None:
            until_s = self._available_since_s + RETAIN_MISSING_S
            if now >= until_s:
                return False
            self._missing_until_s_by_name[name] = until_s
            self._log("kept for a while", name=name)
        return now < until_s

    def _remove_expired(self, now):
        due = [
            name
            for name, until_s in self._missing_until_s_by_name.items()
            if now >= until_s
        ]
        for name in due:
            del self._missing_until_s_by_name[name]
            self.items_by_name.pop(name, None)
            self._log("taken as gone", name=name)
        return bool(due)

    def _read(self, value, now):
        name = _source.get_name(value)
        revision = _source.get_metadata(value, "Revision")
        if name in self.items_by_name and self._revisions_by_name[name] == revision:
            # Listed again unchanged: what was received first has the right time.
            return name, self.items_by_name[name]
        self._revisions_by_name[name] = revision
        try:
            return name, self.subscription.read(value, now)
        except ValueError as error:
            self._log("malformed object ignored", name=name, reason=str(error))
            return name, None

    def _log(self, event, **fields):
        loguru.logger.bind(part=self.subscription.section, **fields).info(event)
