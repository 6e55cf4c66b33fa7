"""Follows one kind of shared objects by listing them once and watching changes."""

import threading

import attrs
import loguru

from sycamorespoke import domain
from sycamorespoke.objects import _removed_items, _source

# Timeout of a watch while missing items are retained, so that they expire on time.
MISSING_WATCH_S = 0.5
# Longest name of a malformed object in the log.
MAX_LOGGED_CHARACTERS = 80
RETRY_S = 0.1
MAX_RETRY_S = 0.8
# Objects that expired during an outage of the source are registered again within
# this time after it.
RETAIN_MISSING_S = 2.0


@attrs.frozen
class Subscription:
    """How a follower parses and publishes the objects of one kind.

    Parameters
    ----------
    section : str
        Section of the view that the items belong to.
    kind : str
        Kind of objects at the source.
    parse : callable
        Takes a JSON value and the time and returns an item. Raises `ValueError` if
        the value is malformed.
    publish : callable
        Called after each change with the items by name and the time.
    retains_missing : callable or None, default=None
        Takes an item and returns whether it is retained for `RETAIN_MISSING_S`
        when it goes missing around an outage of the source.
    removed : RemovedItems or NoRemovedItems
        Remembers removed items. With `RemovedItems`, what is known outlives an older
        copy of the source: items that the copy lacks are retained for a while, and
        those that it brings back are held back.
    """

    section: str
    kind: str
    parse: object
    publish: object
    retains_missing: object = None
    removed: object = attrs.field(factory=_removed_items.NoRemovedItems)


class Follower:
    """Keeps the items of one kind up to date with a source.

    Parameters
    ----------
    source : object
        Has ``list(kind)`` and ``watch(kind, revision, wait_s)``.
    subscription : Subscription
        Kind of objects, and how to parse and publish them. An object that cannot be
        parsed is left out, also if it could be before.
    read_clock : callable
        Returns seconds of the boot clock.
    confirm : callable
        Called after each response of the source, with the section and the time at
        which the source confirmed it.
    choose_timing : callable
        Returns the `decisions.WatchTiming` of the next watch.
    """

    def __init__(self, source, subscription, read_clock, confirm, choose_timing):
        self.source = source
        self.subscription = subscription
        self.read_clock = read_clock
        self.confirm = confirm
        self.choose_timing = choose_timing
        self.items_by_name = {}
        self.revision = None
        self._revisions_by_name = {}
        self._malformed_names = set()
        self._missing_until_s_by_name = {}
        self._unavailable_since_s = None
        self._available_since_s = float("-inf")
        self._removed = subscription.removed
        self._listed_revision = 0
        self._era = None
        self._era_since_s = float("-inf")
        self._retry_s = RETRY_S
        self._published = False
        self._stopped = threading.Event()

    def start(self):
        """Follow the source in a background thread until `stop` is called."""
        name = f"follow {self.subscription.section}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self):
        """Stop after the current step; a pending watch is not interrupted."""
        self._stopped.set()

    def step(self):
        """List the objects or wait for changes once, and apply the response.

        Returns
        -------
        float
            Seconds to wait before the next step.
        """
        if self.revision is None:
            response = self.source.list(self.subscription.kind)
        else:
            wait_s = self.choose_timing().timeout_s
            if self._missing_until_s_by_name:
                wait_s = MISSING_WATCH_S
            response = self.source.watch(self.subscription.kind, self.revision, wait_s)
        now = self.read_clock()
        if isinstance(response, _source.Unavailable):
            return self._handle_unavailable(response, now)
        self._handle_available(now)
        if isinstance(response, _source.HistoryGone):
            self._log(
                "history gone",
                era=domain.get_era(self.revision),
                revision=domain.get_number(self.revision),
            )
            self.revision = None
            return 0.0
        self._handle_era(domain.get_era(response.revision), now)
        changed = self._apply(response, now)
        changed = self._remove_expired(now) or changed
        changed = self._release_held_back(now) or changed
        if changed or not self._published:
            self._published = True
            self.subscription.publish(dict(self.items_by_name), now)
        confirmed_s = _source.get_confirmed_s(response, now)
        self.confirm(self.subscription.section, confirmed_s)
        return self.choose_timing().pause_s if changed else 0.0

    def _run(self):
        while not self._stopped.is_set():
            try:
                wait_s = self.step()
            except Exception:
                loguru.logger.exception(f"following {self.subscription.section} failed")
                wait_s = MAX_RETRY_S
            if wait_s:
                self._stopped.wait(wait_s)

    def _handle_unavailable(self, response, now):
        if self._unavailable_since_s is None:
            self._unavailable_since_s = now
            self._log("source lost", reason=response.reason)
        # Only a list shows what changed during the outage.
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

    def _handle_era(self, era, now):
        if self._era is not None and era > self._era:
            self._log("following a new era", era=era)
            self._available_since_s = self._era_since_s = now
            self._removed.begin_era(now)
        self._era = era

    def _apply(self, response, now):
        if isinstance(response, _source.Listing):
            changed = self._apply_listing(response, now)
        else:
            changed = False
            for change in response.changes:
                changed = self._apply_change(change, now) or changed
        self.revision = response.revision
        return changed

    def _apply_listing(self, listing, now):
        items_by_name = {}
        listed_names = {_source.get_name(each) for each in listing.values}
        self._malformed_names &= listed_names
        if listing.revision < self._listed_revision:
            # The source gives revisions out again.
            self._revisions_by_name.clear()
        self._listed_revision = listing.revision
        for value in listing.values:
            name, item = self._parse(value, now)
            if item is not None and not self._is_held_back(name, item, now):
                items_by_name[name] = item
        missing = [name for name in self.items_by_name if name not in items_by_name]
        retained = {
            name: self.items_by_name[name]
            for name in missing
            if self._retain_missing(name, now)
        }
        for name in items_by_name:
            self._missing_until_s_by_name.pop(name, None)
        self._removed.retain(listed_names)
        for name in missing:
            if name not in retained:
                self._removed.record(name, self.items_by_name[name], now)
        items_by_name.update(retained)
        changed = items_by_name != self.items_by_name
        self.items_by_name = items_by_name
        self._forget_revisions(self._revisions_by_name.keys() - listed_names)
        return changed

    def _apply_change(self, change, now):
        if change.is_deleted:
            name = _source.get_name(change.value)
            self._malformed_names.discard(name)
            is_known = name in self.items_by_name
            if is_known and self._may_be_back() and self._retain_missing(name, now):
                return False
            self._removed.forget(name)
            is_removed = self._remove(name, now)
            self._forget_revisions([name])
            return is_removed
        name, item = self._parse(change.value, now)
        self._removed.forget(name)
        self._missing_until_s_by_name.pop(name, None)
        if item is None:
            return self.items_by_name.pop(name, None) is not None
        self.items_by_name[name] = item
        return True

    def _retain_missing(self, name, now):
        until_s = self._missing_until_s_by_name.get(name)
        if until_s is None:
            until_s = self._find_retained_until_s(self.items_by_name[name])
            if now >= until_s:
                return False
            self._missing_until_s_by_name[name] = until_s
            self._log("missing object retained", name=name)
        return now < until_s

    def _find_retained_until_s(self, item):
        """Return until when an item would be retained that goes missing."""
        retains = self.subscription.retains_missing
        if retains is None:
            return self._era_since_s + self._removed.retained_s
        if not retains(item):
            return float("-inf")
        return self._available_since_s + RETAIN_MISSING_S

    def _may_be_back(self):
        """Return whether an item that the source removes may have expired there."""
        return self.subscription.retains_missing is not None

    def _is_held_back(self, name, item, now):
        if name in self.items_by_name:
            return False
        return self._removed.hold_back(name, item, self._revisions_by_name[name], now)

    def _remove(self, name, now):
        """Remove an item; return whether there was one."""
        item = self.items_by_name.pop(name, None)
        if item is not None:
            self._removed.record(name, item, now)
        return item is not None

    def _release_held_back(self, now):
        released = self._removed.release(now)
        self.items_by_name.update(released)
        for name in released:
            self._log("removed object is back", name=name)
        return bool(released)

    def _remove_expired(self, now):
        expired = [
            name
            for name, until_s in self._missing_until_s_by_name.items()
            if now >= until_s
        ]
        for name in expired:
            del self._missing_until_s_by_name[name]
            self._remove(name, now)
            self._forget_revisions([name])
            self._log("taken as gone", name=name)
        return bool(expired)

    def _forget_revisions(self, names):
        """Forget the revisions of objects that are gone, unless they are retained."""
        for name in names:
            if name not in self.items_by_name:
                self._revisions_by_name.pop(name, None)

    def count_malformed(self):
        """Return the number of objects that are left out because of their form."""
        return len(self._malformed_names)

    def _parse(self, value, now):
        name = _source.get_name(value)
        revision = _source.get_metadata(value, "Revision")
        is_unchanged = self._revisions_by_name.get(name) == revision
        if is_unchanged and name in self.items_by_name:
            # An unchanged object keeps the time at which it was first received.
            return name, self.items_by_name[name]
        self._revisions_by_name[name] = revision
        try:
            item = self.subscription.parse(value, now)
        except Exception as error:
            if not is_unchanged or name not in self._malformed_names:
                self._log_malformed(name, error)
            self._malformed_names.add(name)
            return name, None
        self._malformed_names.discard(name)
        return name, item

    def _log_malformed(self, name, error):
        name = name[:MAX_LOGGED_CHARACTERS]
        if isinstance(error, ValueError):
            self._log("malformed object ignored", name=name, reason=str(error))
            return
        # The parser does not expect this; the other objects are followed all the same.
        log = loguru.logger.bind(part=self.subscription.section, name=name)
        log.opt(exception=error).error("malformed object ignored")

    def _log(self, event, **fields):
        loguru.logger.bind(part=self.subscription.section, **fields).info(event)
