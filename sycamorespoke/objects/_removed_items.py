"""Items that were removed, which an older copy of the source may bring back."""

import collections

import attrs

MAX_REMEMBERED = 1000
RETAINED_S = 2.0
# Far longer than any copy of the source is old.
MEMORY_S = 600.0


@attrs.frozen
class HeldBack:
    """An item that an older copy has and that was removed after the copy was made.

    Parameters
    ----------
    item : object
        The item.
    revision : object
        Its revision; another one shows that it was written again.
    until_s : float
        When it counts as listed nevertheless, seconds of the boot clock.
    """

    item: object
    revision: object
    until_s: float


class NoRemovedItems:
    """Remembers nothing: what a source lists in a new era counts at once."""

    retained_s = 0.0

    def begin_era(self, now):
        """Do nothing, as all methods here."""

    def record(self, name, item, now):
        """Do nothing."""

    def forget(self, name):
        """Do nothing."""

    def retain(self, names):
        """Do nothing."""

    def hold_back(self, name, item, revision, now):
        """Return that the item counts as listed."""
        return False

    def release(self, now):
        """Return that no item was held back."""
        return {}


class RemovedItems:
    """Remembers the items of one kind that were removed; used by one thread.

    Parameters
    ----------
    identify : callable
        Takes an item and returns what tells it from another one of the same name.
    held_back_s : float
        How long an item that is back in a new era is held back unless it is written
        again, seconds; its writer or the source removes it again within this time.
    retained_s : float, default=2.0
        How long an item that is missing in a new era is retained, seconds; its writer
        writes it again within this time.
    """

    def __init__(self, identify, held_back_s, retained_s=RETAINED_S):
        self.retained_s = retained_s
        self.identify = identify
        self.held_back_s = held_back_s
        self._removed_by_name = collections.OrderedDict()
        self._held_back_by_name = {}
        self._until_s = float("-inf")

    def begin_era(self, now):
        """Record that the source is back from an older copy, at ``now``, seconds."""
        self._until_s = now + self.held_back_s
        # The items of this copy are judged anew, by what had been removed.
        self._held_back_by_name.clear()

    def record(self, name, item, now):
        """Record that an item was removed."""
        self._removed_by_name.pop(name, None)
        self._removed_by_name[name] = (item, now)
        if len(self._removed_by_name) > MAX_REMEMBERED:
            self._removed_by_name.popitem(last=False)

    def forget(self, name):
        """Forget what is known of a name, because its item was written again."""
        self._removed_by_name.pop(name, None)
        self._held_back_by_name.pop(name, None)

    def hold_back(self, name, item, revision, now):
        """Hold an item back if it was removed after the copy was made.

        Parameters
        ----------
        name : str
            Name of the item.
        item : object
            The item, as listed.
        revision : object
            Its revision.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the item counts as removed.
        """
        held = self._held_back_by_name.get(name)
        if held is not None:
            if held.revision != revision:
                self.forget(name)
            return held.revision == revision
        if now >= self._until_s or not self._was_removed(name, item, now):
            return False
        held = HeldBack(item, revision, self._until_s)
        self._held_back_by_name[name] = held
        return True

    def release(self, now):
        """Return the items that are no longer held back at ``now``, by name."""
        released = {
            name: held.item
            for name, held in self._held_back_by_name.items()
            if now >= held.until_s
        }
        for name in released:
            self.forget(name)
        return released

    def retain(self, names):
        """Hold back no item that is not among ``names``, those that are listed."""
        for name in self._held_back_by_name.keys() - names:
            del self._held_back_by_name[name]

    def _was_removed(self, name, item, now):
        removed, removed_s = self._removed_by_name.get(name, (None, float("-inf")))
        if now - removed_s > MEMORY_S:
            return False
        return self.identify(removed) == self.identify(item)
